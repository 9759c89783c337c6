package outcome

import (
	"sync"
	"time"

	"heatherford/core/code"
)

// Result is how one request ended at the host that the caller sent it to.
type Result struct {
	Kind string
	Rank string
	// RankIndex orders the ranks, the most urgent first.
	RankIndex int
	// Repeatable is true of work that may be sent more than once.
	Repeatable bool
	// Weight is what a correct answer is worth.
	Weight float64
	// Target is the share of correct answers that the rank aims at, 0 for none.
	Target float64
	// Code is code.Answered or the code of the refusal.
	Code code.Code
	// Correct is true if a whole answer was given before the deadline.
	Correct bool
	// At is when the request ended.
	At time.Time
	// Elapsed is the time from the request's arrival to its end.
	Elapsed time.Duration
}

// Counts are the results of one kind of work. Asked is the sum of the others.
type Counts struct {
	Asked   uint64 `json:"asked"`
	Correct uint64 `json:"correct"`
	// Late answers were whole but came after the deadline.
	Late    uint64 `json:"late"`
	NotRun  uint64 `json:"not_run"`
	Unknown uint64 `json:"outcome_unknown"`
}

// Add counts x.
func (c *Counts) Add(x Result) {
	c.Asked++
	switch {
	case x.Correct:
		c.Correct++
	case x.Code.Outcome() == code.NotRun:
		c.NotRun++
	case x.Code.Outcome() == code.Unknown:
		c.Unknown++
	default:
		c.Late++
	}
}

// Merge adds the counts of o.
func (c *Counts) Merge(o Counts) {
	c.Asked += o.Asked
	c.Correct += o.Correct
	c.Late += o.Late
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
}

// Recorder sums results. It is safe for concurrent use.
type Recorder struct {
	// sinks are set before the first result.
	sinks []func(x Result)

	mu     sync.Mutex
	counts map[string]Counts
}

// New returns an empty recorder that hands each result to the sinks too.
func New(sinks ...func(x Result)) *Recorder {
	return &Recorder{
		sinks:  sinks,
		counts: map[string]Counts{},
	}
}

// Attach adds a sink, which has to be safe for concurrent use. It is called
// before the first result.
func (r *Recorder) Attach(sink func(x Result)) {
	r.sinks = append(r.sinks, sink)
}

// Record adds one result.
func (r *Recorder) Record(x Result) {
	r.add(x)
	for _, f := range r.sinks {
		f(x)
	}
}

func (r *Recorder) add(x Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[x.Kind]
	c.Add(x)
	r.counts[x.Kind] = c
}

// Counts returns the sums by kind since the daemon's start.
func (r *Recorder) Counts() map[string]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]Counts, len(r.counts))
	for k, c := range r.counts {
		m[k] = c
	}
	return m
}
