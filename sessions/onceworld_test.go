package sessions

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/core/work"
	"heatherford/standin/platform"
	"heatherford/standin/relay"
	"heatherford/standin/upstream"
)

const (
	onceRegion   = "ulaanbaatar"
	onceDeposit  = "deposit"
	onceWaiver   = "waiver-lookup"
	onceDeadline = 2 * time.Second
)

// onceWorld is daemons as processes of their own, with relays before each of
// their listeners, before the endpoints and before the platform.
type onceWorld struct {
	dir      string
	platform *platform.Platform
	// toPlatform is the relay between all daemons and the platform.
	toPlatform *relay.Relay
	// commits counts the commits that came to the platform.
	commits atomic.Int64
	hosts   []*onceHost
	tills   []*upstream.Ledger
	toTills []*relay.Relay
	servers []*http.Server
}

// newOnceWorld starts a world. Its caller closes it, also after an error.
func newOnceWorld(dir string, hosts, tills, slots int, service time.Duration) (*onceWorld, error) {
	w := &onceWorld{
		dir: dir,
	}
	d := w.declaration()
	for i := range tills {
		if err := w.addTill(d, i, slots, service); err != nil {
			return w, err
		}
	}
	list := []store.Host{}
	for i := range hosts {
		h, err := w.addHost(i)
		if err != nil {
			return w, err
		}
		list = append(list, h)
	}
	if err := w.startPlatform(list, d); err != nil {
		return w, err
	}
	for _, h := range w.hosts {
		if err := h.start(w.dir); err != nil {
			return w, err
		}
	}
	return w, nil
}

func zoneOf(i int) string {
	return []string{"ub-1", "ub-2"}[i%2]
}

func (w *onceWorld) declaration() *intent.Declaration {
	return &intent.Declaration{
		Format: intent.Format,
		Name:   "authority",
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 0.6,
				Floor:   0.2,
			},
		},
		Kinds: []intent.Kind{
			{
				Name:     onceDeposit,
				Rank:     "urgent",
				Upstream: "till",
				Deadline: strict.Duration(onceDeadline),
				Weight:   1,
			},
			{
				Name:       onceWaiver,
				Rank:       "urgent",
				Upstream:   "till",
				Repeatable: true,
				Deadline:   strict.Duration(time.Second),
				Weight:     1,
			},
		},
		Regions: []intent.Region{
			{
				Name:  onceRegion,
				Zones: []string{"ub-1", "ub-2"},
				Cap:   1000,
			},
		},
		Upstreams: []intent.Upstream{
			{
				Name: "till",
			},
		},
	}
}

func (w *onceWorld) addTill(d *intent.Declaration, i, slots int, service time.Duration) error {
	l := &upstream.Ledger{
		Name:    fmt.Sprintf("till-%d", i+1),
		Slots:   slots,
		Service: service,
	}
	r, err := w.serve(l)
	if err != nil {
		return err
	}
	w.tills = append(w.tills, l)
	w.toTills = append(w.toTills, r)
	u := &d.Upstreams[0]
	u.Endpoints = append(u.Endpoints, intent.Endpoint{
		Name:        l.Name,
		Address:     netip.MustParseAddrPort(r.Addr().String()),
		Zone:        zoneOf(i),
		Slots:       slots,
		Connections: 660,
	})
	return nil
}

// serve serves h behind a relay.
func (w *onceWorld) serve(h http.Handler) (*relay.Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Handler: h,
	}
	w.servers = append(w.servers, s)
	go func() {
		// It ends with Close.
		_ = s.Serve(l)
	}()
	return relay.New("127.0.0.1:0", l.Addr().String())
}

func (w *onceWorld) addHost(i int) (store.Host, error) {
	n := fmt.Sprintf("h%d", i+1)
	own := []string{}
	for range 4 {
		a, err := freeAddress()
		if err != nil {
			return store.Host{}, err
		}
		own = append(own, a.String())
	}
	callers, err := relay.New("127.0.0.1:0", own[0])
	if err != nil {
		return store.Host{}, err
	}
	peers, err := relay.New("127.0.0.1:0", own[1])
	if err != nil {
		return store.Host{}, err
	}
	h := &onceHost{
		name:      n,
		settings:  filepath.Join(w.dir, n+".json"),
		toCallers: callers,
		toPeers:   peers,
	}
	w.hosts = append(w.hosts, h)
	return store.Host{
		Name:          n,
		Zone:          zoneOf(i),
		Region:        onceRegion,
		State:         store.HostLive,
		CallerAddress: netip.MustParseAddrPort(callers.Addr().String()),
		PeerAddress:   netip.MustParseAddrPort(peers.Addr().String()),
	}, h.write(zoneOf(i), own)
}

func (w *onceWorld) startPlatform(list []store.Host, d *intent.Declaration) error {
	w.platform = platform.New(list)
	p := w.platform.Handler()
	r, err := w.serve(http.HandlerFunc(func(x http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/v1/commit" {
			w.commits.Add(1)
		}
		p.ServeHTTP(x, q)
	}))
	if err != nil {
		return err
	}
	w.toPlatform = r
	url := "http://" + r.Addr().String()
	for _, h := range w.hosts {
		b, err := os.ReadFile(h.settings)
		if err != nil {
			return err
		}
		const mode = 0o600
		if err := os.WriteFile(h.settings, bytes.ReplaceAll(b, []byte("PLATFORM"), []byte(url)), mode); err != nil {
			return err
		}
	}
	return confirmAt(url, d)
}

// close ends everything.
func (w *onceWorld) close() {
	for _, h := range w.hosts {
		if h.command != nil {
			h.kill()
		}
		h.toCallers.Close()
		h.toPeers.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, r := range append(w.toTills, w.toPlatform) {
		if r != nil {
			r.Close()
		}
	}
}

// waitReady waits until every host gives tickets.
func (w *onceWorld) waitReady(ctx context.Context) error {
	for _, h := range w.hosts {
		for {
			a, err := lookUp(ctx, http.DefaultClient, h.toCallers.Addr().String(), onceDeposit)
			if err == nil && a.Ticket != "" {
				break
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", h.name, ctx.Err())
			}
		}
	}
	return nil
}

// runs returns how often the work with the body was run.
func (w *onceWorld) runs(body string) int {
	n := 0
	for _, t := range w.tills {
		n += t.Runs(body)
	}
	return n
}

// lookedUp is what a caller takes from a look-up.
type lookedUp struct {
	Hosts []struct {
		Address string `json:"address"`
	} `json:"hosts"`
	Ticket string `json:"ticket"`
}

func lookUp(ctx context.Context, c *http.Client, address, kind string) (lookedUp, error) {
	a := lookedUp{}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup?kind="+kind, http.NoBody)
	if err != nil {
		return a, err
	}
	r, err := c.Do(q)
	if err != nil {
		return a, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return a, fmt.Errorf("look-up: %s", r.Status)
	}
	err = json.NewDecoder(r.Body).Decode(&a)
	return a, err
}

// toldAnswer is what a caller was told by one copy.
type toldAnswer struct {
	code code.Code
	body string
}

var errNoAnswer = errors.New("no whole answer")

// sendCopy sends one copy and returns what it was told. Its client never sends
// a request again by itself.
func sendCopy(ctx context.Context, c *http.Client, address, kind, ticket, body string) (toldAnswer, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/work/"+kind+"/", bytes.NewReader([]byte(body)))
	if err != nil {
		return toldAnswer{}, err
	}
	q.GetBody = nil
	if ticket != "" {
		q.Header.Set(work.HeaderTicket, ticket)
	}
	r, err := c.Do(q)
	if err != nil {
		return toldAnswer{}, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	n, numberErr := strconv.Atoi(r.Header.Get(work.HeaderCode))
	if err != nil || numberErr != nil {
		return toldAnswer{}, errNoAnswer
	}
	return toldAnswer{
		code: code.Code(n),
		body: string(b),
	}, nil
}

// confirmAt makes d the first version in the platform's table.
func confirmAt(url string, d *intent.Declaration) error {
	s, err := store.Lookup("http")(url)
	if err != nil {
		return err
	}
	_, err = config.Confirm(context.Background(), &s, config.Empty(), config.Confirmation{
		Declaration: d,
		Operation:   "first",
		Operator:    "session",
		At:          time.Now(),
	})
	return err
}
