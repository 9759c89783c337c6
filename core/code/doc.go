// Package code defines the numeric result codes that Heatherford gives to callers and
// operators and writes to logs, and the errors that carry them.
//
// The code of a request says which of three cases holds: the request was not run, its
// outcome is unknown, or an upstream answered it. docs/CODES.md lists all codes with
// their meanings; a test checks that the list equals Table.
package code
