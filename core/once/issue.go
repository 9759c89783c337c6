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
	// homeTTL is how long the answer of another host is cached before it is
	// asked again.
	homeTTL = 10 * time.Second
	// memoryOnlyTTL is the same for the answer that the platform is down or slow
	// there.
	memoryOnlyTTL = 2 * time.Second
	// noAnswerTTL is the same for a host that did not answer.
	noAnswerTTL = time.Second
	// maxHomeAge bounds the age of a cached answer that is used while the host
	// is asked again in the background.
	maxHomeAge      = time.Minute
	homeCallTimeout = 300 * time.Millisecond
	// maxConcurrentAnnouncements bounds the announcements in progress.
	maxConcurrentAnnouncements = 16
)

// Home identifies a host process as the home of tickets.
type Home struct {
	Incarnation string
	// Mode is the mode of tickets that are issued now. It is empty in an
	// announcement, and the issuing host's own mode is then used.
	Mode ticket.Mode
}

// Issued is a ticket as a look-up returns it.
type Issued struct {
	Token     string
	ExpiresAt time.Time
	// Home is the host to send the request to.
	Home store.Host
}

// cachedHome is the last answer of a host, or the fact that it did not answer.
type cachedHome struct {
	// home is the zero value if the host did not answer.
	home Home
	at   time.Time
}

// homeCache holds the last answers of other hosts. It is safe for concurrent use.
type homeCache struct {
	mu     sync.Mutex
	byName map[string]cachedHome
}

func (h *homeCache) get(name string) (cachedHome, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.byName[name]
	return k, ok
}

// remove removes the host's answer, so that the host is asked again.
func (h *homeCache) remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byName, name)
}

func (h *homeCache) set(name string, k cachedHome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byName[name] = k
}

// SetHome caches the Home that another host has sent.
func (o *Once) SetHome(name string, h Home) {
	o.homeCache.set(name, cachedHome{
		home: h,
		at:   o.options.Now(),
	})
}

// announce sends the incarnation of this process to all other hosts. Without it
// they would issue tickets for an earlier process of this host until they ask
// again. It reports whether there were any other hosts.
func (o *Once) announce(ctx context.Context) bool {
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentAnnouncements)
	n := 0
	for name, h := range o.options.Snapshot().Hosts {
		if name == o.options.Host {
			continue
		}
		n++
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
			defer cancel()
			// A host that misses the announcement asks within homeTTL.
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

// Home returns the Home of this process.
func (o *Once) Home() Home {
	return Home{
		Incarnation: o.incarnation,
		Mode:        o.mode(),
	}
}

// mode returns the mode of tickets that are issued now, by this host's own view
// of the platform.
func (o *Once) mode() ticket.Mode {
	if o.options.PlatformDown() {
		return ticket.MemoryOnly
	}
	return o.health.mode()
}

// Issue returns a ticket for a request of the kind with the home. If the home does
// not answer, this host becomes the home instead. The error is HostBehind if this
// host has no signing secrets yet, and NoEndpoint if it isn't in its own view of the
// hosts and so can't become the home.
func (o *Once) Issue(ctx context.Context, kind intent.Kind, home store.Host) (Issued, error) {
	k := o.keyring.Load()
	if k == nil && o.allowRefresh() {
		o.refreshKeyring(ctx)
		k = o.keyring.Load()
	}
	if k == nil {
		return Issued{}, code.New(code.HostBehind, "once: this host knows no secrets yet")
	}
	h, ok := o.lookUpHome(ctx, home)
	if !ok {
		s, found := o.options.Snapshot().Hosts[o.options.Host]
		if !found {
			return Issued{}, code.New(code.NoEndpoint, "once: the home %q does not answer", home.Name)
		}
		home = s
		h = o.Home()
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
	s, ok := k.Sign(t, now)
	if !ok {
		return Issued{}, code.New(code.HostBehind, "once: this host knows no secrets yet")
	}
	return Issued{
		Token:     s,
		ExpiresAt: t.ExpiresAt,
		Home:      home,
	}, nil
}

// ttl returns how long h is cached before its host is asked again.
func ttl(h Home) time.Duration {
	switch {
	case h.Incarnation == "":
		return noAnswerTTL
	case h.Mode == ticket.MemoryOnly:
		return memoryOnlyTTL
	default:
		return homeTTL
	}
}

// lookUpHome returns the Home of a host, from the cache if it is fresh enough. It
// reports false if the host did not answer.
func (o *Once) lookUpHome(ctx context.Context, h store.Host) (Home, bool) {
	if h.Name == o.options.Host {
		return o.Home(), true
	}
	k, ok := o.homeCache.get(h.Name)
	age := o.options.Now().Sub(k.at)
	if ok && age < ttl(k.home) {
		return k.home, k.home.Incarnation != ""
	}
	c := o.homeCalls.DoChan(h.Name, func() (any, error) {
		x, cancel := context.WithTimeout(context.Background(), homeCallTimeout)
		defer cancel()
		a, err := o.options.FetchHome(x, h)
		if err != nil {
			a = Home{}
		}
		o.SetHome(h.Name, a)
		return a, err
	})
	if ok && k.home.Incarnation != "" && age < maxHomeAge {
		return k.home, true
	}
	select {
	case r := <-c:
		a, isHome := r.Val.(Home)
		return a, isHome && a.Incarnation != ""
	case <-ctx.Done():
		return Home{}, false
	}
}
