// Package caller serves callers over HTTP: look-ups and requests for work.
//
// docs/CALLERS.md describes the interface.
package caller
