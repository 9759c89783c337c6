// Package shift decides how much of a declared shift of work is in force.
//
// A shift starts small, since the receiving region's caches and endpoints are
// cold, and grows while the latency there holds. Without fresh measurements it
// neither grows nor shrinks; when latency or shedding rises, it takes the last
// step back and says why. Its cap is none of this package's business: the
// endpoints' ledgers (package quota) keep it whatever the share is.
package shift
