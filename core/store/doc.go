// Package store is the kernel's interface to the platform: a transactional table,
// an object store and a list of hosts that lags behind their real state.
//
// A Store is a set of functions that an adapter provides. io/platform is the
// adapter for the platform's HTTP protocol; docs/ADAPTERS.md explains how to
// write another.
package store
