package intent

import (
	"fmt"
	"slices"

	"heatherford/core/code"
)

// EditKind is the kind of object that an Edit changes.
type EditKind string

// The kinds of objects.
const (
	EditEndpoint EditKind = "endpoint"
	EditHost     EditKind = "host"
)

// Edit marks one endpoint or entry host as leaving or ends its drain. It is
// immutable.
type Edit struct {
	Kind    EditKind `json:"kind"`
	Name    string   `json:"name"`
	Leaving bool     `json:"leaving"`
}

// String describes the edit for the history of versions.
func (e Edit) String() string {
	if e.Leaving {
		return fmt.Sprintf("drain of %s %s", e.Kind, e.Name)
	}
	return fmt.Sprintf("end of the drain of %s %s", e.Kind, e.Name)
}

// With returns a copy of d with e applied. It shares unchanged data with d, which
// it does not modify. Its error has the code OperatorInput if the endpoint does
// not exist or the kind is unknown.
func (d *Declaration) With(e Edit) (*Declaration, error) {
	c := *d
	switch e.Kind {
	case EditHost:
		c.LeavingHosts = slices.DeleteFunc(slices.Clone(d.LeavingHosts), func(n string) bool {
			return n == e.Name
		})
		if e.Leaving {
			c.LeavingHosts = append(c.LeavingHosts, e.Name)
		}
		return &c, nil
	case EditEndpoint:
		if _, ok := d.Endpoint(e.Name); !ok {
			return nil, code.New(code.OperatorInput, "intent: no endpoint %q", e.Name)
		}
		c.Upstreams = slices.Clone(d.Upstreams)
		for i, u := range c.Upstreams {
			c.Upstreams[i].Endpoints = editEndpoints(u.Endpoints, e)
		}
		return &c, nil
	default:
		return nil, code.New(code.OperatorInput, "intent: expected endpoint or host, found %q", e.Kind)
	}
}

func editEndpoints(s []Endpoint, e Edit) []Endpoint {
	i := slices.IndexFunc(s, func(x Endpoint) bool {
		return x.Name == e.Name
	})
	if i < 0 {
		return s
	}
	s = slices.Clone(s)
	s[i].Leaving = e.Leaving
	return s
}
