package admission

import (
	"context"
	"sort"
	"sync"
	"time"

	"heatherford/core/code"
)

// Gate bounds the requests in flight at one endpoint. It is safe for concurrent
// use.
type Gate struct {
	mu sync.Mutex
	// slots is the most requests in flight.
	slots int
	// inFlight is between 0 and slots, unless slots was lowered.
	inFlight int
	// queue is ordered by rank, then by deadline.
	queue []*waiter
}

type waiter struct {
	rank     int
	deadline time.Time
	admitted chan struct{}
}

// queuePerSlot bounds the queue in proportion to the slots.
const queuePerSlot = 4

// New returns a gate for an endpoint with the slots.
func New(slots int) *Gate {
	return &Gate{
		slots: slots,
	}
}

// Room returns the number of free slots less the queued requests.
func (g *Gate) Room() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots - g.inFlight - len(g.queue)
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Acquire waits for a slot until ctx ends. The caller calls Release exactly
// once after Acquire has returned nil.
func (g *Gate) Acquire(ctx context.Context, rank int, deadline time.Time) error {
	w, err := g.enter(rank, deadline)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if g.leave(w) {
		return code.New(code.DeadlinePassed, "admission: no slot came free in time")
	}
	return nil
}

// enter takes a slot, which it reports by a nil waiter, or a place in the queue.
func (g *Gate) enter(rank int, deadline time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight < g.slots && len(g.queue) == 0 {
		g.inFlight++
		return nil, nil
	}
	if len(g.queue) >= g.slots*queuePerSlot {
		return nil, code.New(code.EndpointFull, "admission: the queue is full")
	}
	w := &waiter{
		rank:     rank,
		deadline: deadline,
		admitted: make(chan struct{}),
	}
	i := sort.Search(len(g.queue), func(i int) bool {
		q := g.queue[i]
		return q.rank > rank || (q.rank == rank && q.deadline.After(deadline))
	})
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = w
	return w, nil
}

// leave takes w out of the queue. It reports false if w was admitted before.
func (g *Gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// SetSlots changes the most requests in flight. Requests in flight stay.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slots == n {
		return
	}
	g.slots = n
	g.admit()
}

// Release gives a slot back.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.admit()
}

// admit gives free slots to the front of the queue.
func (g *Gate) admit() {
	for g.inFlight < g.slots && len(g.queue) > 0 {
		w := g.queue[0]
		g.queue = g.queue[1:]
		g.inFlight++
		close(w.admitted)
	}
}
