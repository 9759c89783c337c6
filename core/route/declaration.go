package route

import "time"

// Declaration is one version of what the operator wants.
type Declaration struct {
	// Version grows with every declaration, in uneven steps.
	Version   uint64              `json:"version"`
	Routes    []Route             `json:"routes"`
	Upstreams map[string]Upstream `json:"upstreams"`
	Limits    Limits              `json:"limits"`
}

// Route says how the requests under a prefix of a host's paths are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Repeatable requests may run more than once; others run at most once for
	// each attempt of a client.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout is the longest time that a client is kept waiting; zero stands
	// for no limit but the client's own deadline.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration `json:"objective,omitempty"`
	// Rank is 0 for the most urgent work.
	Rank int `json:"rank,omitempty"`
	// Attempts is the most endpoints that one attempt of a client is sent to,
	// at least 1.
	Attempts int `json:"attempts"`
	// Affinity says that endpoints serve an object faster that they served
	// recently.
	Affinity bool `json:"affinity,omitempty"`
	// Regions are the only ones in which requests may be served; empty stands
	// for all.
	Regions []string `json:"regions,omitempty"`
	// Parts has at least one element, whose weights are positive in sum.
	Parts []Part `json:"parts"`
}

// Part is an upstream's share of a route's requests.
type Part struct {
	Upstream string  `json:"upstream"`
	Weight   float64 `json:"weight"`
}

// Upstream is a service that endpoints belong to.
type Upstream struct {
	HealthPath string `json:"health_path,omitempty"`
	// Connections is the most connections that one endpoint accepts from all
	// hosts together; zero stands for no bound.
	Connections int `json:"connections,omitempty"`
	// ColdFor is how long an endpoint stays cold after its start.
	ColdFor time.Duration `json:"cold_for,omitempty"`
	// ColdRate is the number of requests a second that a cold endpoint bears.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Limits bound what a client may send, and how long it may stay idle. Zero
// stands for no limit.
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
