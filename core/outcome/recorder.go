package outcome

import (
	"sync"
	"time"

	"heatherford/core/code"
)

// Result is the result of one request at the host that received it from the caller.
type Result struct {
	// Kind is the name of the kind of work, and Rank the name of the kind's rank.
	Kind string
	Rank string
	// RankIndex is the index of the rank among the declaration's ranks, the most
	// urgent first.
	RankIndex int
	// Repeatable is true of work that may be sent more than once.
	Repeatable bool
	// Weight is the kind's declared value of one correct answer.
	Weight float64
	// Target is the rank's target share of correct answers, from 0 to 1; 0 means that
	// the rank has no target.
	Target float64
	// Code is code.Answered, or the code of the error if there is no answer.
	Code code.Code
	// Correct is true if the whole answer was given before the deadline.
	Correct bool
	// At is when the request ended.
	At time.Time
	// Elapsed is the time between the arrival of the request and At.
	Elapsed time.Duration
}

// Counts holds the numbers of results of one kind of work. Asked is the number of all
// requests, which is the sum of the other fields.
type Counts struct {
	Asked   uint64 `json:"asked"`
	Correct uint64 `json:"correct"`
	// Late counts whole answers that came after the deadline.
	Late   uint64 `json:"late"`
	NotRun uint64 `json:"not_run"`
	// Unknown counts requests of which it is unknown whether they were run.
	Unknown uint64 `json:"outcome_unknown"`
}

// Add counts the result x.
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

// Recorder counts results by kind of work. It is safe for concurrent use, except for
// Attach.
type Recorder struct {
	// sinks is not changed after the first result and is read without mu.
	sinks []func(x Result)

	mu     sync.Mutex
	counts map[string]Counts
}

// New returns an empty recorder that also calls each of the sinks with every result.
// The sinks must be safe for concurrent use.
func New(sinks ...func(x Result)) *Recorder {
	return &Recorder{
		sinks:  sinks,
		counts: map[string]Counts{},
	}
}

// Attach adds a sink, which must be safe for concurrent use. Attach must be called
// before the first Record.
func (r *Recorder) Attach(sink func(x Result)) {
	r.sinks = append(r.sinks, sink)
}

// Record counts x and calls the sinks with it.
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

// Counts returns the counts since the daemon's start, by name of the kind. The map is
// a copy.
func (r *Recorder) Counts() map[string]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]Counts, len(r.counts))
	for k, c := range r.counts {
		m[k] = c
	}
	return m
}
