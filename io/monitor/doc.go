// Package monitor counts what an edge does and serves it in the Prometheus text
// format. No label holds a name that grows with the declaration, such as a route's.
package monitor
