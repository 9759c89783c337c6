// Package upstream sends requests to upstreams' endpoints over HTTP/1.1, one
// request in flight on a connection.
package upstream
