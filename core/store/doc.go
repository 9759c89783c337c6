// Package store is the kernel's view of the platform: a transactional table, an
// object store and a lagging list of hosts.
//
// A Store is a set of functions that an adapter fills in. io/platform is the
// adapter for the platform's HTTP protocol; docs/ADAPTERS.md says how to write
// another.
package store
