// Package balance decides whether a request is admitted, which endpoint it goes
// to, and when it is sent.
//
// Each endpoint has one owner among the hosts of its availability zone. The owner
// counts the requests at the endpoint exactly, holds its only queue, ordered by
// rank, and refuses at once what would be answered too late. All other hosts
// forward requests to the owner, and know the endpoint's load from the states
// that owners report. If two hosts take themselves for the owner for a moment,
// the endpoint itself rejects excess requests and says that it did not run them.
// An endpoint that has just started is cold, and gets requests at a limited rate, as
// does one that states a limit of its own. Hosts tell each other of such limits, so
// that a new owner knows them before its first request.
//
// Requests for one object prefer the same endpoints on every host, by rendezvous
// hashing, since an endpoint that has the object cached serves it faster. Work
// leaves the zone and the region by spillover shares that change slowly, and a
// small allowance lets single requests leave the region beyond them.
//
// Functions take the current time as an argument. Only Balancer.Acquire reads the
// clock, for the wait in the queue.
package balance
