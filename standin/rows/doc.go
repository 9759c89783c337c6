// Package rows stands in for the users' table service in tests and measurements:
// rows with versions of one counter, transactions, feeds of changes, and faults
// that can be switched on.
package rows
