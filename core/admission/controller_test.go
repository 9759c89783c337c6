package admission

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/snapshot"
)

// simulation drives an admission controller by events at simulated times.
type simulation struct {
	controller *Controller
	now        time.Time
	own        []snapshot.Own
	ranks      []intent.Rank
	random     *rand.Rand
	events     events
	// waiting are the requests in the controller's queues.
	waiting []pending
	// asked, admitted and refused are numbers of requests by rank. askedTime and servedTime
	// are the sums of the service times of those asked and those served.
	asked      []int
	admitted   []int
	refused    []int
	askedTime  []time.Duration
	servedTime []time.Duration
	inFlight   map[string]int
	// overLimit describes an admission above an endpoint's limit, or is empty.
	overLimit string
}

type pending struct {
	waiter  *waiter
	service time.Duration
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func newSimulation(seed uint64, ranks []intent.Rank, slots ...int) *simulation {
	w := &simulation{
		now:        time.Unix(1_000_000, 0),
		ranks:      ranks,
		random:     rand.New(rand.NewPCG(seed, 0)),
		asked:      make([]int, len(ranks)),
		admitted:   make([]int, len(ranks)),
		refused:    make([]int, len(ranks)),
		askedTime:  make([]time.Duration, len(ranks)),
		servedTime: make([]time.Duration, len(ranks)),
		inFlight:   map[string]int{},
	}
	for i, n := range slots {
		w.own = append(w.own, snapshot.Own{
			Endpoint: intent.Endpoint{
				Name: fmt.Sprintf("e%d", i),
			},
			Slots: n,
		})
	}
	w.controller = New(Options{
		Own: func() []snapshot.Own {
			return w.own
		},
		Ranks: func() []intent.Rank {
			return w.ranks
		},
		Now: func() time.Time {
			return w.now
		},
	})
	return w
}

func (w *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&w.events, event{
		at:  w.now.Add(d),
		run: run,
	})
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.collect()
	}
	w.now = end
}

// ask requests a slot, which is held for the service time.
func (w *simulation) ask(a Request, service time.Duration) {
	w.asked[a.Rank]++
	w.askedTime[a.Rank] += service
	p, q, err := w.controller.acquireOrQueue(a)
	switch {
	case err != nil:
		w.refused[a.Rank]++
	case q == nil:
		w.hold(p, service)
	default:
		w.waiting = append(w.waiting, pending{
			waiter:  q,
			service: service,
		})
	}
}

// collect reads the decisions on waiting requests.
func (w *simulation) collect() {
	left := w.waiting[:0]
	for _, p := range w.waiting {
		select {
		case d := <-p.waiter.done:
			if d.err != nil {
				w.refused[p.waiter.request.Rank]++
				continue
			}
			w.hold(d.permit, p.service)
		default:
			left = append(left, p)
		}
	}
	w.waiting = left
}

func (w *simulation) hold(p Permit, service time.Duration) {
	n := p.Own.Endpoint.Name
	w.admitted[p.rank]++
	w.inFlight[n]++
	if m := w.inFlight[n]; m > p.Own.Limit(p.started) {
		w.overLimit = fmt.Sprintf("%d in flight at %s with a limit of %d", m, n, p.Own.Limit(p.started))
	}
	w.schedule(service, func() {
		w.inFlight[n]--
		w.servedTime[p.rank] += service
		p.Release(Succeeded)
	})
}

// generate adds requests at exponential intervals. load is the ratio of the offered work to
// what the slots can serve.
func (w *simulation) generate(rank int, load float64, slots int, service, deadline time.Duration) {
	gap := float64(service) / (load * float64(slots))
	w.schedule(time.Duration(w.random.ExpFloat64()*gap), func() {
		w.ask(Request{
			Rank:     rank,
			Deadline: w.now.Add(deadline),
		}, time.Duration(float64(service)*(0.5+w.random.Float64())))
		w.generate(rank, load, slots, service, deadline)
	})
}

func threeRanks() []intent.Rank {
	return []intent.Rank{
		{
			Name:    "urgent",
			Planned: 0.5,
			Floor:   0.25,
		},
		{
			Name:    "standard",
			Planned: 0.4,
			Floor:   0.25,
		},
		{
			Name:    "batch",
			Planned: 0.2,
			Floor:   0.1,
		},
	}
}

const (
	testService  = 100 * time.Millisecond
	testDeadline = 2 * time.Second
	testTime     = 30 * time.Second
)

// TestAdmissionKeepsFloors offers any mix of loads to any number of slots. A rank whose
// requests need its floor gets it, and no slot stays free while a request waits.
func TestAdmissionKeepsFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), threeRanks(), slots)
		loads := []float64{}
		for i := range w.ranks {
			l := rapid.SampledFrom([]float64{0.05, 0.3, 0.6, 1.5, 3}).Draw(t, "load")
			w.generate(i, l, slots, testService, testDeadline)
			loads = append(loads, l)
		}
		w.run(testTime)
		whole := float64(slots) * testTime.Seconds()
		used, total := 0.0, 0.0
		for i, r := range w.ranks {
			total += w.askedTime[i].Seconds() / whole
			share := w.servedTime[i].Seconds() / whole
			used += share
			// Within the floor, a burst may still find the queue full, and some requests are
			// unfinished at the end.
			const unfinished = 0.01
			if least := min(r.Floor, w.askedTime[i].Seconds()/whole)*0.9 - unfinished; share < least {
				t.Fatalf("rank %d got %.3f of the slots, less than %.3f; loads %v, slots %d", i, share, least, loads, slots)
			}
		}
		if least := queueUtilization(total, slots) - 0.01; used < least {
			t.Fatalf("only %.3f of the slots were used, less than %.3f; loads %v, slots %d", used, least, loads, slots)
		}
		if w.overLimit != "" {
			t.Fatal(w.overLimit)
		}
	})
}

// queueUtilization returns the share of the slots in use if requests arrive at random, have
// exponential service times and find a queue of minQueue: the M/M/c/K queue. The service
// times of the test vary less, so that the share in use is larger.
func queueUtilization(load float64, slots int) float64 {
	sum, used, p := 0.0, 0.0, 1.0
	for n := range slots + minQueue + 1 {
		if n > 0 {
			p *= load * float64(slots) / float64(min(n, slots))
		}
		sum += p
		used += p * float64(min(n, slots))
	}
	return used / sum / float64(slots)
}

func TestAdmissionUrgentFirstUnderBatchOverload(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 9)
	w.generate(0, 0.45, 9, testService, 800*time.Millisecond)
	w.generate(2, 3, 9, testService, 5*time.Second)
	w.run(testTime)
	c.Assert(w.refused[0], qt.Equals, 0)
	c.Assert(float64(w.servedTime[0]+w.servedTime[2])/float64(9*testTime) > 0.98, qt.IsTrue)
}

// TestAdmissionLimits changes limits at random and checks that no admission takes an
// endpoint above its limit at that moment.
func TestAdmissionLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), threeRanks(), 3, 6)
		w.generate(0, 2, 9, testService, testDeadline)
		w.generate(2, 1, 9, testService, testDeadline)
		for range 50 {
			w.run(time.Duration(w.random.IntN(200)) * time.Millisecond)
			own := append([]snapshot.Own{}, w.own...)
			i := w.random.IntN(len(own))
			own[i].Slots = w.random.IntN(7)
			own[i].Reduced = w.random.IntN(own[i].Slots + 1)
			own[i].Until = w.now.Add(time.Duration(w.random.IntN(300)) * time.Millisecond)
			own[i].Endpoint.Leaving = w.random.IntN(8) == 0
			w.own = own
			w.controller.Refresh()
			w.collect()
		}
		if w.overLimit != "" {
			t.Fatal(w.overLimit)
		}
		if w.admitted[0] == 0 || w.admitted[2] == 0 {
			t.Fatalf("admitted %v", w.admitted)
		}
	})
}

func TestAdmissionRefusesAtOnceWhatIsTooLate(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 1)
	w.ask(Request{
		Deadline: w.now.Add(time.Second),
	}, testService)
	w.run(testService)
	// The service time is known now, and the slot is in use.
	w.ask(Request{
		Deadline: w.now.Add(time.Second),
	}, testService)
	_, q, err := w.controller.acquireOrQueue(Request{
		Deadline: w.now.Add(testService),
	})
	c.Assert(q, qt.IsNil)
	c.Assert(code.Of(err), qt.Equals, code.RankFull)
	c.Assert(code.Of(err).Outcome(), qt.Equals, code.NotRun)
}

func TestAdmissionQueueIsBoundedAndKeepsHighestWeight(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 1)
	late := w.now.Add(time.Minute)
	w.ask(Request{
		Deadline: late,
	}, time.Second)
	lowWeight := []*waiter{}
	for range minQueue {
		_, q, err := w.controller.acquireOrQueue(Request{
			Deadline: late,
			Weight:   1,
		})
		c.Assert(err, qt.IsNil)
		lowWeight = append(lowWeight, q)
	}
	_, _, err := w.controller.acquireOrQueue(Request{
		Deadline: late,
		Weight:   1,
	})
	c.Assert(code.Of(err), qt.Equals, code.RankFull)
	_, highWeight, err := w.controller.acquireOrQueue(Request{
		Deadline: late,
		Weight:   8,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(code.Of((<-lowWeight[minQueue-1].done).err), qt.Equals, code.RankFull)
	w.run(time.Second)
	c.Assert((<-highWeight.done).err, qt.IsNil)
	c.Assert(lowWeight[0].done, qt.HasLen, 0)
}

func TestAdmissionCancelledWorkLeavesTheQueue(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 1)
	w.now = time.Now()
	p, ok := w.controller.TryAcquire(Request{})
	c.Assert(ok, qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := w.controller.Acquire(ctx, Request{
		Deadline: w.now.Add(time.Hour),
	})
	c.Assert(code.Of(err), qt.Equals, code.RequestCancelled)
	c.Assert(w.controller.waiting(), qt.Equals, 0)
	p.Release(Abandoned)
	_, ok = w.controller.TryAcquire(Request{})
	c.Assert(ok, qt.IsTrue)
}

func TestAdmissionSuspendsEndpointsThatFail(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 4, 4)
	ask := Request{
		Avoid: []string{"e1"},
	}
	for range failuresToSuspend {
		p, ok := w.controller.TryAcquire(ask)
		c.Assert(ok, qt.IsTrue)
		p.Release(Failed)
	}
	_, ok := w.controller.TryAcquire(ask)
	c.Assert(ok, qt.IsFalse)
	ask.Deadline = w.now.Add(time.Hour)
	_, q, err := w.controller.acquireOrQueue(ask)
	c.Assert(err, qt.IsNil)
	c.Assert(w.controller.dequeue(q), qt.IsTrue)
	// After a suspension one request at a time shows whether the endpoint works again.
	w.now = w.now.Add(firstSuspension)
	p, ok := w.controller.TryAcquire(ask)
	c.Assert(ok, qt.IsTrue)
	_, ok = w.controller.TryAcquire(ask)
	c.Assert(ok, qt.IsFalse)
	p.Release(Succeeded)
	for range 4 {
		_, ok = w.controller.TryAcquire(ask)
		c.Assert(ok, qt.IsTrue)
	}
}

func TestAdmissionHoldsSlotsOfUnansweredRequests(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 1)
	p, ok := w.controller.TryAcquire(Request{})
	c.Assert(ok, qt.IsTrue)
	p.HoldUntil(w.now.Add(time.Second))
	p.Release(Abandoned)
	_, ok = w.controller.TryAcquire(Request{})
	c.Assert(ok, qt.IsFalse)
	w.now = w.now.Add(time.Second)
	_, ok = w.controller.TryAcquire(Request{})
	c.Assert(ok, qt.IsTrue)
}

func TestAdmissionLoadCountsWhatWasRefused(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 9)
	w.generate(2, 3, 9, testService, time.Second)
	w.run(testTime)
	l := w.controller.Load(1)
	c.Assert(l.Slots, qt.Equals, 9)
	// The offered work is three times what the slots can serve, and a short queue waits.
	c.Assert(l.Demand[2]/9 > 2.7 && l.Demand[2]/9 < 3.8, qt.IsTrue, qt.Commentf("%v", l))
	c.Assert((l.ServiceTime-testService).Abs() < testService/5, qt.IsTrue, qt.Commentf("%v", l))
}

func TestAdmissionFastPathDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, threeRanks(), 9)
	n := testing.AllocsPerRun(1000, func() {
		p, ok := w.controller.TryAcquire(Request{})
		if ok {
			p.Release(Succeeded)
		}
	})
	c.Assert(n, qt.Equals, 0.0)
}

func BenchmarkAdmission(b *testing.B) {
	w := newSimulation(1, threeRanks(), 9, 9)
	b.ReportAllocs()
	for b.Loop() {
		p, _ := w.controller.TryAcquire(Request{})
		p.Release(Succeeded)
	}
}
