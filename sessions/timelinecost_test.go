package sessions

import (
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

// timelinePair returns a daemon that keeps the events.
func timelinePair(c *qt.C, events int) *pair {
	p := newPairWith(c, map[string]any{
		"timeline_events": events,
	})
	p.declare(c, costDeclaration(p, 0, 1))
	return p
}

const (
	timelineOn  = 1 << 15
	timelineOff = -1
)

// BenchmarkTimelineLatency pairs requests through a daemon with a time line with
// the same requests through one without, in turn, on one connection each.
func BenchmarkTimelineLatency(b *testing.B) {
	c := qt.New(b)
	const highest, digits = int64(time.Minute), 3
	pairs := []*pair{
		timelinePair(c, timelineOff),
		timelinePair(c, timelineOn),
	}
	times := []*hdrhistogram.Histogram{
		hdrhistogram.New(1, highest, digits),
		hdrhistogram.New(1, highest, digits),
	}
	for b.Loop() {
		for i, p := range pairs {
			s := time.Now()
			c.Assert(p.do(http.MethodPost, p.caller+"/v1/work/waiver-lookup/waivers/7", nil), qt.IsNil)
			c.Assert(times[i].RecordValue(time.Since(s).Nanoseconds()), qt.IsNil)
		}
	}
	us := func(i int, q float64) float64 {
		return float64(times[i].ValueAtQuantile(q)) / float64(time.Microsecond)
	}
	const median, high = 50, 99
	b.ReportMetric(us(0, median), "off-median-us")
	b.ReportMetric(us(1, median), "on-median-us")
	b.ReportMetric(us(0, high), "off-p99-us")
	b.ReportMetric(us(1, high), "on-p99-us")
}

// BenchmarkTimelineRequests measures the requests that a core carries with and
// without a time line. The two daemons take turns, so that other work on the
// machine slows both.
func BenchmarkTimelineRequests(b *testing.B) {
	c := qt.New(b)
	const turn = 500
	pairs := []*pair{
		timelinePair(c, timelineOff),
		timelinePair(c, timelineOn),
	}
	used := make([]time.Duration, len(pairs))
	done := 0
	for done < b.N {
		n := min(turn, b.N-done)
		for i, p := range pairs {
			before := p.processorTime(c)
			p.drive(c, p.caller+"/v1/work/waiver-lookup/waivers/7", http.MethodPost, n)
			used[i] += p.processorTime(c) - before
		}
		done += n
	}
	b.ReportMetric(float64(b.N)/used[0].Seconds(), "off-per-core/s")
	b.ReportMetric(float64(b.N)/used[1].Seconds(), "on-per-core/s")
}
