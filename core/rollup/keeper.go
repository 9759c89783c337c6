package rollup

import (
	"bytes"
	"sync"
	"time"

	"heatherford/core/outcome"
	"heatherford/core/strict"
	"heatherford/core/timeline"
)

const (
	// maxPending and maxPendingBytes bound what waits to be written: about two
	// days of this host, or the last hours of the hosts that left.
	maxPending      = 512
	maxPendingBytes = 8 << 20
)

// Options are what a Keeper is built from.
type Options struct {
	Host        string
	Region      string
	Incarnation string
	// Interval is the shortest time between two writings, 0 for the default.
	Interval time.Duration
	// Now returns the time.
	Now func() time.Time
}

// Bound says what a cap bounds.
type Bound string

// The bounds of caps.
const (
	BoundRegion Bound = "region"
	BoundShift  Bound = "shift"
	BoundLink   Bound = "link"
)

// Load is what this host has in flight against one cap.
type Load struct {
	Bound Bound
	// Name names the region, the shift or the link.
	Name     string
	Cap      int
	InFlight int
}

// Keeper counts into the roll-up of the present hour and holds those that are
// not written yet. It is safe for concurrent use.
type Keeper struct {
	options Options
	started time.Time

	mu      sync.Mutex
	current *hour
	// interval is how often the roll-up is written.
	interval time.Duration
	// sampled is when the load was last sampled, or zero.
	sampled time.Time
	// pending are closed roll-ups that are not known to be written, the oldest
	// first, with their size in bytes.
	pending []Object
	bytes   int
	// lost is the number of roll-ups dropped from pending.
	lost int
	// stopped is true once the last roll-up is closed.
	stopped bool
}

// New returns a keeper that counts from now on.
func New(o Options) *Keeper {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	k := &Keeper{
		options:  o,
		started:  o.Now().UTC(),
		interval: o.Interval,
	}
	k.current = newHour(k.roll(k.started))
	return k
}

func (k *Keeper) roll(from time.Time) Roll {
	return Roll{
		Format:      Format,
		Host:        k.options.Host,
		Region:      k.options.Region,
		Incarnation: k.options.Incarnation,
		Started:     k.started,
		Hour:        from.UTC().Truncate(HourLength),
		From:        from.UTC(),
	}
}

// Result counts x.
func (k *Keeper) Result(x outcome.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.turn(x.At)
	k.current.result(x)
}

// Event takes an event that has a phase and ignores all others.
func (k *Keeper) Event(e timeline.Event) {
	if e.Phase == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.turn(k.options.Now())
	k.current.event(e)
}

// Sample takes the loads against all caps that the host sends under.
func (k *Keeper) Sample(loads []Load) {
	now := k.options.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.turn(now)
	d := time.Duration(0)
	if !k.sampled.IsZero() {
		d = now.Sub(k.sampled)
	}
	full := !now.Truncate(SampleLength).Equal(k.sampled.Truncate(SampleLength))
	k.sampled = now
	for _, l := range loads {
		k.current.sample(now, l, d, full)
	}
}

// Hosts takes the names of the hosts that the platform lists.
func (k *Keeper) Hosts(names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.turn(k.options.Now())
	k.interval = Interval(len(names), k.options.Interval)
	if !Lister(names, k.options.Host, k.current.roll.Hour) {
		return
	}
	for _, n := range names {
		k.current.listed[n] = true
	}
}

// Interval returns how often Objects should be written.
func (k *Keeper) Interval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.interval
}

// Objects returns what has to be written, the oldest first: the closed
// roll-ups and the present one.
func (k *Keeper) Objects() ([]Object, error) {
	now := k.options.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.turn(now)
	s := append([]Object{}, k.pending...)
	if k.stopped {
		return s, nil
	}
	k.current.roll.To = now.UTC()
	k.current.roll.Interval = strict.Duration(k.interval)
	k.current.roll.Lost = k.lost
	o, err := k.current.encode()
	if err != nil {
		return s, err
	}
	return append(s, o), nil
}

// Wrote forgets a closed roll-up that was written.
func (k *Keeper) Wrote(o Object) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, p := range k.pending {
		if p.Name == o.Name && bytes.Equal(p.Data, o.Data) {
			k.pending = append(k.pending[:i], k.pending[i+1:]...)
			k.bytes -= len(p.Data)
			return
		}
	}
}

// Take keeps the roll-ups of a host that leaves, and returns how many of them
// it took.
func (k *Keeper) Take(s []Object) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, o := range s {
		if !ValidName(o.Name) || k.bytes+len(o.Data) > maxPendingBytes || len(k.pending) >= maxPending {
			return i
		}
		k.add(o)
	}
	return len(s)
}

// Stop closes the present roll-up at the end of a planned stop. Nothing is
// counted afterwards.
func (k *Keeper) Stop() {
	now := k.options.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	k.turn(now)
	k.current.roll.Stopped = true
	k.close(now)
	k.stopped = true
}

// turn begins a new roll-up if now is in a later hour.
func (k *Keeper) turn(now time.Time) {
	h := now.UTC().Truncate(HourLength)
	if k.stopped || !h.After(k.current.roll.Hour) {
		return
	}
	old := k.current
	k.close(old.roll.Hour.Add(HourLength))
	// After a pause of some hours the time between is not covered.
	k.current = newHour(k.roll(h))
	for _, i := range old.incidents {
		if i.Ended.IsZero() {
			k.current.incidents = append(k.current.incidents, i)
		}
	}
}

// close moves the present roll-up, which covers the time to t, to pending.
func (k *Keeper) close(t time.Time) {
	k.current.roll.To = t.UTC()
	k.current.roll.Interval = strict.Duration(k.interval)
	k.current.roll.Closed = true
	k.current.roll.Lost = k.lost
	o, err := k.current.encode()
	if err != nil {
		k.lost++
		return
	}
	k.add(o)
}

// add appends o to pending in place of an older one of the same name, and
// drops the oldest if there are too many.
func (k *Keeper) add(o Object) {
	for i, p := range k.pending {
		if p.Name == o.Name {
			k.bytes += len(o.Data) - len(p.Data)
			k.pending[i] = o
			return
		}
	}
	k.pending = append(k.pending, o)
	k.bytes += len(o.Data)
	for len(k.pending) > maxPending || k.bytes > maxPendingBytes {
		k.bytes -= len(k.pending[0].Data)
		k.pending = k.pending[1:]
		k.lost++
	}
}
