// Package shift decides how much of a declared shift of work between regions is
// in force.
//
// A shift starts small, since the caches and endpoints of the receiving region
// are cold, and grows while the latency there stays good. Without fresh
// measurements it neither grows nor shrinks. When the latency or the refusals
// rise, it takes back the last step and gives the reason. The package does not
// enforce caps: the endpoints' ledgers in package quota do, whatever the share
// is.
package shift
