package admission

import (
	"sort"
	"time"
)

// waiter is a request in an admission queue.
type waiter struct {
	request Request
	// latestStart is the last time at which an admission leaves enough time before the
	// deadline.
	latestStart time.Time
	// done receives exactly one decision, unless the waiter is taken out of the queue
	// before. It has a buffer of one, so that a decision never blocks.
	done chan decision
}

// decision is the outcome for a waiter: a permit or an error.
type decision struct {
	permit Permit
	err    error
}

func newWaiter(a Request, requiredTime time.Duration) *waiter {
	return &waiter{
		request:     a,
		latestStart: a.Deadline.Add(-requiredTime),
		done:        make(chan decision, 1),
	}
}

func (w *waiter) admit(p Permit) {
	w.done <- decision{
		permit: p,
	}
}

func (w *waiter) refuse(err error) {
	w.done <- decision{
		err: err,
	}
}

// position returns the index at which w belongs in a queue. A queue is ordered by weight,
// the largest first, and then by deadline.
func (w *waiter) position(queue []*waiter) int {
	return sort.Search(len(queue), func(i int) bool {
		q := queue[i].request
		if q.Weight != w.request.Weight {
			return q.Weight < w.request.Weight
		}
		return q.Deadline.After(w.request.Deadline)
	})
}

func (r *rankState) insert(i int, w *waiter) {
	r.queue = append(r.queue, nil)
	copy(r.queue[i+1:], r.queue[i:])
	r.queue[i] = w
}

func (r *rankState) remove(i int) {
	copy(r.queue[i:], r.queue[i+1:])
	r.queue[len(r.queue)-1] = nil
	r.queue = r.queue[:len(r.queue)-1]
}
