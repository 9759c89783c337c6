// Package platform is a stand-in for the platform in tests and the demo: a
// transactional table, an object store and a lagging list of hosts, with faults
// that can be switched on.
package platform
