package edge

import (
	"context"
	"time"

	"heatherford/core/code"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

const (
	// operatorWait is how long a read of the operator records waits for a change.
	operatorWait = 800 * time.Millisecond
	// endpointsInterval is the interval at which the endpoints are read. A leaving
	// endpoint must get no new request from 2 s after it said so; this interval, the
	// detection of a dead reader and the time to reach the other hosts are parts of
	// that.
	endpointsInterval = 450 * time.Millisecond
	// operatorInterval is the least interval between reads of the operator records.
	operatorInterval = 40 * time.Millisecond
	// readTimeout bounds a read of changes, beyond the time that it waits for one, and
	// wholeReadTimeout that of a whole part. Transport.Read fails earlier if nothing
	// arrives.
	readTimeout      = 1200 * time.Millisecond
	wholeReadTimeout = 30 * time.Second
	// minBackoff and maxBackoff bound the backoff after failed reads.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxAnswerTransit is the longest time that the answer of a slow platform is
	// taken to be on the network.
	maxAnswerTransit = 300 * time.Millisecond
	// awayFailures is the number of consecutive failed reads after which the platform
	// counts as having been unavailable.
	awayFailures = 2
	// silentFailures is the number of consecutive reads without an answer after which a
	// whole part is read in place of its changes: the platform may not be able to answer
	// with all of them in time.
	silentFailures = 2
)

// staleAfter is the age of a part from which on the next hosts in the order take over
// its reading: the reader's own interval and wait, and a margin.
var staleAfter = [registry.NumParts]time.Duration{
	registry.OperatorRecords: operatorWait + 500*time.Millisecond,
	registry.Endpoints:       endpointsInterval + 450*time.Millisecond,
}

const (
	// fullReadDelayPerHost is the delay of a full read after the history was lost, for
	// each host before this one in the order: about the time in which that one reads
	// and tells the others. maxFullReadDelay bounds it.
	fullReadDelayPerHost = 60 * time.Millisecond
	maxFullReadDelay     = 300 * time.Millisecond
)

const (
	// takeoverDelay is added to staleAfter for each position in the order of hosts.
	takeoverDelay = 200 * time.Millisecond
	// maxReadAge is the age of a part from which on every host reads for itself. The
	// platform's changes must be in force within 2 s, and a read may take the difference.
	maxReadAge = 1700 * time.Millisecond
	// maxReaderLateness is the lateness of a host's steps up to which it reads for others
	// out of its turn, and at maxReadAge. What a slower host reads comes late anyway, and
	// reading costs it what its requests need. It waits for slowReadDelay more.
	maxReaderLateness = 100 * time.Millisecond
	slowReadDelay     = time.Second
)

// reader is the state of reading one part of the platform's records.
type reader struct {
	// active is true while this host reads for the others.
	active bool
	// reading is true during a read.
	reading bool
	// nextRead is when the next read may begin.
	nextRead time.Time
	// failures is the number of consecutive failed reads.
	failures int
	// full makes the next read a full one.
	full bool
	// losses is the number of times that the history was lost since changes were
	// last read.
	losses int
	// source is the host that read the newest state of the part.
	source string
	// readAt is when the part was current by this host's own last read, or zero.
	readAt time.Time
}

// read starts a read of a part if this host should read it.
func (c *control) read(p registry.Part, now time.Time) {
	r := &c.readers[p]
	if r.reading || now.Before(r.nextRead) || !c.shouldRead(p, now) {
		return
	}
	r.reading = true
	since := c.registry.Version(p)
	if r.full {
		since = registry.Version{}
	}
	wait := time.Duration(0)
	if p == registry.OperatorRecords && !since.IsZero() && r.active {
		// A host that takes over has to know and tell at once whether it is current.
		wait = operatorWait
	}
	r.nextRead = now.Add(readInterval(p))
	timeout := wait + readTimeout
	if since.IsZero() {
		timeout = wholeReadTimeout
	}
	c.background(func() func(c *control) {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), timeout)
		defer cancel()
		u := registry.Update{}
		err := c.edge.contain("read", func() (err error) {
			u, err = c.edge.options.Transport.Read(ctx, p, since, wait)
			return err
		})
		return func(c *control) {
			c.handleRead(p, u, err, now, wait)
		}
	})
}

// readInterval returns the interval at which a part is read.
func readInterval(p registry.Part) time.Duration {
	if p == registry.OperatorRecords {
		return operatorInterval
	}
	return endpointsInterval
}

// shouldRead reports whether this host should read a part. The first host in the
// order does; another one does once the part is older than staleAfter and
// takeoverDelay for its position, or than maxReadAge unless it is slow or its own last read
// has failed. A host that has just started first waits to learn from others, so that few
// hosts read when a whole fleet starts.
func (c *control) shouldRead(p registry.Part, now time.Time) bool {
	r := &c.readers[p]
	if r.active {
		return true
	}
	position := fleet.Position(c.live, c.fleet.Self().Name)
	current := c.registry.CurrentAt(p)
	switch {
	case current.IsZero() && !c.joined:
		return now.Sub(c.started) > maxStartReadDelay
	case current.IsZero() && now.Before(c.firstRead):
		return false
	case position == 0:
		return true
	case current.IsZero():
		return now.Sub(c.started) > min(maxStartReadDelay, startReadDelay+time.Duration(position)*startReadDelayPerHost)
	default:
		limit := staleAfter[p] + time.Duration(position)*takeoverDelay
		switch {
		case c.isSlow(now):
			limit += slowReadDelay
		case r.failures == 0:
			limit = min(limit, maxReadAge)
		}
		return now.Sub(current) >= limit
	}
}

// isSlow reports whether this host's steps are so late that others should read for it.
func (c *control) isSlow(now time.Time) bool {
	return c.lateness.at(now) > maxReaderLateness
}

// handleRead handles the result of a read that began at readAt and waited for a change.
func (c *control) handleRead(p registry.Part, u registry.Update, err error, readAt time.Time, wait time.Duration) {
	now := time.Now()
	r := &c.readers[p]
	r.reading = false
	if err != nil {
		c.readFailed(p, err, now)
		return
	}
	if r.failures > 0 {
		c.edge.options.Log("platform", "part", int(p), "outcome", "regained", "failures", r.failures)
	}
	if r.failures >= awayFailures {
		c.registry.PlatformReturned(now)
	}
	r.failures = 0
	if !u.Full {
		r.losses = 0
	}
	r.full = false
	takeover := !r.active
	r.active = true
	r.source = c.fleet.Self().Name
	known := c.registry.Version(p)
	current := currentAt(&u, readAt, now, wait)
	if u.More {
		// The rest is read at once.
		current = time.Time{}
		r.nextRead = now
	} else {
		r.readAt = current
	}
	changed := c.apply(u, current, now)
	if u.Version.Before(known) {
		c.edge.options.Log("platform", "part", int(p), "outcome", "older", "version", u.Version, "known", known, "whole", u.Full)
	}
	if v := c.registry.Version(p); p == registry.OperatorRecords && v.Era > known.Era && !known.IsZero() {
		c.enlistLive = true
	}
	c.publish(now)
	if changed {
		c.logUpdate(p, "platform", len(u.Records), now.Sub(readAt), now)
		if p == registry.OperatorRecords && c.mayAnnounce(now) {
			c.announceDeclaration(now)
		}
		c.announceChange(now)
	}
	if changed || takeover || p == registry.Endpoints {
		c.sendRemoteHeartbeat(now)
	}
}

// currentAt returns when the result of a read was current. A read that waits for a change
// is answered as soon as there is one, so that its result is at most maxAnswerTransit old,
// and without a change after the wait, however late the answer is handled.
func currentAt(u *registry.Update, began, now time.Time, wait time.Duration) time.Time {
	switch t := now.Add(-maxAnswerTransit); {
	case wait > 0 && len(u.Records) == 0 && now.Sub(began) >= wait:
		return began.Add(wait)
	case u.Part == registry.OperatorRecords && t.After(began):
		return t
	default:
		return began
	}
}

// readFailed handles a failed read. If the platform has lost its history, a full read
// follows soon. Else there is a backoff. In both cases a host other than the first one
// in the order no longer reads for the others.
func (c *control) readFailed(p registry.Part, err error, now time.Time) {
	r := &c.readers[p]
	if c.edge.options.Transport.HistoryLost(err) {
		r.full = true
		r.nextRead = now.Add(c.fullReadDelay(r))
		r.losses++
		if fleet.Position(c.live, c.fleet.Self().Name) > 0 {
			r.active = false
		}
		c.edge.options.Log("platform", "part", int(p), "outcome", "history lost", "version", c.registry.Version(p))
		return
	}
	if r.failures == 0 {
		c.edge.options.Log("platform", "part", int(p), "outcome", "lost", "err", err)
	}
	d := min(maxBackoff, minBackoff<<min(r.failures, 4))
	r.failures++
	if r.failures >= silentFailures && code.Of(err) == code.PlatformUnknown {
		r.full = true
	}
	r.nextRead = now.Add(d)
	if fleet.Position(c.live, c.fleet.Self().Name) > 0 {
		r.active = false
	}
}

// fullReadDelay returns the delay of a full read after the history was lost. Hosts before
// this one in the order read first, and this one learns from them. A platform that loses
// its history again and again is read at the intervals of one that fails.
func (c *control) fullReadDelay(r *reader) time.Duration {
	d := min(maxFullReadDelay, time.Duration(fleet.Position(c.live, c.fleet.Self().Name))*fullReadDelayPerHost)
	if r.losses > 0 {
		d += min(maxBackoff, minBackoff<<min(r.losses-1, 4))
	}
	return d
}

// stepDown ends this host's reading of a part if a host before it in the order reads
// it. A slow host leaves the reading to any other one.
func (c *control) stepDown(p registry.Part, n *PartStatus, now time.Time) {
	r := &c.readers[p]
	self := c.fleet.Self().Name
	if n.Reader == "" || n.Reader == self || n.Age < 0 || n.Age > staleAfter[p] {
		return
	}
	position := fleet.Position(c.live, self)
	if fleet.Position(c.live, n.Reader) < position || (position > 0 && c.isSlow(now)) {
		r.active = false
	}
}
