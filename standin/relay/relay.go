package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
)

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	target string
	group  sync.WaitGroup
	// end is closed when the relay is closed.
	end chan struct{}

	mu       sync.Mutex
	listener net.Listener
	// links are all connections, also those that were lost track of.
	links  map[*link]struct{}
	closed bool
	// crashed is true while the relay does not listen after a crash.
	crashed bool
	// delay is how long bytes take one way.
	delay time.Duration
	// refusing is true while new connections are reset.
	refusing bool
	// ways hold what is carried for an address; one that it lacks has an open way.
	ways map[netip.Addr]Way
}

// New listens on the address and passes connections on to the target.
func New(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener: l,
		target:   target,
		end:      make(chan struct{}),
		links:    map[*link]struct{}{},
		ways:     map[netip.Addr]Way{},
	}
	r.group.Go(r.accept)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() net.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener.Addr()
}

// Silence loses track of all open connections: they stay open and carry
// nothing more. New ones work. It returns how many there were.
func (r *Relay) Silence() int {
	return r.each(func(l *link) {
		l.silence()
	})
}

// Cut resets all open connections and returns how many there were.
func (r *Relay) Cut() int {
	return r.each(func(l *link) {
		l.cut()
	})
}

// Refuse makes new connections be reset, or not any more.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
}

// Crash resets all connections and listens no more for a time, as a target that has crashed.
// A relay that is closed meanwhile does not listen again.
func (r *Relay) Crash(d time.Duration) {
	r.mu.Lock()
	if r.closed || r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	l := r.listener
	r.mu.Unlock()
	_ = l.Close()
	r.Cut()
	r.group.Go(func() {
		select {
		case <-time.After(d):
		case <-r.end:
			return
		}
		next, err := net.Listen("tcp", l.Addr().String())
		if err != nil {
			// Another process has taken the port: the target stays down.
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.closed {
			_ = next.Close()
			return
		}
		r.crashed = false
		r.listener = next
		r.group.Go(r.accept)
	})
}

// SetDelay sets how long bytes take one way on new connections.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) each(f func(l *link)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		f(l)
	}
	return len(r.links)
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	r.mu.Unlock()
	close(r.end)
	r.Cut()
	r.group.Wait()
}

// Handler returns an interface by which the faults are brought about.
func (r *Relay) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Put("/silence"), func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, r.Silence())
	})
	m.HandleFunc(pat.Put("/cut"), func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, r.Cut())
	})
	m.HandleFunc(pat.Put("/refuse"), func(http.ResponseWriter, *http.Request) {
		r.Refuse(true)
	})
	m.HandleFunc(pat.Put("/accept"), func(http.ResponseWriter, *http.Request) {
		r.Refuse(false)
	})
	return m
}

func (r *Relay) accept() {
	r.mu.Lock()
	l := r.listener
	r.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() {
			r.connect(c.(*net.TCPConn))
		})
	}
}

func (r *Relay) connect(c *net.TCPConn) {
	l := &link{
		near:   c,
		source: c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(),
	}
	if !r.add(l) {
		l.cut()
		return
	}
	defer r.remove(l)
	if l.isSilent() {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		return
	}
	t, err := r.dial(l.source)
	if err != nil {
		l.cut()
		return
	}
	// The handshake takes one round trip.
	<-time.After(2 * l.delay)
	l.run(t.(*net.TCPConn))
}

// dial connects to the target. On loopback it does so from the source, so that the target
// can tell the sources apart.
func (r *Relay) dial(source netip.Addr) (net.Conn, error) {
	d := net.Dialer{}
	if t, err := netip.ParseAddrPort(r.target); err == nil && t.Addr().IsLoopback() && source.IsLoopback() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d.Dial("tcp", r.target)
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.ways[l.source]
	if r.closed || r.refusing || w == Refused || w == Reset || w == Hung {
		return false
	}
	l.silent = w == Silent
	r.links[l] = struct{}{}
	l.delay = r.delay
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}
