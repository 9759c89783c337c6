// Package sessions holds golden files of whole sessions: real programs, as
// separate processes on loopback, driven by scripts under testdata.
package sessions
