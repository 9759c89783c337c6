// Package config keeps the confirmed declarations in the platform's table and
// moves them between daemons.
//
// A declaration is split into parts, each with a digest, so that a change costs
// bytes in proportion to what it changes: in the table, where one conditional
// write replaces the changed parts and the head, and between daemons, which send
// each other deltas. A version number is given out once and only grows.
//
// Rows of the table:
//
//	config/head            the newest version, without its declaration
//	config/part/SET/NAME   the parts of the newest version, by the head's set
//	config/history/NUMBER  who confirmed the version when, and what it changed
//	config/undo/NUMBER     the parts before the version, for a rollback
//	config/operation/ID    how the confirmation with the operation ended
//
// A version that changes too much for one write has its parts written beforehand
// as a new set of rows, which nobody reads until the head names it.
package config
