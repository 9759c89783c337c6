// Package host speaks to the other hosts of an edge: over UDP, by which each
// tells several times a second what has changed and that it lives, and over HTTP
// and JSON, by which a host fetches what it has missed.
package host
