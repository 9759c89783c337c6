// Package fleet decides which hosts are alive and what each does for the others.
//
// In an availability zone every host tells every other that it lives, several
// times a second. The first live host of a zone, in an order that all hosts know,
// is its relay: it tells the relays of the other zones who lives in its own. One
// host of all is the reader of the platform's records; the next ones in the order
// take over if its news grows old.
//
// The package is a pure state machine: time and messages are passed in.
package fleet
