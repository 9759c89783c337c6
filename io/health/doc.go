// Package health asks the endpoints that this host owns for their health and
// load, over HTTP and JSON, and tells the kernel which of them are leaving.
//
// Only the owner asks, so that an endpoint pays for one prober. A sign that an
// endpoint is leaving goes to all hosts.
package health
