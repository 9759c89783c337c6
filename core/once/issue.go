package once

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/ticket"
)

const (
	// homeFresh is how long another host's answer is used without asking again.
	homeFresh = 10 * time.Second
	// memoryFresh is the same if the answer was that the platform is down or
	// slow there.
	memoryFresh = 2 * time.Second
	// silentFresh is the same if there was no answer.
	silentFresh = time.Second
	// homeUsable is how long it is used at all.
	homeUsable = time.Minute
	askTimeout = 300 * time.Millisecond
	// announcements is the most hosts that are told of this process at once.
	announcements = 16
)

// Home is what tickets say of their home.
type Home struct {
	Incarnation string
	// Mode is the mode for tickets that are issued now. It is empty in an
	// announcement.
	Mode ticket.Mode
}

// Issued is a ticket as a look-up gives it.
type Issued struct {
	Token     string
	ExpiresAt time.Time
	// Home is the host to send the request to.
	Home store.Host
}

// knownHome is what a host said of itself, or that it said nothing.
type knownHome struct {
	// home is the zero value if the host did not answer.
	home Home
	at   time.Time
}

// homes holds what other hosts said of themselves. It is safe for concurrent
// use.
type homes struct {
	mu    sync.Mutex
	known map[string]knownHome
}

func (h *homes) get(name string) (knownHome, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.known[name]
	return k, ok
}

// forget makes the host be asked again.
func (h *homes) forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.known, name)
}

func (h *homes) set(name string, k knownHome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known[name] = k
}

// Heard takes what another host says of itself.
func (o *Once) Heard(name string, h Home) {
	o.homes.set(name, knownHome{
		home: h,
		at:   o.options.Now(),
	})
}

// announce tells all other hosts of this process, so that none gives tickets
// for an earlier one until it asks again. It reports whether there were any.
func (o *Once) announce(ctx context.Context) bool {
	group := errgroup.Group{}
	group.SetLimit(announcements)
	n := 0
	for name, h := range o.options.Snapshot().Hosts {
		if name == o.options.Self {
			continue
		}
		n++
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			// A host that does not hear of it asks within homeFresh.
			_ = o.options.Announce(ctx, h, Home{
				Incarnation: o.incarnation,
			})
			return nil
		})
	}
	// No announcement returns an error.
	_ = group.Wait()
	return n > 0
}

// Self returns what tickets say of this process.
func (o *Once) Self() Home {
	return Home{
		Incarnation: o.incarnation,
		Mode:        o.mode(),
	}
}

// mode returns the mode for tickets that are issued now, as far as this host
// sees the platform.
func (o *Once) mode() ticket.Mode {
	if o.options.PlatformDown() {
		return ticket.MemoryOnly
	}
	return o.health.mode()
}

// Issue returns a ticket for work of the kind with the home. If that does not
// say who it is, this host becomes the home in its place.
func (o *Once) Issue(ctx context.Context, kind intent.Kind, home store.Host) (Issued, error) {
	ring := o.keyring.Load()
	if ring == nil && o.mayRefresh() {
		o.probe(ctx)
		ring = o.keyring.Load()
	}
	if ring == nil {
		return Issued{}, code.New(code.HostBehind, "once: this host knows no secrets yet")
	}
	h, ok := o.ask(ctx, home)
	if !ok {
		s, found := o.options.Snapshot().Hosts[o.options.Self]
		if !found {
			return Issued{}, code.New(code.NoEndpoint, "once: the home %q does not answer", home.Name)
		}
		home = s
		h = o.Self()
	}
	if own := o.mode(); own == ticket.MemoryOnly || h.Mode == "" {
		h.Mode = own
	}
	now := o.options.Now()
	t := ticket.Ticket{
		ID:          ticket.NewID(),
		Home:        home.Name,
		Incarnation: h.Incarnation,
		Kind:        kind.Name,
		Mode:        h.Mode,
		ExpiresAt:   now.Add(ticket.Lifetime).UTC().Truncate(time.Millisecond),
	}
	s, ok := ring.Seal(t, now)
	if !ok {
		return Issued{}, code.New(code.HostBehind, "once: this host knows no secrets yet")
	}
	return Issued{
		Token:     s,
		ExpiresAt: t.ExpiresAt,
		Home:      home,
	}, nil
}

// fresh returns how long what h says is used without asking again.
func fresh(h Home) time.Duration {
	switch {
	case h.Incarnation == "":
		return silentFresh
	case h.Mode == ticket.MemoryOnly:
		return memoryFresh
	default:
		return homeFresh
	}
}

// ask returns what the host says of itself, from memory if that is fresh.
func (o *Once) ask(ctx context.Context, h store.Host) (Home, bool) {
	if h.Name == o.options.Self {
		return o.Self(), true
	}
	k, ok := o.homes.get(h.Name)
	age := o.options.Now().Sub(k.at)
	if ok && age < fresh(k.home) {
		return k.home, k.home.Incarnation != ""
	}
	c := o.asks.DoChan(h.Name, func() (any, error) {
		x, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		a, err := o.options.Ask(x, h)
		if err != nil {
			a = Home{}
		}
		o.Heard(h.Name, a)
		return a, err
	})
	if ok && k.home.Incarnation != "" && age < homeUsable {
		return k.home, true
	}
	select {
	case r := <-c:
		a, is := r.Val.(Home)
		return a, is && a.Incarnation != ""
	case <-ctx.Done():
		return Home{}, false
	}
}
