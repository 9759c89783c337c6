package edge

import (
	"net/http"
	"time"

	"heatherford/core/code"
)

// Request is one attempt of a client.
type Request struct {
	// ID is distinct among all attempts.
	ID     string
	Method string
	Host   string
	// Path is the part of Target before the query.
	Path string
	// Target is the path and query as the client sent them.
	Target string
	// Header holds no headers of the connection.
	Header http.Header
	Body   []byte
	// Object names what the request concerns, or is empty.
	Object string
	// Arrived is when its head was read.
	Arrived time.Time
	// Deadline is when the client stops waiting, or zero.
	Deadline time.Time
}

// Answer is the final answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Code says how the answer came about.
	Code code.Code
	// Detail is a short reason for logs and for the body of a refusal.
	Detail string
	// Again is when a refused client should come back, or zero.
	Again time.Time
	// Endpoint is the endpoint that answered, or is empty.
	Endpoint string
}

// Reply is what an endpoint answered.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Ran is false if the endpoint states that it did not run the request.
	Ran bool
	// Misplaced is true if another endpoint has the address now.
	Misplaced bool
	// Genuine is true if the answer bears the endpoint's mark.
	Genuine bool
	// Load is the number of running and waiting requests that the endpoint
	// reported, or -1.
	Load int
	// ColdLeft is how long the endpoint said it would stay cold, or zero.
	ColdLeft time.Duration
}

// Failure is an error of Seams.Send.
type Failure struct {
	// Sent is true if the endpoint may have the request.
	Sent bool
	// Reason is one of unreachable, reset, foreign, incomplete, silent.
	Reason string
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string {
	return "edge: " + f.Reason + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}
