// Package reach decides whether a host reaches the endpoints at all. A connection that
// fails says nothing of its cause: the endpoint may be down, or the host may be cut off
// from all of them. A Monitor tells these apart by probes, which open connections to
// endpoints of several availability zones and send nothing.
package reach
