// Package registry holds what a host knows of the platform's records: the declaration in
// force, the drained availability zones, and the endpoints of all upstreams.
//
// The records come in two parts. Few hosts read each part from the platform and send it to
// the others. Each part has a version, which is the platform's counter up to which the part
// is complete, and a time at which it was known to be current. From that time hosts decide
// which of them reads next.
//
// The package is a pure state machine: the caller passes in the time and the records.
package registry
