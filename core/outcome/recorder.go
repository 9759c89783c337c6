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
	// Code is code.Answered or the code of the refusal.
	Code code.Code
	// Correct is true if a whole answer was given before the deadline.
	Correct bool
	// Elapsed is the time from the request's arrival to its end.
	Elapsed time.Duration
}

// Counts are the results of one kind of work.
type Counts struct {
	Asked   uint64 `json:"asked"`
	Correct uint64 `json:"correct"`
	// Late answers were whole but came after the deadline.
	Late    uint64 `json:"late"`
	NotRun  uint64 `json:"not_run"`
	Unknown uint64 `json:"outcome_unknown"`
}

// Recorder sums results. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	counts map[string]Counts
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		counts: map[string]Counts{},
	}
}

// Record adds one result.
func (r *Recorder) Record(x Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[x.Kind]
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
	r.counts[x.Kind] = c
}

// Counts returns the sums by kind.
func (r *Recorder) Counts() map[string]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]Counts, len(r.counts))
	for k, c := range r.counts {
		m[k] = c
	}
	return m
}
