package main

import "time"

const (
	// stayOpen is how long a stopping host still takes requests: callers keep
	// look-ups for a while.
	stayOpen = 2500 * time.Millisecond
	// stopMargin is kept at most between the end of the last request and the kill.
	stopMargin = 900 * time.Millisecond
	// marginShare is the largest part of the grace that is kept as a margin. An
	// endpoint may be at work on a request until then.
	marginShare = 6
)

// schedule is when the parts of a planned stop are due.
type schedule struct {
	// close is when the host takes no more connections.
	close time.Time
	// giveUp is when requests that are still in progress are given up. No request is
	// taken whose deadline is later.
	giveUp time.Time
	// end is when connections are cut off: the last answers are written before.
	end time.Time
}

// newSchedule returns the schedule of a stop whose process is killed after the grace.
func newSchedule(began time.Time, grace time.Duration) schedule {
	margin := min(stopMargin, grace/marginShare)
	return schedule{
		close:  began.Add(min(stayOpen, grace/2)),
		giveUp: began.Add(grace - margin),
		end:    began.Add(grace - margin/2),
	}
}
