// Package intent holds declarations: what operators want of the traffic.
//
// A declaration names the ranks and kinds of work, the regions with their
// availability zones and caps, the upstreams with their endpoints, the shifts of
// traffic and where callers are. It is pure data; the functions here parse,
// check and compare declarations and decide nothing else.
package intent
