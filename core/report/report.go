package report

import (
	"time"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/strict"
	"heatherford/core/timeline"
)

// Format is the version of the report's JSON.
const Format = 1

// Verdict says how the day went.
type Verdict string

// The verdicts.
const (
	WentWell  Verdict = "went_well"
	WentBadly Verdict = "did_not_go_well"
	NotKnown  Verdict = "not_known"
)

// Report is the evening page. It is immutable once built.
type Report struct {
	// Format is always Format.
	Format int `json:"format"`
	// Day is the day's date, such as 2026-12-04.
	Day string `json:"day"`
	// TimeZone is the name of the time zone that the day and the texts are in.
	TimeZone string    `json:"time_zone"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	MadeAt   time.Time `json:"made_at"`
	Verdict  Verdict   `json:"verdict"`
	// Headline is the page's first line.
	Headline string `json:"headline"`
	// Reasons say why the day did not go well.
	Reasons []string `json:"reasons"`
	// Missing says what is not known.
	Missing []string `json:"missing"`
	// Notes are what a reader has to know to read the figures.
	Notes []string `json:"notes"`
	// Ranks are ordered, the most urgent first.
	Ranks []Rank `json:"ranks"`
	// Kinds are ordered by rank and name.
	Kinds []Kind `json:"kinds"`
	// Regions are ordered by name.
	Regions []Load `json:"regions"`
	// ShiftLoads and LinkLoads are ordered by name.
	ShiftLoads []Load   `json:"shift_loads"`
	LinkLoads  []Load   `json:"link_loads"`
	Shifts     []Span   `json:"shifts"`
	Drains     []Span   `json:"drains"`
	Stops      []Stop   `json:"stops"`
	Changes    []Change `json:"changes"`
	Failures   []Span   `json:"failures"`
	Outages    []Span   `json:"platform_outages"`
	// Hosts is the number of hosts that wrote a roll-up.
	Hosts int `json:"hosts"`
	// Slots are the day's service in steps of five minutes.
	Slots []Slot `json:"slots"`
	// Gaps are the times for which a host's counts are missing.
	Gaps []Gap `json:"gaps"`

	location *time.Location
}

// Work is what was counted of some requests.
type Work struct {
	outcome.Counts
	// Share is the share of correct answers in time, or nil without requests.
	Share *float64 `json:"share_correct"`
	// Score is the sum of the weights of all correct answers, Worth that of
	// all requests.
	Score float64 `json:"score"`
	Worth float64 `json:"worth"`
	// P50 and P99 are quantiles of the times of answers, or nil without any.
	P50 *strict.Duration `json:"p50"`
	P99 *strict.Duration `json:"p99"`
}

// Rank is the service to one rank.
type Rank struct {
	Name string `json:"rank"`
	// Index orders the ranks.
	Index int `json:"rank_index"`
	// Target is the share of correct answers aimed at, or 0 for none.
	Target float64 `json:"target"`
	Work
}

// Kind is the service to one kind of work.
type Kind struct {
	Name       string `json:"kind"`
	Rank       string `json:"rank"`
	RankIndex  int    `json:"rank_index"`
	Repeatable bool   `json:"repeatable"`
	Work
	// Codes are ordered by code.
	Codes []Code `json:"codes"`
}

// Code counts the requests that ended with a result code.
type Code struct {
	Code    code.Code    `json:"code"`
	Outcome code.Outcome `json:"outcome"`
	Count   uint64       `json:"count"`
}

// Load is the load against the cap of one region, shift or link.
type Load struct {
	Name string `json:"name"`
	// Cap is the cap last in force.
	Cap int `json:"cap"`
	// Peak is the largest number of requests in flight at all hosts at once, by
	// samples, and PeakAt when that was.
	Peak   int       `json:"peak"`
	PeakAt time.Time `json:"peak_at"`
	// Headroom is the smallest distance from a slot's peak to its cap.
	Headroom int `json:"least_headroom"`
	// Mean is the mean of the requests in flight over the covered slots.
	Mean  float64    `json:"mean"`
	Slots []LoadSlot `json:"slots"`
}

// LoadSlot is the load against a cap in five minutes.
type LoadSlot struct {
	Start time.Time `json:"start"`
	Cap   int       `json:"cap"`
	// Peak is the largest sum of the hosts' samples of one time.
	Peak int     `json:"peak"`
	Mean float64 `json:"mean"`

	// sums holds the sum of the hosts' samples of each time.
	sums []int
	// peakAt is when the peak was.
	peakAt time.Time
}

// Slot is the service in five minutes.
type Slot struct {
	Start time.Time  `json:"start"`
	Ranks []SlotRank `json:"ranks"`
}

// SlotRank is the service to one rank in a slot.
type SlotRank struct {
	Rank    string `json:"rank"`
	Asked   uint64 `json:"asked"`
	Correct uint64 `json:"correct"`
}

// Span is something that took time, as one or more hosts saw it.
type Span struct {
	Kind    timeline.Kind `json:"kind"`
	Subject string        `json:"subject,omitempty"`
	// Begun is the first begin that a host saw, or zero.
	Begun time.Time `json:"begun,omitzero"`
	// Ended is the last end that a host saw, or zero.
	Ended  time.Time `json:"ended,omitzero"`
	Failed bool      `json:"failed"`
	// Hosts are the hosts that saw it, ordered.
	Hosts []string `json:"hosts"`
	Text  string   `json:"text"`
}

// Took returns how long s took, and whether that is known.
func (s Span) Took() (time.Duration, bool) {
	if s.Begun.IsZero() || s.Ended.IsZero() {
		return 0, false
	}
	return s.Ended.Sub(s.Begun), true
}

// Stop is a planned stop of a host.
type Stop struct {
	Host string    `json:"host"`
	At   time.Time `json:"at"`
}

// Change is one version of the configuration.
type Change struct {
	Version uint64 `json:"version"`
	// ConfirmedAt is zero if the confirming host's roll-up is missing.
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	// EverywhereAt is when the last host had it or a later one in force; zero
	// if some host never had.
	EverywhereAt time.Time `json:"everywhere_at,omitzero"`
	// Hosts is the number of hosts that had to take it.
	Hosts int `json:"hosts"`
	// Without are hosts that never had it in force, ordered.
	Without []string `json:"without"`
	// Unknown are hosts whose roll-ups end before it came in force, ordered.
	Unknown []string `json:"not_known_of"`
}

// Took returns how long the change took until everywhere, and whether that is
// known.
func (c Change) Took() (time.Duration, bool) {
	if c.ConfirmedAt.IsZero() || c.EverywhereAt.IsZero() {
		return 0, false
	}
	return c.EverywhereAt.Sub(c.ConfirmedAt), true
}

// Gap is a time for which a host's counts are missing.
type Gap struct {
	Host string    `json:"host"`
	From time.Time `json:"from"`
	// To is zero if the host did not come back by the page's end.
	To   time.Time `json:"to,omitzero"`
	Text string    `json:"text"`
}
