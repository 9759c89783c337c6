package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"heatherford/core/registry"
)

// Options describe a balancer.
type Options struct {
	// Self is the name of this host.
	Self   string
	Zone   string
	Region string
	// RegionOf returns the region of an availability zone, or an empty string.
	RegionOf func(zone string) string
	// Random returns a number below 1; nil stands for a random one.
	Random func() float64
}

// Balancer chooses endpoints and admits requests to those that this host owns.
// It is safe for concurrent use.
type Balancer struct {
	options Options

	mu    sync.Mutex
	seats map[string]*seat
	// pools holds each upstream's seats by level, ordered by name.
	pools map[string]*pool
}

// pool is the endpoints of an upstream.
type pool struct {
	seats  [levels][]*seat
	shares Shares
	// started is true once shares were set.
	started bool
	// tokens bound the requests that leave the region beyond the shares.
	tokens float64
	// times are the usual times at endpoints by class of work.
	times map[string]*times
	// use is the decayed use of the own zone's slots.
	use float64
	// pressed is the decayed part of requests that found no room at home.
	pressed float64
}

// New returns a balancer without endpoints.
func New(o Options) *Balancer {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Balancer{
		options: o,
		seats:   map[string]*seat{},
		pools:   map[string]*pool{},
	}
}

// Limits are what bounds an upstream's endpoints.
type Limits struct {
	Connections int
	// ColdRate is the number of requests a second that a cold endpoint bears
	// from all hosts.
	ColdRate float64
}

// Placement says what a host is to an endpoint.
type Placement struct {
	// Owner is the host that sends to the endpoint.
	Owner string
	// Unowned is true if no host is near the endpoint, so that each host that has
	// a request for it sends it itself. Owner is this host then.
	Unowned bool
	// ColdPart is the part of a cold endpoint's allowance that this host may
	// pass on, and ColdOwn what an owner may use.
	ColdPart float64
	ColdOwn  float64
}

// Set replaces the endpoints. Place says what this host is to each of them.
// Requests that wait for an endpoint that is gone are refused.
func (b *Balancer) Set(s []registry.Endpoint, limits map[string]Limits, place func(e *registry.Endpoint) Placement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.seats
	b.seats = map[string]*seat{}
	for _, p := range b.pools {
		p.seats = [levels][]*seat{}
	}
	for i := range s {
		e := s[i]
		l, ok := limits[e.Upstream]
		if !ok {
			continue
		}
		x := old[e.ID]
		if x == nil || !x.Born.Equal(e.Born) || x.Address != e.Address {
			x = newSeat(e)
		} else {
			delete(old, e.ID)
		}
		b.place(x, e, l, place(&e))
	}
	for _, x := range old {
		x.dismiss(now)
	}
}

func (b *Balancer) place(x *seat, e registry.Endpoint, l Limits, m Placement) {
	x.Endpoint = e
	x.region = b.options.RegionOf(e.Zone)
	x.level = b.level(e.Zone, x.region)
	x.owner = m.Owner
	x.unowned = m.Unowned
	x.connections = l.Connections
	x.coldRate.rate = l.ColdRate * m.ColdPart
	x.coldOwn.rate = l.ColdRate * m.ColdOwn
	b.seats[e.ID] = x
	p := b.pool(e.Upstream)
	p.seats[x.level] = append(p.seats[x.level], x)
}

func (b *Balancer) level(zone, region string) Level {
	switch {
	case zone == b.options.Zone:
		return SameZone
	case region == b.options.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (b *Balancer) pool(upstream string) *pool {
	p := b.pools[upstream]
	if p == nil {
		p = &pool{
			tokens: allowance,
		}
		b.pools[upstream] = p
	}
	return p
}

// press notes whether a request found no room.
func (p *pool) press(x float64) {
	const weight = 0.05
	p.pressed += weight * (x - p.pressed)
}
