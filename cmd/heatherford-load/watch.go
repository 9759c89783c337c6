package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"heatherford/standin/upstream"
)

// sampleInterval is how often the stand-in's counts are read.
const sampleInterval = 500 * time.Millisecond

// watch reads the stand-in's counts during a run.
type watch struct {
	base string
	// samples are in the order of time.
	samples []sample
}

type sample struct {
	at     time.Time
	counts upstream.FleetCounts
}

func newWatch(s *Scenario) *watch {
	return &watch{
		base: "http://" + s.Control.String(),
	}
}

func (w *watch) call(ctx context.Context, method, path string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, w.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("the stand-in answered %s %s with %s", method, path, a.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(a.Body).Decode(out)
}

func (w *watch) read(ctx context.Context) (sample, error) {
	s := sample{
		at: time.Now(),
	}
	err := w.call(ctx, http.MethodGet, "/counts", nil, &s.counts)
	return s, err
}

// run resets the counts at start and samples them until end.
func (w *watch) run(ctx context.Context, start, end time.Time) error {
	sleep(ctx, time.Until(start))
	if err := w.call(ctx, http.MethodPost, "/reset", nil, nil); err != nil {
		return err
	}
	for at := start; !at.After(end) && ctx.Err() == nil; at = at.Add(sampleInterval) {
		sleep(ctx, time.Until(at))
		s, err := w.read(ctx)
		if err != nil {
			return err
		}
		w.samples = append(w.samples, s)
	}
	return nil
}

// inject sends the scenario's faults at their times.
func (w *watch) inject(ctx context.Context, start time.Time, faults []Fault) error {
	for _, f := range faults {
		sleep(ctx, time.Until(start.Add(f.At.Std())))
		if err := w.call(ctx, f.Method, f.Path, f.Body, nil); err != nil {
			return err
		}
	}
	return nil
}

// EndpointReport is what an endpoint saw.
type EndpointReport struct {
	Name string `json:"name"`
	// PeakOverSlots is above 1 if the endpoint was sent more than it bears.
	PeakOverSlots float64 `json:"peak_over_slots"`
	Peak          int     `json:"peak"`
	Slots         int     `json:"slots"`
	// Utilization is the mean share of the slots in use.
	Utilization float64 `json:"utilization"`
	// IdleMS is the longest time without a finished request, in steps of the
	// sampling.
	IdleMS            int64 `json:"longest_idle_ms"`
	Ran               int   `json:"ran"`
	Shed              int   `json:"shed"`
	Cancelled         int   `json:"cancelled"`
	Late              int   `json:"late"`
	Refused           int   `json:"refused"`
	ConnectionsOpened int   `json:"connections_opened"`
	ConnectionsPeak   int   `json:"connections_peak"`
	Probes            int   `json:"probes"`
}

// UpstreamReport sums up an upstream's endpoints.
type UpstreamReport struct {
	Name string `json:"name"`
	// Capacity is in requests per second.
	Capacity float64 `json:"capacity"`
	// Goodput is correct answers in time over capacity.
	Goodput     float64 `json:"goodput"`
	Utilization float64 `json:"utilization"`
	// Unevenness is the standard deviation of the endpoints' utilization in
	// windows of one sampling interval, as a mean over the windows.
	Unevenness float64 `json:"unevenness"`
	// PeakOverSlots is the largest of any endpoint.
	PeakOverSlots     float64 `json:"peak_over_slots"`
	Shed              int     `json:"shed"`
	Sent              int     `json:"sent"`
	ConnectionsOpened int     `json:"connections_opened"`
	ConnectionsPeak   int     `json:"connections_peak"`
	Probes            int     `json:"probes"`
}

// RegionReport is what a region's endpoints saw together.
type RegionReport struct {
	Name string `json:"name"`
	Peak int    `json:"peak"`
}

func (w *watch) endpoints() []EndpointReport {
	out := []EndpointReport{}
	if len(w.samples) == 0 {
		return out
	}
	last := w.samples[len(w.samples)-1]
	seconds := last.at.Sub(w.samples[0].at).Seconds()
	for i, c := range last.counts.Endpoints {
		out = append(out, EndpointReport{
			Name:              c.Name,
			PeakOverSlots:     float64(c.Peak) / float64(c.Limit),
			Peak:              c.Peak,
			Slots:             c.Limit,
			Utilization:       float64(c.BusyMS) / 1000 / seconds / float64(c.Limit),
			IdleMS:            w.idle(i).Milliseconds(),
			Ran:               c.Ran,
			Shed:              c.Shed,
			Cancelled:         c.Cancelled,
			Late:              c.Late,
			Refused:           c.Refused,
			ConnectionsOpened: c.Opened,
			ConnectionsPeak:   c.OpenPeak,
			Probes:            c.Probes,
		})
	}
	return out
}

// idle returns the longest time between samples in which the endpoint finished
// no request.
func (w *watch) idle(endpoint int) time.Duration {
	longest := time.Duration(0)
	since := w.samples[0]
	for _, s := range w.samples[1:] {
		if s.counts.Endpoints[endpoint].Ran == since.counts.Endpoints[endpoint].Ran {
			longest = max(longest, s.at.Sub(since.at))
			continue
		}
		since = s
	}
	return longest
}

// belongs reports whether an endpoint's name is one of the upstream's, which
// are the upstream's name and a number.
func belongs(endpoint, upstream string) bool {
	return strings.HasPrefix(endpoint, upstream+"-")
}

func (w *watch) upstream(u Upstream, correct int, seconds float64) UpstreamReport {
	r := UpstreamReport{
		Name:       u.Name,
		Capacity:   u.capacity(),
		Goodput:    float64(correct) / seconds / u.capacity(),
		Unevenness: w.unevenness(u.Name),
	}
	busy := 0.0
	for _, e := range w.endpoints() {
		if !belongs(e.Name, u.Name) {
			continue
		}
		busy += e.Utilization * float64(e.Slots)
		r.PeakOverSlots = max(r.PeakOverSlots, e.PeakOverSlots)
		r.Shed += e.Shed
		r.Sent += e.Ran + e.Shed + e.Cancelled + e.Late + e.Refused
		r.ConnectionsOpened += e.ConnectionsOpened
		r.ConnectionsPeak = max(r.ConnectionsPeak, e.ConnectionsPeak)
		r.Probes += e.Probes
	}
	r.Utilization = busy / float64(u.Slots)
	return r
}

func (w *watch) unevenness(upstream string) float64 {
	sum := 0.0
	windows := 0
	for i := 1; i < len(w.samples); i++ {
		a, b := w.samples[i-1], w.samples[i]
		x := []float64{}
		for j, c := range b.counts.Endpoints {
			if !belongs(c.Name, upstream) {
				continue
			}
			busy := float64(c.BusyMS - a.counts.Endpoints[j].BusyMS)
			x = append(x, busy/float64(b.at.Sub(a.at).Milliseconds())/float64(c.Limit))
		}
		sum += deviation(x)
		windows++
	}
	if windows == 0 {
		return 0
	}
	return sum / float64(windows)
}

func deviation(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	mean := 0.0
	for _, v := range x {
		mean += v / float64(len(x))
	}
	square := 0.0
	for _, v := range x {
		square += (v - mean) * (v - mean) / float64(len(x))
	}
	return math.Sqrt(square)
}

func (w *watch) regions() []RegionReport {
	out := []RegionReport{}
	if len(w.samples) == 0 {
		return out
	}
	for _, r := range w.samples[len(w.samples)-1].counts.Regions {
		out = append(out, RegionReport{
			Name: r.Name,
			Peak: r.Peak,
		})
	}
	return out
}
