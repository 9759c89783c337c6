// Package dispatch carries a request to an endpoint: directly if this host owns
// one with room, else over one hop to a host that does.
package dispatch
