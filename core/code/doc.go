// Package code numbers every result that heatherford gives to callers,
// operators and logs.
//
// A code says which of three things holds for a request: it was not run, its
// outcome is unknown, or an upstream answered it. docs/CODES.md lists all codes
// with their meaning; a test keeps that table equal to this package.
package code
