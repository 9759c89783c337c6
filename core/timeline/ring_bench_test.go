package timeline_test

import (
	"testing"
	"time"

	"heatherford/core/timeline"
)

// BenchmarkTimelineRecord measures one event: a stamp and a place in the ring.
func BenchmarkTimelineRecord(b *testing.B) {
	k := timeline.NewClock(time.Now)
	r := timeline.NewRing(1 << 15)
	e := timeline.Event{
		Kind:    timeline.KindRequest,
		Request: "r1",
		Subject: "waiver-lookup",
		Text:    "answered",
	}
	b.ReportAllocs()
	for b.Loop() {
		e.At = k.Now()
		r.Add(e)
	}
}
