package upstream

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"time"

	"goji.io"
	"goji.io/pat"
)

// Member is an endpoint of a fleet and the region that it stands in.
type Member struct {
	Name     string
	Region   string
	Endpoint *Endpoint
}

// Fleet is all endpoints of a stand-in, with one interface for their counts
// and faults. It is safe for concurrent use.
type Fleet struct {
	members []Member
	regions map[string]*Meter
}

// FleetCounts are the counts of a fleet.
type FleetCounts struct {
	Endpoints []EndpointCounts `json:"endpoints"`
	Regions   []RegionCounts   `json:"regions"`
}

// EndpointCounts are the counts of one endpoint.
type EndpointCounts struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Counts
}

// RegionCounts are the counts of one region.
type RegionCounts struct {
	Name string `json:"name"`
	Usage
}

// NewFleet returns a fleet of the members. The meters are the regions' by name.
func NewFleet(members []Member, regions map[string]*Meter) *Fleet {
	return &Fleet{
		members: members,
		regions: regions,
	}
}

// Handler returns the fleet's HTTP interface: GET /counts, POST /reset, and
// PUT /faults and POST /cool with the queries endpoint, a prefix of names, and
// region.
func (f *Fleet) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Get("/counts"), f.serveCounts)
	m.HandleFunc(pat.Post("/reset"), f.serveReset)
	m.HandleFunc(pat.Put("/faults"), f.serveFaults)
	m.HandleFunc(pat.Post("/cool"), f.serveCool)
	return m
}

// Counts returns the counts of all endpoints and regions.
func (f *Fleet) Counts() FleetCounts {
	c := FleetCounts{}
	for _, m := range f.members {
		c.Endpoints = append(c.Endpoints, EndpointCounts{
			Name:   m.Name,
			Region: m.Region,
			Counts: m.Endpoint.Counts(),
		})
	}
	for n, m := range f.regions {
		c.Regions = append(c.Regions, RegionCounts{
			Name:  n,
			Usage: m.Usage(time.Now()),
		})
	}
	sort.Slice(c.Regions, func(i, j int) bool {
		return c.Regions[i].Name < c.Regions[j].Name
	})
	return c
}

func (f *Fleet) serveCounts(w http.ResponseWriter, _ *http.Request) {
	encode(w, f.Counts())
}

func (f *Fleet) serveReset(http.ResponseWriter, *http.Request) {
	for _, m := range f.members {
		m.Endpoint.Reset()
	}
	for _, m := range f.regions {
		m.reset(time.Now())
	}
}

func (f *Fleet) serveFaults(w http.ResponseWriter, r *http.Request) {
	x := Faults{}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, m := range f.chosen(r) {
		m.Endpoint.SetFaults(x)
	}
}

func (f *Fleet) serveCool(_ http.ResponseWriter, r *http.Request) {
	for _, m := range f.chosen(r) {
		m.Endpoint.Cool()
	}
}

func (f *Fleet) chosen(r *http.Request) []Member {
	q := r.URL.Query()
	s := []Member{}
	for _, m := range f.members {
		if strings.HasPrefix(m.Name, q.Get("endpoint")) && (q.Get("region") == "" || q.Get("region") == m.Region) {
			s = append(s, m)
		}
	}
	return s
}
