package balance

import "time"

// minServedShare is the least share of served requests by which the utilization
// is divided, so that refusals raise it at most tenfold.
const minServedShare = 0.1

// loadTimeConstant is the time constant of the mean load by which work moves
// between zones. It is long compared with the time of a request.
const loadTimeConstant = 1500 * time.Millisecond

// OwnedStates returns the states of the endpoints that this host owns, to be sent
// to other hosts. It omits unowned endpoints.
func (b *Balancer) OwnedStates(now time.Time) map[string]State {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]State{}
	for id, s := range b.endpoints {
		if s.owner == b.options.Self && !s.unowned {
			m[id] = b.pools[s.Upstream].state(s, now)
		}
	}
	return m
}

// RecordStates records the states that owners reported at the given time. It
// ignores states that are older than the known one, and those of endpoints that
// this host owns.
func (b *Balancer) RecordStates(m map[string]State, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range m {
		s := b.endpoints[id]
		if s == nil || s.owner == b.options.Self || at.Before(s.ownerStateAt) {
			continue
		}
		s.ownerState = t
		s.ownerStateAt = at
		s.outstandingThen = s.outstanding
		s.slowdown = t.Slowdown
		s.failureRate = t.FailureRate
		s.missRate = t.MissRate
		s.suspendedUntil = at.Add(min(maxSuspension, max(0, t.SuspendedFor)))
		s.ownerBackoffUntil = at.Add(t.BackoffFor)
		if t.Load < s.Slots {
			s.refusedUntil = time.Time{}
		}
	}
}

// Sample updates the mean loads of the own zone's endpoints. It must be called
// once per interval.
func (b *Balancer) Sample(interval time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := interval.Seconds() / loadTimeConstant.Seconds()
	for _, p := range b.pools {
		totalLoad, slots := 0.0, 0
		for _, s := range p.endpoints[SameZone] {
			n, _ := s.load(b.options.Self, now)
			s.meanLoad += w * (float64(n) - s.meanLoad)
			totalLoad += s.meanLoad
			slots += p.usableSlots(s)
		}
		p.utilization = totalLoad / float64(max(1, slots))
	}
}

// SlotUses returns how many slots the own zone has for each upstream, and how many
// are in use. Refused requests raise the number in use.
func (b *Balancer) SlotUses() map[string]SlotUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]SlotUse{}
	for n, p := range b.pools {
		u := SlotUse{}
		for _, s := range p.endpoints[SameZone] {
			slots := p.usableSlots(s)
			u.Slots += slots
			u.Used += s.meanLoad
			u.MissingSlots += s.missRate * float64(slots)
		}
		u.Used /= max(minServedShare, 1-p.refusedShare)
		m[n] = u
	}
	return m
}

// SlotUse is a number of slots and how many of them are in use.
type SlotUse struct {
	Slots int     `json:"slots"`
	Used  float64 `json:"used"`
	// MissingSlots is the sum of the miss rates, each multiplied by the slots of its
	// endpoint.
	MissingSlots float64 `json:"missing,omitempty"`
}

// Add returns the sum of two slot uses.
func (u SlotUse) Add(o SlotUse) SlotUse {
	return SlotUse{
		Slots:        u.Slots + o.Slots,
		Used:         u.Used + o.Used,
		MissingSlots: u.MissingSlots + o.MissingSlots,
	}
}

// Utilization returns the utilization, or -1 without slots.
func (u SlotUse) Utilization() float64 {
	if u.Slots == 0 {
		return -1
	}
	return u.Used / float64(u.Slots)
}

// Misses returns the mean miss rate, weighted by slots.
func (u SlotUse) Misses() float64 {
	if u.Slots == 0 {
		return 0
	}
	return u.MissingSlots / float64(u.Slots)
}

// Shares returns the spillover shares in force, by upstream.
func (b *Balancer) Shares() map[string]Shares {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]Shares{}
	for n, p := range b.pools {
		m[n] = p.shares
	}
	return m
}

// SetShares puts spillover shares in force, by upstream.
func (b *Balancer) SetShares(m map[string]Shares) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, s := range m {
		p := b.pool(n)
		p.shares = s
		p.hasShares = true
	}
}

// HasShares reports whether spillover shares of the upstream were set.
func (b *Balancer) HasShares(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[upstream]
	return p != nil && p.hasShares
}

// Summary is what a host knows of all endpoints of an upstream.
type Summary struct {
	Endpoints int
	// Suspended is the number of suspended endpoints, and Cold that of cold ones
	// among the others.
	Suspended int
	Cold      int
	// Limited is the number of endpoints that state a limit.
	Limited int
	// BackingOff is the number of endpoints owned by this host that want no requests from
	// it.
	BackingOff int
	// Leaving is the number of listed endpoints that leave by their own word, which are
	// not among the others.
	Leaving int
	// Strict is the number of endpoints owned by this host whose queue is strict.
	Strict int
	// Slots and Used are those of the own zone.
	Slots int
	Used  float64
}

// Summaries returns a summary of each upstream.
func (b *Balancer) Summaries(now time.Time) map[string]Summary {
	uses := b.SlotUses()
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]Summary{}
	for n, p := range b.pools {
		s := Summary{
			Slots: uses[n].Slots,
			Used:  uses[n].Used,
		}
		for _, l := range p.endpoints {
			s.Endpoints += len(l)
			for _, x := range l {
				switch {
				case x.suspended(now):
					s.Suspended++
				case x.cold(now):
					s.Cold++
				}
				if x.limited() {
					s.Limited++
				}
				if x.backsOff(now) && x.owner == b.options.Self {
					s.BackingOff++
				}
				if x.strict && x.owner == b.options.Self {
					s.Strict++
				}
			}
		}
		m[n] = s
	}
	for _, w := range b.leaving {
		if s, ok := m[w.upstream]; ok && w.listed {
			s.Leaving++
			m[w.upstream] = s
		}
	}
	return m
}
