package main

import (
	"fmt"
	"time"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/report"
	"heatherford/core/rollup"
	"heatherford/core/timeline"
)

var day = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func event(i int) timeline.Event {
	return timeline.Event{
		At: timeline.Stamp{
			Wall: day.Add(time.Duration(i) * time.Millisecond).UnixNano(),
		},
		Host:    hostName(i % planHosts),
		Kind:    timeline.KindRequest,
		Request: fmt.Sprintf("request-%026d", i),
		Subject: "waiver-lookup",
		Text:    "answered",
	}
}

// eventPart measures the ring of events.
func eventPart() part {
	return part{
		name:  "events",
		of:    "events kept",
		sizes: []int{8_192, 16_384, 32_768},
		plan:  32_768,
		measure: func(n int) ([]figure, error) {
			fill := func() any {
				// Half of a ring is for requests.
				r := timeline.NewRing(n)
				for i := range n / 2 {
					r.Add(event(i))
					e := event(i)
					e.Request = ""
					r.Add(e)
				}
				return r
			}
			r := timeline.NewRing(n)
			c := timeline.NewClock(time.Now)
			e := event(0)
			q := timeline.Query{
				Request: e.Request,
			}
			f := []figure{
				{
					name:  "ring",
					unit:  "MiB",
					value: heapOf(fill) / mib,
				},
				{
					name: "record one",
					unit: "us",
					value: microseconds(timeOf(func() {
						e.At = c.Now()
						r.Add(e)
					})),
				},
				{
					name:  "find one request",
					unit:  "ms",
					value: milliseconds(timeOf(func() { timeline.Select(r, "h", q) })),
				},
			}
			return f, nil
		},
	}
}

// mergePart measures the answer of the one daemon that merges all hosts' events.
func mergePart() part {
	return part{
		name:  "timeline merge",
		of:    "hosts, 100 events each",
		sizes: []int{375, 750, 1_500},
		plan:  planHosts,
		measure: func(n int) ([]figure, error) {
			const events = 100
			answers := []timeline.Answer{}
			for h := range n {
				a := timeline.Answer{}
				for i := range events {
					a.Events = append(a.Events, event(i*n+h))
				}
				answers = append(answers, a)
			}
			f := []figure{
				{
					name:  "merge",
					unit:  "ms",
					value: milliseconds(timeOf(func() { timeline.Merge(answers) })),
				},
				{
					name: "in memory",
					unit: "MiB",
					value: heapOf(func() any {
						return timeline.Merge(answers)
					}) / mib,
				},
			}
			return f, nil
		},
	}
}

const (
	// requests are those of one host in an hour, as sampled for a roll-up.
	requests = 20_000
	// versionsPerHour are the plan's 1,500 changes a day.
	versionsPerHour = 63
	ranks           = 3
	// regionsSentTo are those whose endpoints one host owns.
	regionsSentTo = 2
)

// fullHour returns a host's keeper after an hour with work of the kinds, all
// regions and the plan's changes.
func fullHour(kinds int) *rollup.Keeper {
	now := day
	k := rollup.New(rollup.Options{
		Host:        hostName(0),
		Region:      "region-0",
		Incarnation: "a",
		Now: func() time.Time {
			return now
		},
	})
	loads := []rollup.Load{}
	for r := range regionsSentTo {
		loads = append(loads, rollup.Load{
			Bound: rollup.BoundRegion,
			Name:  fmt.Sprintf("region-%d", r),
			Cap:   500,
		})
	}
	for i := range requests {
		now = day.Add(time.Hour * time.Duration(i) / requests)
		x := outcome.Result{
			Kind:      fmt.Sprintf("kind-%d", i%kinds),
			Rank:      fmt.Sprintf("rank-%d", i%kinds%ranks),
			RankIndex: i % kinds % ranks,
			Weight:    1,
			Code:      code.Answered,
			Correct:   true,
			At:        now,
			Elapsed:   time.Millisecond + time.Duration(i*i%997)*100*time.Microsecond,
		}
		if i%50 == 0 {
			x.Code, x.Correct = code.RankFull, false
		}
		k.Result(x)
		for r := range loads {
			loads[r].InFlight = i * (r + 7) % 61
		}
		k.Sample(loads)
	}
	for v := range versionsPerHour {
		k.Event(timeline.Event{
			At: timeline.Stamp{
				Wall: now.UnixNano(),
			},
			Kind:    timeline.KindConfig,
			Phase:   timeline.PhaseEnded,
			Subject: fmt.Sprint(v + 1),
		})
	}
	return k
}

func object(k *rollup.Keeper) rollup.Object {
	s, err := k.Objects()
	if err != nil || len(s) == 0 {
		return rollup.Object{}
	}
	return s[len(s)-1]
}

// rollUpPart measures one host's roll-up.
func rollUpPart() part {
	return part{
		name:  "rollup",
		of:    "kinds of work",
		sizes: []int{3, 9, 27},
		plan:  9,
		measure: func(n int) ([]figure, error) {
			k := fullHour(n)
			interval := rollup.Interval(planHosts, 0)
			size := float64(len(object(k).Data))
			f := []figure{
				{
					name:  "object at the hour's end",
					unit:  "KiB",
					value: size / kib,
				},
				{
					name:  "encode",
					unit:  "us",
					value: microseconds(timeOf(func() { object(k) })),
				},
				{
					name: "counting",
					unit: "MiB",
					value: heapOf(func() any {
						return fullHour(n)
					}) / mib,
				},
				{
					name:  "written, a host of 3000",
					unit:  "B/s",
					value: size / interval.Seconds(),
				},
				{
					name:  "written, a host of 20",
					unit:  "B/s",
					value: size / rollup.Interval(20, 5*time.Second).Seconds(),
				},
			}
			return f, nil
		},
	}
}

// reportPart measures the page on the operator's machine.
func reportPart() part {
	return part{
		name:  "report",
		of:    "roll-ups",
		sizes: []int{480, 2_400, 4_800},
		plan:  planHosts * 24,
		measure: func(n int) ([]figure, error) {
			const kinds = 9
			r, err := rollup.Decode(object(fullHour(kinds)).Data)
			if err != nil {
				return nil, err
			}
			in := report.Input{
				Day:      "2026-12-04",
				From:     day,
				To:       day.Add(24 * time.Hour),
				Now:      day.Add(25 * time.Hour),
				Location: time.UTC,
			}
			for i := range n {
				c := *r
				c.Host = hostName(i / 24)
				c.Hour = day.Add(time.Duration(i%24) * time.Hour)
				c.Started = day
				c.From = c.Hour
				c.To = c.Hour.Add(time.Hour)
				in.Rolls = append(in.Rolls, &c)
			}
			f := []figure{
				{
					name:  "build the page",
					unit:  "ms",
					value: milliseconds(timeOf(func() { report.Build(in) })),
				},
				{
					name:  "objects read",
					unit:  "MiB",
					value: float64(n*len(object(fullHour(kinds)).Data)) / mib,
				},
			}
			return f, nil
		},
	}
}
