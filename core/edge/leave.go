package edge

import (
	"context"
	"sync/atomic"
	"time"

	"heatherford/core/code"
)

// leaving is when a host that leaves gives up the requests that it still has.
type leaving struct {
	// at is nil while the host does not leave.
	at atomic.Pointer[time.Time]
	// over ends at that time, by end.
	over context.Context
	end  context.CancelFunc
}

func newLeaving() *leaving {
	l := &leaving{}
	l.over, l.end = context.WithCancel(context.Background())
	return l
}

// Leave marks the host as leaving, so that it gets no new callers and owns no endpoint.
// Requests are still served if they end by the given time at the latest, by their own
// deadlines; others are refused at once, since nobody could wait for their answers. What is
// still in progress at that time is given up and gets an answer that says so. Leave is called
// once.
func (e *Edge) Leave(until time.Time) {
	e.leaving.at.Store(&until)
	time.AfterFunc(time.Until(until), e.leaving.end)
	go func() {
		// The stop must not wait for the control goroutine.
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		e.post(ctx, func(c *control) {
			c.leave()
		})
	}()
}

// leavesBefore reports whether the host ends before the time.
func (e *Edge) leavesBefore(t time.Time) bool {
	at := e.leaving.at.Load()
	return at != nil && at.Before(t)
}

// withLeaving returns a context that ends when the host gives up its requests, too. The
// function releases it.
func (e *Edge) withLeaving(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.leaving.over, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// leavingDetail says why a leaving host refuses a request.
const leavingDetail = "the host stops before the request's deadline"

func leavingAnswer() *Answer {
	return refusedAnswer(code.HostStopping, leavingDetail, time.Now())
}
