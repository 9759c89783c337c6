// Package stdout writes log lines to standard output without ever making anyone
// wait.
//
// Lines go through a queue of bounded length to one goroutine that writes. Each
// kind of line has a bound a second. What is left out is counted and told in a
// line of its own, so that a reader knows that lines are missing.
package stdout
