// Package intent holds declarations, which state how operators want the traffic
// to be handled.
//
// A declaration names the ranks and kinds of work, the regions with their
// availability zones and caps, the upstreams with their endpoints, the shifts of
// traffic and the places where callers are. It is plain data. The functions here
// parse, validate, edit and compare declarations and assess the effect of a
// change on the load; they make no traffic decisions.
package intent
