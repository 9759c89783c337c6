package caller

import (
	"encoding/json"
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
	kind, caller := query(r)
	a, err := callerAddress(r, caller)
	if err != nil {
		refuse.Write(w, "", err)
		return
	}
	// The answer expires by a time from before the check, so that one that a
	// pause delays has expired when it comes.
	now := s.kernel.Now()
	if err := s.kernel.CheckServing(); err != nil {
		refuse.Write(w, "", err)
		return
	}
	v := s.kernel.Snapshot()
	d, ok := v.Table.Decide(kind, a)
	switch {
	case !ok:
		refuse.Write(w, "", code.New(code.KindUnknown, "caller: no kind %q", kind))
	case d.Host == nil:
		refuse.Write(w, "", code.New(code.NoEndpoint, "caller: no host owns an endpoint of %q", d.Kind.Upstream))
	default:
		d, t, err := s.issue(r.Context(), d)
		if err != nil {
			refuse.Write(w, "", err)
			return
		}
		if t.Token == "" {
			s.writer.write(w, now, v.Version.Number, v.Table, d)
			return
		}
		s.writeTicket(w, now, v.Version.Number, d, t)
	}
}

// writeTicket answers with d and a ticket, which is good for one request.
func (s *Server) writeTicket(w http.ResponseWriter, now time.Time, version uint64, d lookup.Decision, t once.Issued) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	json.NewEncoder(w).Encode(Lookup{
		Kind:      d.Kind.Name,
		Rank:      d.Kind.Rank,
		Version:   version,
		Hosts:     lookupHosts(d),
		ExpiresAt: now.Add(s.writer.ttl).UTC(),

		Ticket:          t.Token,
		TicketExpiresAt: &t.ExpiresAt,
	})
}

// lookupHosts returns the hosts that d names, the best first.
func lookupHosts(d lookup.Decision) []LookupHost {
	s := []LookupHost{
		lookupHost(d.Host),
	}
	for _, h := range d.Alternates {
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
