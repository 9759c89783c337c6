package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"heatherford/core/code"
	"heatherford/core/edge"
	"heatherford/core/fleet"
	"heatherford/core/registry"
	"heatherford/core/safely"
	"heatherford/io/internal/keepalive"
	"heatherford/io/internal/listen"
	"heatherford/io/internal/wire"
)

const (
	// maxDatagram is the longest tick that is sent or taken.
	maxDatagram = 60 << 10
	// maxBook is the longest book that is taken.
	maxBook = 8 << 20
	// bookPath is where a host gives what it knows.
	bookPath = "/book"
	// maxHeaderBytes bounds a request's head, which holds the head of a caller's
	// request.
	maxHeaderBytes = 512 << 10
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 15 * time.Second
	// receiveDelay is the delay after a datagram that could not be received.
	receiveDelay = 5 * time.Millisecond
	// dialTimeout bounds the opening of a connection to another host.
	dialTimeout = 300 * time.Millisecond
)

// The outcomes of ticks.
const (
	sent    = "sent"
	notSent = "not_sent"
)

// parameters are the versions that a book is asked beyond, by part.
var parameters = [registry.NumParts]string{
	registry.OperatorRecords: "orders",
	registry.Endpoints:       "endpoints",
}

// Options are what a Link needs. All are required.
type Options struct {
	// Address is where this host hears others, over UDP and TCP.
	Address netip.AddrPort
	// Hear takes in a tick.
	Hear func(t *edge.Heartbeat)
	// Book returns what this host knows beyond the versions.
	Book func(ctx context.Context, since [registry.NumParts]registry.Version) (*edge.Delta, error)
	// Take does what another host passes on.
	Take func(ctx context.Context, c *edge.ForwardRequest) *edge.ForwardResult
	// Log writes a line of a kind with pairs of keys and values.
	Log func(kind string, pairs ...any)
	// Ticked counts ticks of an outcome, and their bytes.
	Ticked func(outcome string, ticks, bytes int)
}

// Link exchanges ticks and books with other hosts. It is safe for concurrent
// use.
type Link struct {
	options Options
	udp     *net.UDPConn
	client  *http.Client
	server  *keepalive.Server

	mu sync.Mutex
	// pools holds the connections on which requests are passed on.
	pools map[netip.AddrPort]*wire.Pool
}

// Listen binds the address.
func Listen(o Options) (*Link, error) {
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, code.Wrap(code.SettingsValue, err, "host: cannot listen on %s", o.Address)
	}
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	return &Link{
		options: o,
		udp:     u,
		pools:   map[netip.AddrPort]*wire.Pool{},
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         d.DialContext,
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     idleTimeout / 2,
			},
		},
	}, nil
}

// Start serves in goroutines of t until it is killed. If t dies of an error, the link serves
// until Stop.
func (l *Link) Start(t *tomb.Tomb) error {
	m := goji.NewMux()
	m.HandleFunc(pat.Get(bookPath), l.serveBook)
	m.HandleFunc(pat.Post(carryPath), l.serveCarry)
	x, err := listen.Bind(l.options.Address)
	if err != nil {
		return err
	}
	h := &http.Server{
		Handler:        m,
		MaxHeaderBytes: maxHeaderBytes,
	}
	l.server = keepalive.New(x, keepalive.Options{
		HTTP:          h,
		HeaderTimeout: headerTimeout,
		IdleTimeout:   func() time.Duration { return idleTimeout },
		Log: func(pairs ...any) {
			l.options.Log("peer", pairs...)
		},
	})
	listen.Serve(t, l.server.Listener(), listen.Options{
		Name:   "peers",
		Server: h,
		Log:    l.options.Log,
	})
	t.Go(l.receive)
	t.Go(func() error {
		<-t.Dying()
		if t.Err() != nil {
			return nil
		}
		l.client.CloseIdleConnections()
		return l.udp.Close()
	})
	return nil
}

// Stop takes no more connections and waits for the requests that other hosts have passed
// on, until ctx ends. It is called once.
func (l *Link) Stop(ctx context.Context) error {
	return l.server.Stop(ctx)
}

// receive takes in ticks until the socket is closed.
func (l *Link) receive() error {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A datagram to a host that is gone may come back as an error.
			l.options.Log("tick", "outcome", "not received", "err", err)
			<-time.After(receiveDelay)
			continue
		}
		// A panic costs the datagram only.
		if err := safely.Logged(l.options.Log, "tick", func() error {
			return l.hear(b[:n])
		}); err != nil {
			l.options.Log("tick", "from", from, "outcome", "unreadable", "err", err)
		}
	}
}

// hear takes in a datagram.
func (l *Link) hear(b []byte) error {
	t := &edge.Heartbeat{}
	if err := json.Unmarshal(b, t); err != nil {
		return err
	}
	l.options.Hear(t)
	return nil
}

// Tell sends a tick to other hosts. It may not arrive.
func (l *Link) Tell(to []fleet.Member, t *edge.Heartbeat) {
	b, err := json.Marshal(t)
	if err == nil && len(b) > maxDatagram {
		err = fmt.Errorf("host: a tick of %d bytes is too long", len(b))
	}
	if err != nil {
		l.options.Ticked(notSent, len(to), len(to)*len(b))
		l.options.Log("tick", "outcome", "not sent", "err", err)
		return
	}
	failed := 0
	for _, m := range to {
		if _, err := l.udp.WriteToUDPAddrPort(b, m.PeerAddr); err != nil {
			failed++
			l.options.Log("tick", "to", m.Name, "outcome", "not sent", "err", err)
		}
	}
	l.options.Ticked(notSent, failed, failed*len(b))
	l.options.Ticked(sent, len(to)-failed, (len(to)-failed)*len(b))
}

func (l *Link) serveBook(w http.ResponseWriter, r *http.Request) {
	since := [registry.NumParts]registry.Version{}
	for p, n := range parameters {
		if err := since[p].UnmarshalText([]byte(r.URL.Query().Get(n))); err != nil {
			http.Error(w, "the parameter "+n+" is not a version", http.StatusBadRequest)
			return
		}
	}
	b, err := l.options.Book(r.Context(), since)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(b)
}

// Fetch asks another host for what it knows beyond the versions.
func (l *Link) Fetch(ctx context.Context, from fleet.Member, since [registry.NumParts]registry.Version) (*edge.Delta, error) {
	v := url.Values{}
	for p, n := range parameters {
		v.Set(n, since[p].String())
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.PeerAddr.String()+bookPath+"?"+v.Encode(), nil)
	if err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "host: %s", from.Name)
	}
	a, err := l.client.Do(q)
	if err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "host: %s", from.Name)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, code.New(code.PeerUnreachable, "host: %s answered %d", from.Name, a.StatusCode)
	}
	b := &edge.Delta{}
	if err := json.NewDecoder(http.MaxBytesReader(nil, a.Body, maxBook)).Decode(b); err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "host: book of %s", from.Name)
	}
	return b, nil
}
