// Package settings reads the settings file of a daemon: the name, availability
// zone and addresses of its host, and how to reach the platform. A daemon reads it
// once, at its start.
//
// What operators change while the system runs is in the declaration (package
// intent).
package settings
