// Package grant decides which host may send how much to which endpoint.
//
// Each endpoint has a row in the platform's table that names an owner and a
// standby. The owner renews its rows in one transaction and so holds a lease;
// without it, it keeps a smaller part of the endpoint's limits, which nobody
// else may use until the owner has acknowledged its loss or has left the
// platform's list. docs/design/grants.md gives the reasons.
//
// A Machine is the decision alone: it is told events with the time, and returns
// effects for others to carry out. It reads no clock and does no I/O.
package grant
