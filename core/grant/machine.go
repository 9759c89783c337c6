package grant

import (
	"maps"
	"slices"
	"time"

	"heatherford/core/intent"
	"heatherford/core/quota"
	"heatherford/core/store"
	"heatherford/core/strict"
)

// Options are what a Machine is built from. All fields are required.
type Options struct {
	Self string
	// Incarnation is distinct for each run of a daemon.
	Incarnation string
	// Started is when this incarnation began.
	Started time.Time
	Timing  Timing
	// Ledger returns the endpoint's ledger, in which the machine sets the allowance.
	Ledger func(endpoint string) *quota.Ledger
}

// Machine holds one host's state of all grants. It is not safe for concurrent use.
type Machine struct {
	options Options
	effects []Effect
	// reportedOwners holds the owners that other hosts reported, and reportedCeded the
	// hosts that were reported to have been ceded limits, by the endpoint's name.
	reportedOwners map[string]Ownership
	reportedCeded  map[string]Ownership
	// lastFetched is the host whose known owners were fetched last.
	lastFetched string
	// serving caches the result of Serving. It is nil after that has changed.
	serving map[string]string
	// balanced is true if nothing has changed since Assign found nothing to move.
	balanced bool
	// revision grows with every change of allowances or owners.
	revision uint64

	version *intent.Version
	// limits are what the version allows each endpoint.
	limits map[string]quota.Limits
	// maxDurationOfAll is the longest deadline of the version's kinds, and
	// maxDurationByEndpoint that of the kinds that each endpoint serves.
	maxDurationOfAll      time.Duration
	maxDurationByEndpoint map[string]time.Duration
	// hosts is the platform's list as last read, or empty if it never was.
	hosts []store.Host
	// live are the hosts that are not known to be dead.
	live []store.Host
	// suspended holds until when hosts that did not accept an offer are suspended.
	suspended map[string]time.Time
	// unlistedSince holds since when hosts have been missing from the platform's list.
	unlistedSince map[string]time.Time

	rows map[string]*seenRow
	// owned holds the endpoints whose row names this incarnation.
	owned map[string]*ownedEndpoint
	// received holds the limits that owners have ceded to this host.
	received map[string]Cede
	// revoked holds which allowances of this host were revoked for good.
	revoked map[string]revocation
	// pendingClaims holds the rows of claims whose commit has not ended.
	pendingClaims map[string]Row

	// unresolvedClaims holds the claims that may be in the table, or may still get
	// there as long as the row is unchanged.
	unresolvedClaims map[string][]Row

	// attempt numbers this incarnation's commits.
	attempt uint64
	// sentAt holds when recent commits were sent, by attempt.
	sentAt map[uint64]time.Time
	// batch is the attempt of the renewal in progress, or 0. cedeSerial numbers the
	// cessions of this incarnation.
	batch      uint64
	cedeSerial uint64
	// unownedSince holds since when endpoints have been seen without an owner.
	unownedSince map[string]time.Time
	// renewalUnknown is true after a renewal that had a conflict or whose effect is
	// not known, until the rows have been read back.
	renewalUnknown   bool
	renewalUnknownAt time.Time
	// leaving is true once this host hands over all endpoints that it owns.
	leaving bool

	keyReadPending  bool
	fullReadPending bool
	keyReadSent     time.Time
	fullReadSent    time.Time
	// fullReadAt is when the newest successful full read was sent.
	fullReadAt time.Time
	// rowGoneAt is when a row was last found to be gone.
	rowGoneAt    time.Time
	nextKeyRead  time.Time
	nextFullRead time.Time
	nextRenew    time.Time
	nextRevoke   time.Time
	nextList     time.Time
	nextHandover time.Time
}

// seenRow is a row as this host last saw it.
type seenRow struct {
	row     Row
	version uint64
	// seenAt is when the first read or commit that returned the version had ended. The
	// version was sent by its writer before that.
	seenAt time.Time
	// seenBefore is true if an earlier version was seen before this one.
	seenBefore bool
}

// revocation says which allowances of an endpoint were revoked: those under epochs
// before epoch and, under epoch, cessions up to serial.
type revocation struct {
	epoch  uint64
	serial uint64
}

// New returns a machine that owns nothing.
func New(o Options) *Machine {
	return &Machine{
		options:          o,
		limits:           map[string]quota.Limits{},
		suspended:        map[string]time.Time{},
		unlistedSince:    map[string]time.Time{},
		rows:             map[string]*seenRow{},
		owned:            map[string]*ownedEndpoint{},
		received:         map[string]Cede{},
		revoked:          map[string]revocation{},
		pendingClaims:    map[string]Row{},
		unresolvedClaims: map[string][]Row{},
		sentAt:           map[uint64]time.Time{},
		unownedSince:     map[string]time.Time{},
		reportedOwners:   map[string]Ownership{},
		reportedCeded:    map[string]Ownership{},
	}
}

// TakeEffects returns the effects since the last call.
func (m *Machine) TakeEffects() []Effect {
	s := m.effects
	m.effects = nil
	return s
}

// SetVersion sets the version of the declaration. A version that is not newer than
// the present one is ignored.
func (m *Machine) SetVersion(v *intent.Version) {
	if m.version != nil && v.Number <= m.version.Number {
		return
	}
	m.version = v
	m.limits = quota.Divide(v.Declaration)
	m.setMaxDurations(v.Declaration)
	m.nextFullRead = time.Time{}
	m.balanced = false
	for _, h := range m.owned {
		h.bound = h.bound.Min(m.versionBound(h.row))
		h.writeDue = true
	}
	for e, c := range m.received {
		c.bound = c.bound.Min(m.versionBound(c.row()))
		m.received[e] = c
	}
	m.updateLedgers()
}

// SetHosts sets the platform's list of hosts.
func (m *Machine) SetHosts(hosts []store.Host, now time.Time) {
	for _, h := range m.hosts {
		if !listed(hosts, h.Name) {
			m.unlistedSince[h.Name] = now
		}
	}
	for _, h := range hosts {
		delete(m.unlistedSince, h.Name)
	}
	m.hosts = hosts
	m.balanced = false
}

// SetLive sets the hosts that are not known to be dead. Without it, those are the
// hosts on the platform's list.
func (m *Machine) SetLive(hosts []store.Host) {
	m.live = hosts
	m.serving = nil
	m.revision++
	m.balanced = false
}

// StartLeaving makes the host hand over all endpoints that it owns and claim no more.
func (m *Machine) StartLeaving() {
	m.leaving = true
}

// Tick does what is due at the time now. It does nothing before a declaration and
// a host that is not suspended are known.
func (m *Machine) Tick(now time.Time) {
	if m.version == nil || len(m.activeHosts(now)) == 0 {
		return
	}
	m.startReads(now)
	m.requestList(now)
	m.claim(now)
	m.startHandover(now)
	m.cede(now)
	m.requestRevocations(now)
	m.renew(now)
}

// Owners returns the owner of each endpoint that has one, by the endpoint's name.
// An owner may have died since.
func (m *Machine) Owners() map[string]string {
	o := map[string]string{}
	for e, s := range m.rows {
		if s.row.Owner != "" {
			o[e] = s.row.Owner
		}
	}
	return o
}

// Allowances returns what this host may send to each endpoint, by name.
func (m *Machine) Allowances() map[string]quota.Allowance {
	s := map[string]quota.Allowance{}
	for e := range m.owned {
		s[e] = m.allowance(e)
	}
	for e := range m.received {
		s[e] = m.allowance(e)
	}
	return s
}

// Revision returns a number that grows with every change of what Owners, Serving
// and Allowances return.
func (m *Machine) Revision() uint64 {
	return m.revision
}

// MaxDuration returns how long a request to the endpoint may take at most.
func (m *Machine) MaxDuration(endpoint string) time.Duration {
	return m.maxDuration(endpoint).Std()
}

// maxDuration returns the longest deadline of the endpoint's kinds, or of all
// kinds if no kind of the version uses the endpoint.
func (m *Machine) maxDuration(endpoint string) strict.Duration {
	d, ok := m.maxDurationByEndpoint[endpoint]
	if !ok {
		d = m.maxDurationOfAll
	}
	return strict.Duration(d)
}

func (m *Machine) setMaxDurations(d *intent.Declaration) {
	m.maxDurationOfAll = 0
	m.maxDurationByEndpoint = map[string]time.Duration{}
	for _, k := range d.Kinds {
		m.maxDurationOfAll = max(m.maxDurationOfAll, k.Deadline.Std())
		for _, u := range d.Upstreams {
			if u.Name != k.Upstream {
				continue
			}
			for _, e := range u.Endpoints {
				m.maxDurationByEndpoint[e.Name] = max(m.maxDurationByEndpoint[e.Name], k.Deadline.Std())
			}
		}
	}
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) note(endpoint, text string) {
	m.emit(Effect{
		Note: &Note{
			Endpoint: endpoint,
			Text:     text,
		},
	})
}

// newAttempt returns the number of a new commit and keeps the time at which it is
// sent.
func (m *Machine) newAttempt(now time.Time) uint64 {
	m.attempt++
	m.sentAt[m.attempt] = now
	const kept = 256
	delete(m.sentAt, m.attempt-kept)
	return m.attempt
}

// driftDivisor bounds the drift of clocks: two clocks differ by at most one
// hundredth in how long they measure a duration.
const driftDivisor = 100

func sortedKeys[V any](s map[string]V) []string {
	return slices.Sorted(maps.Keys(s))
}

func without(hosts []store.Host, name string) []store.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h store.Host) bool {
		return h.Name == name
	})
}

// mayBeListed reports whether the host is not known to have left the platform's
// list.
func (m *Machine) mayBeListed(name string) bool {
	return len(m.hosts) == 0 || listed(m.hosts, name)
}

func listed(hosts []store.Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h store.Host) bool {
		return h.Name == name
	})
}
