// Package work holds one request for work and its answer as they pass through
// a daemon.
package work
