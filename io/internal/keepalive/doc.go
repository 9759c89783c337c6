// Package keepalive serves HTTP/1.1 on connections that clients keep open, and closes
// each of them only while it is unused.
//
// The server of net/http counts a connection as idle until it has read a request's whole
// head. What closes idle connections then, a timer or http.Server.Shutdown, may close one
// whose request was read: the request is handled, and its answer is lost. Here a
// connection is closed as unused by way of its read deadline only. A read either returns
// bytes, after which the connection is in use, or fails, after which no byte of it
// is handled.
package keepalive
