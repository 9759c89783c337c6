// Package timeline records what a daemon does as events that can be put in
// causal order over all daemons.
//
// Every event carries a time of a hybrid logical clock, which peers' calls carry
// on; a bounded ring keeps the newest events.
package timeline
