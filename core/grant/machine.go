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
	// Ledger returns the endpoint's ledger, which the machine gives its rights.
	Ledger func(endpoint string) *quota.Ledger
}

// Machine is one host's part in the grants. Only one goroutine may use it.
type Machine struct {
	options Options
	effects []Effect
	// told and parts hold what other hosts tell of owners, and of hosts that have
	// been ceded a part, by the endpoint's name.
	told  map[string]Ownership
	parts map[string]Ownership
	// teacher is the host that was asked last for what it knows.
	teacher string
	// serving is what Serving returns, or nil after that has changed.
	serving map[string]string
	// assigned is true if nothing has changed since Assign found nothing to move.
	assigned bool
	// revision grows with every change of rights or owners.
	revision uint64

	version *intent.Version
	// limits are what the version allows each endpoint.
	limits map[string]quota.Limits
	// longest is the longest deadline of the version's kinds, and longestBy that
	// of the kinds that each endpoint works for.
	longest   time.Duration
	longestBy map[string]time.Duration
	// hosts is the platform's list as last read, or empty if it never was.
	hosts []store.Host
	// alive are the hosts that are not known to be dead.
	alive []store.Host
	// silent holds the hosts that did not answer an offer, and until when they
	// get no other.
	silent map[string]time.Time
	// gone holds since when hosts have been missing from the platform's list.
	gone map[string]time.Time

	rows map[string]*seenRow
	// held holds the endpoints whose row names this incarnation.
	held map[string]*holding
	// received holds the parts that owners have ceded to this host.
	received map[string]Cede
	// acknowledged holds what this host has given up for good.
	acknowledged map[string]mark
	// claims holds the endpoints with a claim under way.
	claims map[string]Row

	// doubts holds the claims that may be in the table, or may get there as long
	// as the row is as it was.
	doubts map[string][]Row

	// attempt numbers this incarnation's commits.
	attempt uint64
	// sent holds when recent commits were sent.
	sent map[uint64]time.Time
	// batch is the attempt of the renewal under way, or 0.
	batch  uint64
	serial uint64
	// unowned holds since when endpoints have been seen without a row.
	unowned map[string]time.Time
	// unsettled is true after a renewal whose effect is not known, until the
	// rows have been read back.
	unsettled   bool
	unsettledAt time.Time
	// leaving is true once this host hands over all that it holds.
	leaving bool

	reading    bool
	surveying  bool
	readSent   time.Time
	surveySent time.Time
	// surveyed is when the newest complete survey was begun.
	surveyed time.Time
	// forgotten is when a row was last found to be gone.
	forgotten time.Time
	nextRead  time.Time
	nextAll   time.Time
	nextRenew time.Time
	nextAsk   time.Time
	nextList  time.Time
	nextMove  time.Time
}

// seenRow is a row as this host knows it.
type seenRow struct {
	row     Row
	version uint64
	// at is after the first read that returned the version. Its writer sent it
	// earlier.
	at time.Time
	// renewed is true if an earlier version was seen before this one.
	renewed bool
}

// mark says which rights a host has given up: those under epochs before epoch
// and, under epoch, cessions up to serial.
type mark struct {
	epoch  uint64
	serial uint64
}

// New returns a machine that holds nothing.
func New(o Options) *Machine {
	return &Machine{
		options:      o,
		limits:       map[string]quota.Limits{},
		silent:       map[string]time.Time{},
		gone:         map[string]time.Time{},
		rows:         map[string]*seenRow{},
		held:         map[string]*holding{},
		received:     map[string]Cede{},
		acknowledged: map[string]mark{},
		claims:       map[string]Row{},
		doubts:       map[string][]Row{},
		sent:         map[uint64]time.Time{},
		unowned:      map[string]time.Time{},
		told:         map[string]Ownership{},
		parts:        map[string]Ownership{},
	}
}

// Take returns the effects since the last call.
func (m *Machine) Take() []Effect {
	s := m.effects
	m.effects = nil
	return s
}

// SetVersion tells of a declaration. An older one than before is ignored.
func (m *Machine) SetVersion(v *intent.Version) {
	if m.version != nil && v.Number <= m.version.Number {
		return
	}
	m.version = v
	m.limits = quota.Divide(v.Declaration)
	m.setLongest(v.Declaration)
	m.nextAll = time.Time{}
	m.assigned = false
	for _, h := range m.held {
		h.bound = h.bound.Min(m.boundOf(h.row))
		h.changed = true
	}
	for e, c := range m.received {
		c.bound = c.bound.Min(m.boundOf(c.row()))
		m.received[e] = c
	}
	m.applyAll()
}

// SetHosts tells of the platform's list of hosts.
func (m *Machine) SetHosts(hosts []store.Host, now time.Time) {
	for _, h := range m.hosts {
		if !listed(hosts, h.Name) {
			m.gone[h.Name] = now
		}
	}
	for _, h := range hosts {
		delete(m.gone, h.Name)
	}
	m.hosts = hosts
	m.assigned = false
}

// SetAlive tells of the hosts that are not known to be dead. Without it, those
// are the hosts on the platform's list.
func (m *Machine) SetAlive(hosts []store.Host) {
	m.alive = hosts
	m.serving = nil
	m.revision++
	m.assigned = false
}

// Leave makes the host hand over all that it holds and claim nothing more.
func (m *Machine) Leave() {
	m.leaving = true
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) {
	if m.version == nil || len(m.answering(now)) == 0 {
		return
	}
	m.read(now)
	m.list(now)
	m.claim(now)
	m.move(now)
	m.cede(now)
	m.ask(now)
	m.renew(now)
}

// Owners returns the owner of each endpoint that has one, by the endpoint's
// name. An owner may have died since.
func (m *Machine) Owners() map[string]string {
	o := map[string]string{}
	for e, s := range m.rows {
		if s.row.Owner != "" {
			o[e] = s.row.Owner
		}
	}
	return o
}

// Rights returns what this host may send to each endpoint, by name.
func (m *Machine) Rights() map[string]quota.Right {
	s := map[string]quota.Right{}
	for e := range m.held {
		s[e] = m.right(e)
	}
	for e := range m.received {
		s[e] = m.right(e)
	}
	return s
}

// Revision returns a number that grows with every change of what Owners, Serving
// and Rights return.
func (m *Machine) Revision() uint64 {
	return m.revision
}

// Longest returns how long a request to the endpoint may take at most.
func (m *Machine) Longest(endpoint string) time.Duration {
	return m.longestOf(endpoint).Std()
}

// longestOf returns the longest deadline of the endpoint's kinds, or of all kinds
// if the version does not have the endpoint.
func (m *Machine) longestOf(endpoint string) strict.Duration {
	d, ok := m.longestBy[endpoint]
	if !ok {
		d = m.longest
	}
	return strict.Duration(d)
}

func (m *Machine) setLongest(d *intent.Declaration) {
	m.longest = 0
	m.longestBy = map[string]time.Duration{}
	for _, k := range d.Kinds {
		m.longest = max(m.longest, k.Deadline.Std())
		for _, u := range d.Upstreams {
			if u.Name != k.Upstream {
				continue
			}
			for _, e := range u.Endpoints {
				m.longestBy[e.Name] = max(m.longestBy[e.Name], k.Deadline.Std())
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

// number begins an attempt.
func (m *Machine) number(now time.Time) uint64 {
	m.attempt++
	m.sent[m.attempt] = now
	const kept = 256
	delete(m.sent, m.attempt-kept)
	return m.attempt
}

// driftShare is the part of a length of time by which two clocks measure it
// differently at most: one hundredth.
const driftShare = 100

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
