package admission

import (
	"sort"
	"time"
)

// waiter is a request in a queue.
type waiter struct {
	ask Ask
	// giveUp is the last time at which an admission leaves the time that the
	// work takes.
	giveUp time.Time
	// done receives exactly one decision, unless the waiter leaves.
	done chan decision
}

// decision is what becomes of a waiter.
type decision struct {
	permit Permit
	err    error
}

func newWaiter(a Ask, reserve time.Duration) *waiter {
	return &waiter{
		ask:    a,
		giveUp: a.Deadline.Add(-reserve),
		done:   make(chan decision, 1),
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

// position returns w's place in a queue, which is ordered by weight, the
// largest first, and then by deadline.
func (w *waiter) position(queue []*waiter) int {
	return sort.Search(len(queue), func(i int) bool {
		q := queue[i].ask
		if q.Weight != w.ask.Weight {
			return q.Weight < w.ask.Weight
		}
		return q.Deadline.After(w.ask.Deadline)
	})
}

func (r *rank) insert(i int, w *waiter) {
	r.queue = append(r.queue, nil)
	copy(r.queue[i+1:], r.queue[i:])
	r.queue[i] = w
}

func (r *rank) remove(i int) {
	copy(r.queue[i:], r.queue[i+1:])
	r.queue[len(r.queue)-1] = nil
	r.queue = r.queue[:len(r.queue)-1]
}
