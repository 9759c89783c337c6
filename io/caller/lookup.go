package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"heatherford/core/code"
	"heatherford/core/lookup"
	"heatherford/core/once"
	"heatherford/core/store"
	"heatherford/io/internal/refuse"
)

// Lookup is the answer to a look-up.
type Lookup struct {
	Kind    string `json:"kind"`
	Rank    string `json:"rank"`
	Version uint64 `json:"version"`
	// Hosts are the hosts to send to, the best first.
	Hosts []LookupHost `json:"hosts"`
	// ExpiresAt is when the caller has to look up again.
	ExpiresAt time.Time `json:"expires_at"`
	// Ticket is good for one request of work that may not be repeated and all
	// its copies. It is empty for other work.
	Ticket          string     `json:"ticket,omitempty"`
	TicketExpiresAt *time.Time `json:"ticket_expires_at,omitempty"`
}

// LookupHost is a host to send to.
type LookupHost struct {
	Host    string         `json:"host"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"availability_zone"`
}

func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	a, err := callerAddress(r, q.Get("caller"))
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	// The answer expires by a time from before the check, so that one that a
	// pause delays has expired when it comes.
	now := s.kernel.Now()
	if err := s.kernel.Serving(); err != nil {
		refuse.Write(w, "", err)
		return
	}
	v := s.kernel.Snapshot()
	d, ok := v.Table.Decide(q.Get("kind"), a)
	switch {
	case !ok:
		refuse.Write(w, "", code.New(code.KindUnknown, "caller: no kind %q", q.Get("kind")))
	case d.Host == nil:
		refuse.Write(w, "", code.New(code.NoEndpoint, "caller: no host owns an endpoint of %q", d.Kind.Upstream))
	default:
		d, t, err := s.issue(r.Context(), d)
		if err != nil {
			refuse.Write(w, "", err)
			return
		}
		s.writeLookup(w, now, v.Version.Number, d, t)
	}
}

func (s *Server) writeLookup(w http.ResponseWriter, now time.Time, version uint64, d lookup.Decision, t once.Issued) {
	ttl := s.kernel.Settings.Limits.LookupTTL.Std()
	e := now.Add(ttl)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", fmt.Sprintf("private, max-age=%d", int(ttl.Seconds())))
	h.Set("Expires", e.UTC().Format(http.TimeFormat))
	if t.Token != "" {
		// A ticket is good for one request.
		h.Set("Cache-Control", "no-store")
		h.Del("Expires")
	}
	json.NewEncoder(w).Encode(Lookup{
		Kind:      d.Kind.Name,
		Rank:      d.Kind.Rank,
		Version:   version,
		Hosts:     lookupHosts(d),
		ExpiresAt: e.UTC(),

		Ticket:          t.Token,
		TicketExpiresAt: expiry(t),
	})
}

// lookupHosts returns the hosts that d names, the best first.
func lookupHosts(d lookup.Decision) []LookupHost {
	s := []LookupHost{
		lookupHost(d.Host),
	}
	for _, h := range d.Others {
		if h != nil {
			s = append(s, lookupHost(h))
		}
	}
	return s
}

func lookupHost(h *store.Host) LookupHost {
	return LookupHost{
		Host:    h.Name,
		Address: h.CallerAddress,
		Zone:    h.Zone,
	}
}

// expiry returns when t expires, or nil without a ticket.
func expiry(t once.Issued) *time.Time {
	if t.Token == "" {
		return nil
	}
	return &t.ExpiresAt
}

// callerAddress returns the address that the caller states, else that of its
// connection.
func callerAddress(r *http.Request, stated string) (netip.Addr, error) {
	if stated != "" {
		a, err := netip.ParseAddr(stated)
		if err != nil {
			return a, code.Wrap(code.LookupInvalid, err, "caller: the caller's address")
		}
		return a, nil
	}
	p, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, code.Wrap(code.LookupInvalid, err, "caller: the connection's address")
	}
	return p.Addr(), nil
}
