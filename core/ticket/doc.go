// Package ticket decides whether a request that may not be repeated is run, and
// what its copies are answered.
//
// Such a request (its "work") is identified by a ticket or by a caller key. A ticket
// is signed by the host that issues it. A caller key is an idempotency key that the
// caller chose itself. The home of a request is the only host process that may
// dispatch it. At the home a Run is the state of the request, from its first copy to
// its outcome. A Row in the platform's table claims the request for one home, or is
// a tombstone, after which no home may dispatch it. All decisions are pure functions
// of state, event and time; package once carries them out.
package ticket
