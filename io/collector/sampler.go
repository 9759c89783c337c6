package collector

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/intent"
	"heatherford/core/quota"
	"heatherford/core/rollup"
	"heatherford/core/snapshot"
)

const (
	// sampleInterval is how often the requests in flight are sampled.
	sampleInterval = 250 * time.Millisecond
	// samplesPerList is how many samples go with one count of the hosts.
	samplesPerList = 8
)

// sampler samples the load that this host puts on regions.
type sampler struct {
	kernel *core.Kernel
	scope  tally.Scope
	// version is the one that places was made from.
	version *intent.Version
	// places maps an endpoint's name to its region.
	places map[string]intent.Region
	// samples counts the samples taken.
	samples int
}

func (s *sampler) run(t *tomb.Tomb) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sample()
		case <-t.Dying():
			return nil
		}
	}
}

func (s *sampler) sample() {
	v := s.kernel.Snapshot()
	if s.samples%samplesPerList == 0 {
		s.list(v)
	}
	s.samples++
	if v.Version == nil {
		return
	}
	s.scope.Gauge("version").Update(float64(v.Version.Number))
	s.place(v.Version)
	l := s.loads(s.kernel.Dispatcher.InFlight())
	l = append(l, s.capLoads(s.kernel.Dispatcher.CapCounts())...)
	s.kernel.RollUps.Sample(slices.DeleteFunc(slices.Clone(l), idle))
	for _, r := range l {
		g := s.scope.Tagged(map[string]string{
			"bound": string(r.Bound),
			"name":  r.Name,
		})
		g.Gauge("in_flight").Update(float64(r.InFlight))
		g.Gauge("cap").Update(float64(r.Cap))
	}
}

// idle reports whether a load is left out of the roll-up: nothing in flight
// against the cap of a shift or link, of which there may be very many.
func idle(l rollup.Load) bool {
	return l.Bound != rollup.BoundRegion && l.InFlight == 0
}

// capLoads returns the loads against the caps of the declared shifts and links.
func (s *sampler) capLoads(counts map[quota.CapName]int) []rollup.Load {
	a := []rollup.Load{}
	for _, f := range s.version.Declaration.Shifts {
		a = append(a, rollup.Load{
			Bound:    rollup.BoundShift,
			Name:     f.Name,
			Cap:      f.Cap,
			InFlight: counts[quota.ShiftCap(f.Name)],
		})
	}
	for _, l := range s.version.Declaration.Links {
		a = append(a, rollup.Load{
			Bound:    rollup.BoundLink,
			Name:     l.From + " to " + l.To,
			Cap:      l.Cap,
			InFlight: counts[quota.LinkCap(l.From, l.To)],
		})
	}
	return a
}

// list counts the hosts that the platform lists.
func (s *sampler) list(v *snapshot.Snapshot) {
	names := make([]string, 0, len(v.Hosts))
	for n := range v.Hosts {
		names = append(names, n)
	}
	s.kernel.RollUps.Hosts(names)
	s.scope.Gauge("hosts").Update(float64(len(names)))
}

func (s *sampler) place(v *intent.Version) {
	if s.version == v {
		return
	}
	s.version = v
	s.places = map[string]intent.Region{}
	regions := map[string]intent.Region{}
	for _, r := range v.Declaration.Regions {
		for _, z := range r.Zones {
			regions[z] = r
		}
	}
	for _, u := range v.Declaration.Upstreams {
		for _, e := range u.Endpoints {
			s.places[e.Name] = regions[e.Zone]
		}
	}
}

// loads sums the requests in flight by region. Requests at endpoints that are
// no longer declared are left out.
func (s *sampler) loads(inFlight map[string]int) []rollup.Load {
	m := map[string]rollup.Load{}
	for n, f := range inFlight {
		r, ok := s.places[n]
		if !ok {
			continue
		}
		l := m[r.Name]
		l.Bound = rollup.BoundRegion
		l.Name = r.Name
		l.Cap = r.Cap
		l.InFlight += f
		m[r.Name] = l
	}
	a := make([]rollup.Load, 0, len(m))
	for _, l := range m {
		a = append(a, l)
	}
	slices.SortFunc(a, func(x, y rollup.Load) int {
		return cmp.Compare(x.Name, y.Name)
	})
	return a
}
