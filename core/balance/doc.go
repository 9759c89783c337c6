// Package balance decides which endpoint a request goes to, when it is sent, and
// whether it is admitted at all.
//
// Each endpoint has one owner among the hosts of its availability zone. The owner
// counts the requests at the endpoint exactly, keeps the one queue before it, by
// rank, and refuses at once what would be answered too late. Any other host passes
// a request on to the owner, and knows of the endpoint's load what owners tell.
// Where two hosts hold themselves for the owner for a moment, the endpoint itself
// rejects what is too much and says that it did not run it.
//
// Requests of one object prefer the same endpoints from every host, since these
// serve it faster. Work leaves the zone and the region by shares that change
// slowly, and for single requests by a small allowance.
//
// The package holds no clock: time is passed in.
package balance
