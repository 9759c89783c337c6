package grant

import (
	"slices"
	"time"

	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/strict"
)

// claim takes the endpoints that are this host's to take.
func (m *Machine) claim(now time.Time) {
	if m.leaving || m.surveyed.IsZero() {
		return
	}
	hosts := m.answering(now)
	var chosen map[string]string
	for _, e := range m.claimable(now) {
		endpoint, _ := m.version.Declaration.Endpoint(e)
		endpoint.Name = e
		s := m.rows[e]
		if s == nil || s.row.Owner == "" {
			if chosen == nil {
				chosen = Assign(m.version.Declaration, hosts, m.Owners())
			}
			m.claimUnowned(endpoint, chosen[e], hosts, now)
			continue
		}
		m.claimLapsed(endpoint, s, hosts, now)
	}
}

// claimable returns the names of the endpoints that have no owner, or one whose
// lease has lapsed, ordered.
func (m *Machine) claimable(now time.Time) []string {
	free := []string{}
	add := func(e string) {
		if m.held[e] == nil && m.claims[e].Endpoint == "" {
			free = append(free, e)
		}
	}
	for _, u := range m.version.Declaration.Upstreams {
		for _, e := range u.Endpoints {
			if !e.Leaving && m.rows[e.Name] == nil {
				add(e.Name)
			}
		}
	}
	for e, s := range m.rows {
		if s.row.Owner == "" || !now.Before(m.lapsed(s)) {
			add(e)
		}
	}
	slices.Sort(free)
	return free
}

// claimUnowned claims an endpoint without a row, or that its owner gave up: the chosen host at once, the
// others in turn, in case it has died.
func (m *Machine) claimUnowned(e intent.Endpoint, chosen string, hosts []store.Host, now time.Time) {
	since, ok := m.unowned[e.Name]
	if !ok {
		m.unowned[e.Name] = now
		since = now
	}
	if d, ok := m.turn(e, hosts); chosen != m.options.Self && (!ok || now.Before(since.Add(d))) {
		return
	}
	if s := m.rows[e.Name]; s != nil {
		if m.version.Number >= s.row.Version {
			r := s.row
			r.Epoch++
			m.submit(r, s.version, now)
		}
		return
	}
	m.submit(Row{
		Endpoint: e.Name,
		Epoch:    m.acknowledged[e.Name].epoch + 1,
		Longest:  m.longestOf(e.Name),
		Version:  m.version.Number,
	}, 0, now)
}

// turn returns how long this host leaves an endpoint to those before it, and
// whether it may own one at all.
func (m *Machine) turn(e intent.Endpoint, hosts []store.Host) (time.Duration, bool) {
	i := slices.Index(order(m.version.Declaration, e, hosts), m.options.Self)
	return time.Duration(i+2) * m.options.Timing.Unclaimed, i >= 0
}

// claimLapsed takes an endpoint over whose lease has lapsed. The parts that the owner and the standby may still
// use are reserved.
func (m *Machine) claimLapsed(e intent.Endpoint, s *seenRow, hosts []store.Host, now time.Time) {
	lapsed := m.lapsed(s)
	if now.Before(lapsed) || m.version.Number < s.row.Version {
		return
	}
	expected := s.row.Standby == m.options.Self || s.row.Owner == m.options.Self
	orphaned := !m.mayBeListed(s.row.Owner) || s.row.Standby == "" || !m.mayBeListed(s.row.Standby)
	if d, ok := m.turn(e, hosts); !expected && (!orphaned || !ok || now.Before(lapsed.Add(d))) {
		return
	}
	r := s.row
	r.Epoch++
	r.Longest = max(r.Longest, m.longestOf(e.Name))
	r.Reserved = m.reservations(s, now)
	if r.ownLater().IsZero() && !orphaned && !s.row.Limits.IsZero() {
		return
	}
	m.submit(r, s.version, now)
}

// lapsed returns when the lease that the row gives has lapsed on every clock.
func (m *Machine) lapsed(s *seenRow) time.Time {
	return s.at.Add(m.guarded(s.row.Term.Std()))
}

// reservations returns what others may still use of a row that is taken over.
func (m *Machine) reservations(s *seenRow, now time.Time) []Reservation {
	kept := slices.DeleteFunc(slices.Clone(s.row.Reserved), func(v Reservation) bool {
		return v.Host == m.options.Self && v.Incarnation == m.options.Incarnation
	})
	own := s.row.Own()
	add := func(v Reservation) {
		if !v.Limits.IsZero() {
			kept = append(kept, v)
		}
	}
	smaller := own.Smaller()
	v := Reservation{
		Host:        s.row.Owner,
		Incarnation: s.row.Incarnation,
		Limits:      smaller,
	}
	if !smaller.Covers(s.row.Lasting) {
		v.Limits = s.row.Lasting.Max(smaller)
		v.Later = &smaller
	}
	add(v)
	// An earlier incarnation of this host may have been the standby. What it was
	// ceded before the row was last renewed, the row says.
	young := !s.renewed && now.Before(m.options.Started.Add(m.guarded(max(m.longest, s.row.Longest.Std()))))
	if s.row.Standby != "" && (s.row.Standby != m.options.Self || young) {
		add(Reservation{
			Host:   s.row.Standby,
			Limits: own.Rest(),
		})
	}
	return kept
}

// submit begins a claim on the condition that the row still has the version.
func (m *Machine) submit(r Row, version uint64, now time.Time) {
	e := r.Endpoint
	endpoint, _ := m.version.Declaration.Endpoint(e)
	r.Owner = m.options.Self
	r.Incarnation = m.options.Incarnation
	r.Standby = chooseStandby(m.version.Declaration, endpoint, m.answering(now), m.options.Self)
	r.Renewal = m.number(now)
	r.Term = strict.Duration(m.options.Timing.Term)
	r.Lasting = r.Own().Smaller()
	if c, ok := m.received[e]; ok {
		r.Lasting = r.Lasting.Max(c.Limits).Min(r.Own())
	}
	m.claims[e] = r
	m.doubts[e] = append(m.doubts[e], r)
	m.apply(e)
	m.emit(Effect{
		Commit: &Commit{
			Attempt: r.Renewal,
			Transaction: store.Transaction{
				Conditions: []store.Condition{
					{
						Key:     Key(e),
						Version: version,
					},
				},
				Writes: []store.Write{
					{
						Key:   Key(e),
						Value: r.encode(),
					},
				},
			},
		},
	})
}

// guarded returns how long this host has to wait until a time of length d has
// passed on every other clock.
func (m *Machine) guarded(d time.Duration) time.Duration {
	return d + m.options.Timing.Skew + d/driftShare
}

// answering returns the hosts that may be alive, without those that did not
// answer lately.
func (m *Machine) answering(now time.Time) []store.Host {
	s := m.alive
	if len(s) == 0 {
		s = m.hosts
	}
	return slices.DeleteFunc(slices.Clone(s), func(h store.Host) bool {
		return now.Before(m.silent[h.Name])
	})
}
