// Package grant decides which host may send how many requests to which endpoint.
//
// Each endpoint has a row in the platform's table that names an owner and a
// standby. The owner holds a lease on its endpoints and renews it by writing all
// of its rows in one transaction. Without the lease it keeps only reduced limits.
// Nobody else may use these until the owner has acknowledged that it gave them up
// or has left the platform's list. docs/design/grants.md gives the reasons.
//
// A Machine only decides: its methods report events with the time, and it returns
// effects for its user to carry out. It reads no clock and does no I/O.
package grant
