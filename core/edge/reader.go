package edge

import (
	"context"
	"time"

	"heatherford/core/fleet"
	"heatherford/core/registry"
)

const (
	// ordersWait is how long a read of the orders waits for a change.
	ordersWait = 800 * time.Millisecond
	// endpointsInterval is the interval at which the endpoints are read. A
	// leaving endpoint gets nothing 2 s after it said so, of which this, the
	// detection of a dead reader and the way to the other hosts are parts.
	endpointsInterval = 450 * time.Millisecond
	// ordersInterval is the least interval between reads of the orders.
	ordersInterval = 40 * time.Millisecond
	// readTimeout bounds a read beyond its wait.
	readTimeout = 1200 * time.Millisecond
	// backOffFirst and backOffMost bound the pause after failed reads.
	backOffFirst = 400 * time.Millisecond
	backOffMost  = 2 * time.Second
	// answerTransit is the longest time that an answer to a read is taken to be
	// on its way from a platform that is slow.
	answerTransit = 300 * time.Millisecond
	// awayLeast is the number of failed reads in a row after which the platform
	// counts as having been away.
	awayLeast = 2
)

// staleAfter is the age of news at which the reader's successors take over, by
// part: the reader's own interval and wait, and a margin.
var staleAfter = [registry.Parts]time.Duration{
	registry.Orders:    ordersWait + 500*time.Millisecond,
	registry.Endpoints: endpointsInterval + 450*time.Millisecond,
}

// placeDelay is what each place in the order of hosts adds to that.
const placeDelay = 200 * time.Millisecond

// reader is the reading of one part.
type reader struct {
	// acting is true while this host reads for the others.
	acting bool
	// busy is true during a read.
	busy bool
	// next is when the next read may begin.
	next time.Time
	// failures is the number of failed reads in a row.
	failures int
	// whole demands a whole reading next.
	whole bool
	// source is the host that read the newest news.
	source string
}

// read begins a read of a part if it is this host's turn.
func (c *control) read(p registry.Part, now time.Time) {
	r := &c.readers[p]
	if r.busy || now.Before(r.next) || !c.turn(p, now) {
		return
	}
	r.busy = true
	since := c.registry.Version(p)
	if r.whole {
		since = 0
	}
	wait := time.Duration(0)
	if p == registry.Orders && since > 0 {
		wait = ordersWait
	}
	r.next = now.Add(intervalOf(p))
	c.edge.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), wait+readTimeout)
		defer cancel()
		u, err := c.edge.options.Seams.Read(ctx, p, since, wait)
		c.edge.post(func(c *control) {
			c.haveRead(p, u, err, now)
		})
		return nil
	})
}

func intervalOf(p registry.Part) time.Duration {
	if p == registry.Orders {
		return ordersInterval
	}
	return endpointsInterval
}

// turn reports whether this host should read: the first host does, and others
// once the news is older the further behind they stand. A host that has just started
// lets others tell it what they know: in a fleet that starts, few are to read.
func (c *control) turn(p registry.Part, now time.Time) bool {
	r := &c.readers[p]
	if r.acting {
		return true
	}
	place := fleet.Place(c.live, c.fleet.Self().Name)
	current := c.registry.Current(p)
	switch {
	case current.IsZero() && !c.joined:
		return now.Sub(c.began) > startMost
	case place == 0:
		return true
	case current.IsZero():
		return now.Sub(c.began) > min(startMost, startWait+time.Duration(place)*startEach)
	default:
		return now.Sub(current) > staleAfter[p]+time.Duration(place)*placeDelay
	}
}

// haveRead takes in the result of a read that began at the time.
func (c *control) haveRead(p registry.Part, u registry.Update, err error, began time.Time) {
	now := time.Now()
	r := &c.readers[p]
	r.busy = false
	if err != nil {
		c.readFailed(p, err, now)
		return
	}
	if r.failures > 0 {
		c.edge.options.Log("platform", "part", int(p), "outcome", "regained", "failures", r.failures)
	}
	if r.failures >= awayLeast {
		c.registry.Returned(now)
	}
	r.failures = 0
	r.whole = false
	r.acting = true
	r.source = c.fleet.Self().Name
	changed := c.apply(u, currentOf(p, began, now), now)
	c.publish(now)
	if changed {
		c.logNews(p, "platform", len(u.Records), now.Sub(began), now)
		c.tellChange(now)
	}
	if changed || p == registry.Endpoints {
		c.tellFar(now)
	}
}

// currentOf returns when what was read is known to have been current. A read
// that waits for changes is answered as soon as there is one.
func currentOf(p registry.Part, began, now time.Time) time.Time {
	if t := now.Add(-answerTransit); p == registry.Orders && t.After(began) {
		return t
	}
	return began
}

func (c *control) readFailed(p registry.Part, err error, now time.Time) {
	r := &c.readers[p]
	if c.edge.options.Seams.Forgotten(err) {
		r.whole = true
		r.next = now
		c.edge.options.Log("platform", "part", int(p), "outcome", "history lost", "version", c.registry.Version(p))
		return
	}
	if r.failures == 0 {
		c.edge.options.Log("platform", "part", int(p), "outcome", "lost", "err", err)
	}
	d := min(backOffMost, backOffFirst<<min(r.failures, 4))
	r.failures++
	r.next = now.Add(d)
	if fleet.Place(c.live, c.fleet.Self().Name) > 0 {
		r.acting = false
	}
}

// yield ends this host's reading of a part if a host before it reads.
func (c *control) yield(p registry.Part, n *News) {
	r := &c.readers[p]
	self := c.fleet.Self().Name
	if n.Reader == "" || n.Reader == self || n.Age < 0 || n.Age > staleAfter[p] {
		return
	}
	if fleet.Place(c.live, n.Reader) < fleet.Place(c.live, self) {
		r.acting = false
	}
}
