// Package quarantine finds requests that crash the endpoints that run them, and blocks
// these. Each host reports the crashes that it has seen, with the requests that were in
// flight, and the requests that have completed since; the sum over all hosts decides. A blocked
// request is tried on other software than that which crashed.
package quarantine
