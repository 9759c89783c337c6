// Package relay is a stand-in for what lies between two processes: it passes
// connections on to a target, and can lose track of them or cut them.
package relay
