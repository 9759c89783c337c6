// Package balance decides which endpoint a request goes to, and whether it is
// admitted at all.
//
// Every host sends to endpoints by itself. It knows its own requests in flight
// exactly, those of the other hosts of its availability zone from what they tell
// several times a second, and an endpoint's whole load from what its answers
// report. Requests of one object prefer the same endpoints from every host, since
// these serve it faster. Work leaves the zone and the region by shares that change
// slowly, and for single requests by a small allowance.
//
// The package holds no goroutines and no clock: time is passed in.
package balance
