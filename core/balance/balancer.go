package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"heatherford/core/registry"
)

// Options configure a Balancer.
type Options struct {
	// Self is the name of this host.
	Self   string
	Zone   string
	Region string
	// RegionOf returns the region of an availability zone, or an empty string if
	// it is not known.
	RegionOf func(zone string) string
	// Random returns a number in [0, 1). Nil stands for rand.Float64.
	Random func() float64
}

// Balancer chooses endpoints and admits requests to those that this host owns. It
// is safe for concurrent use.
type Balancer struct {
	options Options

	mu        sync.Mutex
	endpoints map[string]*endpoint
	// limits holds what is known of endpoints' limits by ID, also of endpoints that
	// are not listed now.
	limits map[string]*endpointLimit
	// leaving holds the endpoints that leave by their own word, by ID.
	leaving map[string]*leavingWord
	// backoffs holds the endpoints that want no requests from this host, by ID.
	backoffs map[string]*backoff
	// pools holds the endpoints of each upstream.
	pools map[string]*pool
	// isolated is true while this host reaches no endpoint.
	isolated bool
}

// pool is the endpoints of an upstream, by level.
type pool struct {
	endpoints [levelCount][]*endpoint
	// owns is true if this host owns any of them.
	owns   bool
	shares Shares
	// hasShares is true once the spillover shares were set.
	hasShares bool
	// farTokens is a token bucket for requests that leave the region beyond the
	// spillover shares.
	farTokens float64
	// serviceTimes holds the service times for each class of requests.
	serviceTimes map[string]*serviceTimes
	// utilization is the weighted moving average of the own zone's slots in use,
	// as a fraction of all.
	utilization float64
	// refusedShare is the weighted moving average of requests that no endpoint
	// could take.
	refusedShare float64
}

// New returns a balancer without endpoints.
func New(o Options) *Balancer {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Balancer{
		options:   o,
		endpoints: map[string]*endpoint{},
		limits:    map[string]*endpointLimit{},
		leaving:   map[string]*leavingWord{},
		backoffs:  map[string]*backoff{},
		pools:     map[string]*pool{},
	}
}

// Limits bound the load on each endpoint of an upstream.
type Limits struct {
	Connections int
	// ColdRate is the number of requests per second that a cold endpoint can take
	// from all hosts together.
	ColdRate float64
}

// Placement says which host owns an endpoint, and what this host may send to it
// while it is cold or states a limit.
type Placement struct {
	// Owner is the host that sends to the endpoint, and OwnerRegion its region.
	Owner       string
	OwnerRegion string
	// Unowned is true if no host is near the endpoint. Each host then sends its
	// own requests to it, and Owner is this host.
	Unowned bool
	// ForwardColdShare is the share of Limits.ColdRate for which this host may
	// choose the endpoint. OwnerColdShare is the share that it may send as the
	// owner.
	ForwardColdShare float64
	OwnerColdShare   float64
	// LimitShare is the share of the limit that the endpoint states which this host
	// may send as the owner.
	LimitShare float64
}

// SetEndpoints replaces the endpoints, but for those that leave by their own word. The
// function placementOf returns this host's placement for an endpoint. Requests that are
// queued for an endpoint that is no longer listed are refused.
func (b *Balancer) SetEndpoints(s []registry.Endpoint, limits map[string]Limits, placementOf func(e *registry.Endpoint) Placement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.endpoints
	b.endpoints = map[string]*endpoint{}
	for _, p := range b.pools {
		p.endpoints = [levelCount][]*endpoint{}
		p.owns = false
	}
	b.unlistLeaving()
	for i := range s {
		e := s[i]
		l, ok := limits[e.Upstream]
		if !ok || b.takeLeaving(&e, now) {
			continue
		}
		x := old[e.ID]
		if x == nil || !x.StartedAt.Equal(e.StartedAt) || x.Address != e.Address {
			x = newEndpoint(e)
			b.inheritBackoff(&e, now)
		} else {
			delete(old, e.ID)
		}
		b.setPlacement(x, e, l, placementOf(&e))
	}
	for _, x := range old {
		x.closeQueue(now)
	}
	b.expireBackoffs(now)
}

func (b *Balancer) setPlacement(x *endpoint, e registry.Endpoint, l Limits, m Placement) {
	x.Endpoint = e
	x.region = b.options.RegionOf(e.Zone)
	x.level = b.level(e.Zone, x.region)
	if x.owner != m.Owner {
		x.ownerBackoffUntil = time.Time{}
	}
	x.owner = m.Owner
	x.ownerRegion = m.OwnerRegion
	x.unowned = m.Unowned
	x.connections = l.Connections
	x.coldRate.rate = l.ColdRate * m.ForwardColdShare
	x.coldOwn.rate = l.ColdRate * m.OwnerColdShare
	x.limitShare = m.LimitShare
	b.setLimit(x)
	x.backoff = b.backoffOf(&e)
	b.endpoints[e.ID] = x
	p := b.pool(e.Upstream)
	p.endpoints[x.level] = append(p.endpoints[x.level], x)
	p.owns = p.owns || x.owner == b.options.Self
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
			farTokens: maxFarTokens,
		}
		b.pools[upstream] = p
	}
	return p
}

// updateRefusedShare takes in one request: 1 if no endpoint could take it, 0 if
// it was served.
func (p *pool) updateRefusedShare(x float64) {
	const weight = 0.05
	p.refusedShare += weight * (x - p.refusedShare)
}

// Targets returns the endpoints of an upstream.
func (b *Balancer) Targets(upstream string) []Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := []Target{}
	for _, x := range b.endpoints {
		if x.Upstream == upstream {
			s = append(s, x.target())
		}
	}
	return s
}

// InUse reports whether an incarnation of an endpoint may get new requests: it neither
// leaves nor has left, and its zone is not drained.
func (b *Balancer) InUse(id string, startedAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[id]
	return s != nil && s.StartedAt.Equal(startedAt)
}
