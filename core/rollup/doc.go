// Package rollup sums what a daemon counted into objects for the evening page,
// one for each host, incarnation and hour.
//
// Hosts keep nothing, so the objects go to the platform. An object's name is
// fixed by what it covers: writing it again replaces it, and nothing is counted
// twice. Each says which time it covers and whether it is final, so that the
// page can tell a quiet hour from a missing one.
package rollup
