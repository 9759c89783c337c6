package rollup

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/strict"
	"heatherford/core/timeline"
)

// Format is the version of a roll-up's format.
const Format = 1

const (
	// HourLength is the time that one roll-up covers at most.
	HourLength = time.Hour
	// SlotLength is the resolution of a roll-up's series.
	SlotLength = 5 * time.Minute
	// SampleLength is the time between the samples of a load.
	SampleLength = 5 * time.Second
	// Slots is the number of slots of a roll-up.
	Slots = int(HourLength / SlotLength)
)

// Roll is what one incarnation of a host counted in one hour.
type Roll struct {
	// Format is always Format.
	Format int    `json:"format"`
	Host   string `json:"host"`
	Region string `json:"region"`
	// Incarnation is distinct among the daemons that ran under the host's name.
	Incarnation string `json:"incarnation"`
	// Started is when the incarnation started.
	Started time.Time `json:"started"`
	// Hour is the start of the hour in UTC.
	Hour time.Time `json:"hour"`
	// From and To bound the time that the roll-up covers.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Interval is how often the roll-up is written.
	Interval strict.Duration `json:"interval"`
	// Sequence grows with every writing.
	Sequence uint64 `json:"sequence"`
	// Closed is true if nothing will be added: the hour or the host has ended.
	Closed bool `json:"closed,omitempty"`
	// Stopped is true if the host has ended in a planned stop at To.
	Stopped bool `json:"stopped,omitempty"`
	// Kinds are ordered by name.
	Kinds []Kind `json:"kinds,omitempty"`
	// Slots holds those slots in which something was counted, in order.
	Slots    []Slot    `json:"slots,omitempty"`
	Versions []Version `json:"versions,omitempty"`
	// Incidents are in the order in which they began.
	Incidents []Incident `json:"incidents,omitempty"`
	// Omitted is the number of incidents and versions left out of a full list.
	Omitted int `json:"omitted,omitempty"`
	// Listed are the hosts that the platform listed in the hour. Only a few
	// hosts give them.
	Listed []string `json:"listed,omitempty"`
	// Lost is the number of earlier roll-ups that were dropped unwritten.
	Lost int `json:"lost,omitempty"`
}

// Kind is what was counted of one kind of work at the hosts that callers sent
// it to.
type Kind struct {
	Name string `json:"name"`
	Rank string `json:"rank"`
	// RankIndex orders the ranks, the most urgent first.
	RankIndex  int  `json:"rank_index"`
	Repeatable bool `json:"repeatable,omitempty"`
	outcome.Counts
	// Codes counts the requests that got no whole answer, by result code.
	Codes map[code.Code]uint64 `json:"codes,omitempty"`
	// Score is the sum of the weights of all correct answers.
	Score float64 `json:"score"`
	// Worth is the sum of the weights of all requests.
	Worth float64 `json:"worth"`
	// Target is the share of correct answers in time that the operators aim
	// at, or 0 if they state none.
	Target float64 `json:"target,omitempty"`
	// Latency is an encoded histogram of the answers' times in microseconds.
	Latency []byte `json:"latency,omitempty"`
}

// Slot is a part of the hour's series.
type Slot struct {
	// Index counts slots from the start of the hour.
	Index   int        `json:"index"`
	Ranks   []SlotRank `json:"ranks,omitempty"`
	Regions []SlotLoad `json:"regions,omitempty"`
	// Shifts and Links hold the requests that count against their caps.
	Shifts []SlotLoad `json:"shifts,omitempty"`
	Links  []SlotLoad `json:"links,omitempty"`
}

// SlotRank is the service to one rank in a slot.
type SlotRank struct {
	Rank    string `json:"rank"`
	Index   int    `json:"rank_index"`
	Asked   uint64 `json:"asked"`
	Correct uint64 `json:"correct"`
}

// SlotLoad is what this host had in flight against one cap.
type SlotLoad struct {
	Name string `json:"name"`
	// Cap is the cap in the declaration then in force.
	Cap int `json:"cap"`
	// Samples are the host's requests in flight at each full SampleLength from
	// the slot's start on. All hosts sample at the same times, so that the sum
	// of their samples is what was in flight at once. Those missing at the end
	// are zero.
	Samples []int `json:"samples,omitempty"`
	// Seconds is the sum of the requests' times in flight.
	Seconds float64 `json:"in_flight_seconds"`
}

// Version is what the host saw of one version of the configuration.
type Version struct {
	Number uint64 `json:"version"`
	// ConfirmedAt is when an operator confirmed it at this host, or zero.
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	// InForceAt is when it came in force at this host, or zero.
	InForceAt time.Time `json:"in_force_at,omitzero"`
}

// Incident is something that began and may have ended.
type Incident struct {
	Kind    timeline.Kind `json:"kind"`
	Subject string        `json:"subject,omitempty"`
	// Begun is zero if the host saw only the end.
	Begun time.Time `json:"begun,omitzero"`
	// Ended is zero if the host saw no end.
	Ended time.Time `json:"ended,omitzero"`
	// Failed is true if it ended in a failure.
	Failed bool   `json:"failed,omitempty"`
	Text   string `json:"text"`
}

// Object is an encoded roll-up.
type Object struct {
	Name string
	Data []byte
}

// Prefix starts the names of all roll-ups.
const Prefix = "rollup/"

const hourLayout = "2006-01-02T15"

// HourPrefix starts the names of all roll-ups of the hour that begins at t.
func HourPrefix(t time.Time) string {
	return Prefix + t.UTC().Format(hourLayout) + "/"
}

// Name returns the name of r's object.
func (r *Roll) Name() string {
	return HourPrefix(r.Hour) + r.Host + "/" + r.Incarnation
}

// ValidName reports whether name is one that a roll-up may have.
func ValidName(name string) bool {
	p := strings.Split(name, "/")
	const parts = 4
	if len(p) != parts || p[0]+"/" != Prefix || p[2] == "" || p[3] == "" {
		return false
	}
	_, err := time.Parse(hourLayout, p[1])
	return err == nil
}

// Encode returns r's object: JSON, compressed by gzip.
func (r *Roll) Encode() (Object, error) {
	b := &bytes.Buffer{}
	z := gzip.NewWriter(b)
	if err := json.NewEncoder(z).Encode(r); err != nil {
		return Object{}, fmt.Errorf("rollup: cannot encode: %w", err)
	}
	if err := z.Close(); err != nil {
		return Object{}, fmt.Errorf("rollup: cannot encode: %w", err)
	}
	return Object{
		Name: r.Name(),
		Data: b.Bytes(),
	}, nil
}

// maxRollBytes bounds a roll-up, uncompressed.
const maxRollBytes = 4 << 20

// Decode reads a roll-up.
func Decode(b []byte) (*Roll, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("rollup: cannot decode: %w", err)
	}
	r := &Roll{}
	if err := json.NewDecoder(io.LimitReader(z, maxRollBytes)).Decode(r); err != nil {
		return nil, fmt.Errorf("rollup: cannot decode: %w", err)
	}
	if r.Format != Format {
		return nil, fmt.Errorf("rollup: format %d, expected %d", r.Format, Format)
	}
	return r, nil
}
