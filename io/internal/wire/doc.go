// Package wire exchanges HTTP/1.1 requests and answers over connections of
// which each carries one request at a time.
//
// It stands in for http.Transport where the sender has to know how much of a
// request left the host: a request is written once and never again by itself, a
// connection that answered late, twice or too much is closed, and one that went
// silent takes its siblings of the same age with it. Requests are encoded and
// answers decoded by net/http.
package wire
