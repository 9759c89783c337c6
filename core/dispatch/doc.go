// Package dispatch sends a request to an endpoint: directly if this host owns one
// with a free slot, else by forwarding it once to a host that does.
package dispatch
