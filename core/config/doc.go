// Package config stores the confirmed declarations in the platform's table and
// distributes them to all hosts.
//
// A declaration is split into parts, each with a digest, so that the cost of a
// change in bytes is proportional to its size. In the table, one conditional
// transaction replaces the changed parts and the head row. Between hosts, only
// deltas are sent. A version number is used once, and numbers only grow.
//
// Rows of the table:
//
//	config/head            the newest version, without its declaration
//	config/part/SET/NAME   the parts of the newest version; the head row names SET
//	config/history/NUMBER  who confirmed the version, when, and what it changed
//	config/undo/NUMBER     the parts before the version, for a rollback
//	config/operation/ID    how the confirmation with the operation ended
//
// If a version changes too much for one transaction, its parts are written
// first, as a new set of rows called a generation. No reader uses them until the
// head row names the set.
package config
