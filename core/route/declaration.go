package route

import "time"

// Declaration is one version of the routing that the operator declares.
type Declaration struct {
	// Version grows with every declaration, but not always by one.
	Version   uint64              `json:"version"`
	Routes    []Route             `json:"routes"`
	Upstreams map[string]Upstream `json:"upstreams"`
	Limits    Limits              `json:"limits"`
}

// Route says how to serve the requests for a host whose path begins with a
// prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Repeatable requests may run more than once. Others run at most once for
	// each attempt of a client.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout is the longest time that a client waits for its answer. Zero leaves
	// only the client's own deadline.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration `json:"objective,omitempty"`
	// Rank is 0 for the most urgent work.
	Rank int `json:"rank,omitempty"`
	// Attempts is the most endpoints that a request is sent to for one attempt of
	// a client. It is at least 1.
	Attempts int `json:"attempts"`
	// Affinity is true if an endpoint serves an object faster after it served it
	// recently.
	Affinity bool `json:"affinity,omitempty"`
	// Regions are the only regions in which requests may be served. Empty allows
	// all.
	Regions []string `json:"regions,omitempty"`
	// Parts has at least one element. The sum of the weights is positive.
	Parts []Part `json:"parts"`
}

// Part is an upstream's weighted share of a route's requests.
type Part struct {
	Upstream string  `json:"upstream"`
	Weight   float64 `json:"weight"`
}

// Upstream is a service that endpoints belong to.
type Upstream struct {
	HealthPath string `json:"health_path,omitempty"`
	// Connections is the most connections that one endpoint accepts from all
	// hosts together. Zero stands for no bound.
	Connections int `json:"connections,omitempty"`
	// ColdFor is how long an endpoint stays cold after its start.
	ColdFor time.Duration `json:"cold_for,omitempty"`
	// ColdRate is the number of requests per second that a cold endpoint can
	// take.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Limits bound what a client may send, and how long it may be idle. Zero stands
// for no limit.
type Limits struct {
	HeaderBytes   int64         `json:"header_bytes,omitempty"`
	BodyBytes     int64         `json:"body_bytes,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}

// Allows reports whether requests of the route may be served in the region.
func (r *Route) Allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, x := range r.Regions {
		if x == region {
			return true
		}
	}
	return false
}
