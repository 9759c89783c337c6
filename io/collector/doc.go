// Package collector serves the daemon's metrics to a collector in the
// Prometheus text format, and writes its roll-ups for the evening page to the
// platform's objects.
package collector
