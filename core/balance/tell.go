package balance

import "time"

// leastServed bounds what the part of requests that found no room adds to the use
// of slots.
const leastServed = 0.1

// busyTime is the time constant of the mean load by which work is moved. It is
// long beside the time of a request.
const busyTime = 1500 * time.Millisecond

// Owned returns what this host tells of the endpoints that it owns.
func (b *Balancer) Owned(now time.Time) map[string]State {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]State{}
	for id, s := range b.seats {
		if s.owner == b.options.Self && !s.unowned {
			m[id] = b.pools[s.Upstream].state(s, now)
		}
	}
	return m
}

// Tell takes in what the owners of endpoints tell, as of the time. What is older than
// what is known is passed over.
func (b *Balancer) Tell(m map[string]State, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range m {
		s := b.seats[id]
		if s == nil || s.owner == b.options.Self || at.Before(s.hintAt) {
			continue
		}
		s.hint = t
		s.hintAt = at
		s.hintPassing = s.passing
		s.pace = t.Pace
		s.failing = t.Failing
		s.missing = t.Missing
		s.restUntil = at.Add(t.Rest)
		if t.Load < s.Slots {
			s.busyUntil = time.Time{}
		}
	}
}

// Sample takes the loads of the own zone's endpoints into their decayed means.
// It is called at an even interval.
func (b *Balancer) Sample(interval time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := interval.Seconds() / busyTime.Seconds()
	for _, p := range b.pools {
		busy, slots := 0.0, 0
		for _, s := range p.seats[SameZone] {
			n, _ := s.load(b.options.Self, now)
			s.busy += w * (float64(n) - s.busy)
			busy += s.busy
			slots += s.Slots
		}
		p.use = busy / float64(max(1, slots))
	}
}

// Uses returns, for each upstream, the use of the slots of the own zone and how
// many there are.
func (b *Balancer) Uses() map[string]Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]Use{}
	for n, p := range b.pools {
		u := Use{}
		for _, s := range p.seats[SameZone] {
			u.Slots += s.Slots
			u.Used += s.busy
			u.Missing += s.missing * float64(s.Slots)
		}
		u.Used /= max(leastServed, 1-p.pressed)
		m[n] = u
	}
	return m
}

// Use is how much of some slots is used.
type Use struct {
	Slots int     `json:"slots"`
	Used  float64 `json:"used"`
	// Missing is the number of slots times the rate at which endpoints no
	// longer have an object ready that they served lately.
	Missing float64 `json:"missing,omitempty"`
}

// Add returns the sum of two uses.
func (u Use) Add(o Use) Use {
	return Use{
		Slots:   u.Slots + o.Slots,
		Used:    u.Used + o.Used,
		Missing: u.Missing + o.Missing,
	}
}

// Share returns the used part, or -1 without slots.
func (u Use) Share() float64 {
	if u.Slots == 0 {
		return -1
	}
	return u.Used / float64(u.Slots)
}

// Misses returns the mean rate of missing objects.
func (u Use) Misses() float64 {
	if u.Slots == 0 {
		return 0
	}
	return u.Missing / float64(u.Slots)
}

// Shares returns the shares in force.
func (b *Balancer) Shares() map[string]Shares {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]Shares{}
	for n, p := range b.pools {
		m[n] = p.shares
	}
	return m
}

// SetShares puts shares in force.
func (b *Balancer) SetShares(m map[string]Shares) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range m {
		p := b.pool(n)
		p.shares = s
		p.started = true
	}
}

// Started reports whether shares of an upstream were set.
func (b *Balancer) Started(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[upstream]
	return p != nil && p.started
}

// Summary is what a host knows of an upstream's endpoints in all places.
type Summary struct {
	Endpoints int
	// Resting is the number of endpoints that get nothing after failures, and
	// Cold of the others that are cold.
	Resting int
	Cold    int
	// Strict is the number of endpoints whose queue is strict, as far as this
	// host owns them.
	Strict int
	// Slots and Used are those of the own zone.
	Slots int
	Used  float64
}

// Summaries returns a summary of each upstream.
func (b *Balancer) Summaries(now time.Time) map[string]Summary {
	uses := b.Uses()
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]Summary{}
	for n, p := range b.pools {
		s := Summary{
			Slots: uses[n].Slots,
			Used:  uses[n].Used,
		}
		for _, l := range p.seats {
			s.Endpoints += len(l)
			for _, x := range l {
				switch {
				case x.resting(now):
					s.Resting++
				case x.cold(now):
					s.Cold++
				}
				if x.strict && x.owner == b.options.Self {
					s.Strict++
				}
			}
		}
		m[n] = s
	}
	return m
}
