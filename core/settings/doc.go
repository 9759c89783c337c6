// Package settings holds what a daemon is told when it starts: its name, its
// addresses and availability zone, and how to reach the platform.
//
// Everything that operators change while the system runs is in a declaration
// (package intent) and not here.
package settings
