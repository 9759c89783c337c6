package grant

import (
	"slices"
	"time"

	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/strict"
)

// claim claims the endpoints that this host should own or take over now.
func (m *Machine) claim(now time.Time) {
	if m.leaving || m.fullReadAt.IsZero() {
		return
	}
	hosts := m.activeHosts(now)
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

// claimable returns the ordered names of the endpoints that have no owner, or one
// whose lease has lapsed, and that this host does not own or claim already.
func (m *Machine) claimable(now time.Time) []string {
	free := []string{}
	add := func(e string) {
		if m.owned[e] == nil && m.pendingClaims[e].Endpoint == "" {
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
		if s.row.Owner == "" || !now.Before(m.lapsedAt(s)) {
			add(e)
		}
	}
	slices.Sort(free)
	return free
}

// claimUnowned claims an endpoint that has no row or was given up by its owner.
// The chosen host claims at once, the others later, one after the other, in case
// the chosen host has died.
func (m *Machine) claimUnowned(e intent.Endpoint, chosen string, hosts []store.Host, now time.Time) {
	since, ok := m.unownedSince[e.Name]
	if !ok {
		m.unownedSince[e.Name] = now
		since = now
	}
	if d, ok := m.claimDelay(e, hosts); chosen != m.options.Self && (!ok || now.Before(since.Add(d))) {
		return
	}
	if s := m.rows[e.Name]; s != nil {
		if m.version.Number >= s.row.Version {
			r := s.row
			r.Epoch++
			m.submitClaim(r, s.version, now)
		}
		return
	}
	m.submitClaim(Row{
		Endpoint:    e.Name,
		Epoch:       m.revoked[e.Name].epoch + 1,
		MaxDuration: m.maxDuration(e.Name),
		Version:     m.version.Number,
	}, 0, now)
}

// claimDelay returns how long this host waits for the hosts before it in the order
// of preference, and whether it may own the endpoint at all.
func (m *Machine) claimDelay(e intent.Endpoint, hosts []store.Host) (time.Duration, bool) {
	i := slices.Index(claimOrder(m.version.Declaration, e, hosts), m.options.Self)
	return time.Duration(i+2) * m.options.Timing.ClaimDelay, i >= 0
}

// claimLapsed takes over an endpoint whose lease has lapsed. The limits that the
// owner and the standby may still use are reserved. The standby, or a later
// incarnation of the owner, claims at once. Other hosts claim only if the owner or
// the standby has left the platform's list or there is no standby, each after its
// claimDelay.
func (m *Machine) claimLapsed(e intent.Endpoint, s *seenRow, hosts []store.Host, now time.Time) {
	lapsed := m.lapsedAt(s)
	if now.Before(lapsed) || m.version.Number < s.row.Version {
		return
	}
	designated := s.row.Standby == m.options.Self || s.row.Owner == m.options.Self
	orphaned := !m.mayBeListed(s.row.Owner) || s.row.Standby == "" || !m.mayBeListed(s.row.Standby)
	if d, ok := m.claimDelay(e, hosts); !designated && (!orphaned || !ok || now.Before(lapsed.Add(d))) {
		return
	}
	r := s.row
	r.Epoch++
	r.MaxDuration = max(r.MaxDuration, m.maxDuration(e.Name))
	r.Reserved = m.takeoverReservations(s, now)
	if r.ownerLimitsLater().IsZero() && !orphaned && !s.row.Limits.IsZero() {
		return
	}
	m.submitClaim(r, s.version, now)
}

// lapsedAt returns when the lease that the row gives has lapsed on every clock.
func (m *Machine) lapsedAt(s *seenRow) time.Time {
	return s.seenAt.Add(m.withClockMargin(s.row.Term.Std()))
}

// takeoverReservations returns what other hosts, and earlier incarnations of this
// one, may still use of a row that this host takes over.
func (m *Machine) takeoverReservations(s *seenRow, now time.Time) []Reservation {
	kept := slices.DeleteFunc(slices.Clone(s.row.Reserved), func(v Reservation) bool {
		return v.Host == m.options.Self && v.Incarnation == m.options.Incarnation
	})
	own := s.row.OwnerLimits()
	add := func(v Reservation) {
		if !v.Limits.IsZero() {
			kept = append(kept, v)
		}
	}
	reduced := own.Reduced()
	v := Reservation{
		Host:        s.row.Owner,
		Incarnation: s.row.Incarnation,
		Limits:      reduced,
	}
	if !reduced.Covers(s.row.BeyondLease) {
		v.Limits = s.row.BeyondLease.Max(reduced)
		v.Later = &reduced
	}
	add(v)
	// An earlier incarnation of this host may have been the standby and have been
	// ceded limits. Those ceded before the row was last renewed are in the row, so a
	// reservation is needed only if this host has seen no renewal and the last
	// requests of the earlier incarnation may still be in flight.
	justStarted := !s.seenBefore && now.Before(m.options.Started.Add(m.withClockMargin(max(m.maxDurationOfAll, s.row.MaxDuration.Std()))))
	if s.row.Standby != "" && (s.row.Standby != m.options.Self || justStarted) {
		add(Reservation{
			Host:   s.row.Standby,
			Limits: own.Leased(),
		})
	}
	return kept
}

// submitClaim sends a claim on the condition that the row still has the version.
func (m *Machine) submitClaim(r Row, version uint64, now time.Time) {
	e := r.Endpoint
	endpoint, _ := m.version.Declaration.Endpoint(e)
	r.Owner = m.options.Self
	r.Incarnation = m.options.Incarnation
	r.Standby = chooseStandby(m.version.Declaration, endpoint, m.activeHosts(now), m.options.Self)
	r.Renewal = m.newAttempt(now)
	r.Term = strict.Duration(m.options.Timing.Term)
	r.BeyondLease = r.OwnerLimits().Reduced()
	if c, ok := m.received[e]; ok {
		r.BeyondLease = r.BeyondLease.Max(c.Limits).Min(r.OwnerLimits())
	}
	m.pendingClaims[e] = r
	m.unresolvedClaims[e] = append(m.unresolvedClaims[e], r)
	m.updateLedger(e)
	m.emit(Effect{
		Commit: &Commit{
			Attempt: r.Renewal,
			Transaction: store.Transaction{
				Conditions: []store.Condition{
					{
						Key:     RowKey(e),
						Version: version,
					},
				},
				Writes: []store.Write{
					{
						Key:   RowKey(e),
						Value: r.encode(),
					},
				},
			},
		},
	})
}

// withClockMargin returns how long this host has to wait until the duration d has
// passed on every other clock.
func (m *Machine) withClockMargin(d time.Duration) time.Duration {
	return d + m.options.Timing.MaxSkew + d/driftDivisor
}

// activeHosts returns the hosts that may be alive and are not suspended.
func (m *Machine) activeHosts(now time.Time) []store.Host {
	s := m.live
	if len(s) == 0 {
		s = m.hosts
	}
	return slices.DeleteFunc(slices.Clone(s), func(h store.Host) bool {
		return now.Before(m.suspended[h.Name])
	})
}
