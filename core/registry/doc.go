// Package registry keeps what a host knows of the platform's records: the
// declaration in force, the availability zones that are being emptied, and the
// endpoints of all upstreams.
//
// Knowledge comes in two parts, each read from the platform by few hosts and
// passed on among them. Each part has a version, the platform's counter up to
// which it is complete, and a time at which it was known to be current, by which
// hosts decide who reads next. The package is a pure state machine: time and
// records are passed in.
package registry
