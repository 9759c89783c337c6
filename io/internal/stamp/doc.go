// Package stamp carries the stamps of hybrid logical clocks on all HTTP calls
// between daemons, both ways, so that an event that another daemon's event led
// to always has the later stamp.
package stamp
