// Package cert gives listeners and dialers their TLS settings, with files that
// are read again when they change.
package cert
