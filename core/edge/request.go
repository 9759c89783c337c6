package edge

import (
	"net/http"
	"time"

	"heatherford/core/balance"
	"heatherford/core/code"
)

// Request is a client's request. If the client retries, that is another Request.
type Request struct {
	// ID is distinct among all requests.
	ID     string
	Method string
	Host   string
	// Path is the part of Target before the query.
	Path string
	// Target is the path and query as the client sent them.
	Target string
	// Header holds no hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Object names the object that the request concerns, or is empty.
	Object string
	// Caller identifies the client account by its credentials, or is empty.
	Caller string
	// Arrived is when the request's head was read.
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
	// RetryAt is when a refused client may come back, or zero.
	RetryAt time.Time
	// Endpoint is the endpoint that answered, or is empty.
	Endpoint string
}

// Reply is an endpoint's answer.
type Reply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"-"`
	// Ran is false if the endpoint says that it did not run the request.
	Ran bool `json:"ran"`
	// Misplaced is true if another endpoint has the address now.
	Misplaced bool `json:"misplaced,omitempty"`
	// Genuine is true if the answer has the mark that endpoints set on their own
	// answers.
	Genuine bool `json:"genuine"`
	// Load is the number of running and waiting requests that the endpoint reported,
	// or -1.
	Load int `json:"-"`
	// ColdLeft is how long the endpoint said that it stays cold, or zero.
	ColdLeft time.Duration `json:"-"`
	// Limit is what the endpoint said of its request limit, or nil if it said nothing.
	Limit *balance.StatedLimit `json:"-"`
	// Leaving is true if the endpoint said that it leaves.
	Leaving bool `json:"-"`
	// Backoff is for how long the endpoint wants no further requests from the host that
	// sent this one, or zero.
	Backoff time.Duration `json:"-"`
}

// ForwardRequest is a request that a host forwards to the owner of an endpoint. It holds
// remaining times instead of deadlines, since hosts' clocks differ.
type ForwardRequest struct {
	// Endpoint is the endpoint that the owner sends the request to.
	Endpoint string `json:"endpoint"`
	// ID is distinct among all forwarded requests; Request is the ID of the client's
	// request.
	ID      string      `json:"id"`
	Request string      `json:"request"`
	Method  string      `json:"method"`
	Host    string      `json:"host"`
	Target  string      `json:"target"`
	Header  http.Header `json:"header,omitempty"`
	Object  string      `json:"object,omitempty"`
	Caller  string      `json:"caller,omitempty"`
	Key     uint64      `json:"key"`
	Class   string      `json:"class"`
	Rank    int         `json:"rank"`
	Retry   bool        `json:"retry,omitempty"`
	Once    bool        `json:"once,omitempty"`
	// Trial is true if the endpoint is the one that may try a blocked request.
	Trial     bool          `json:"trial,omitempty"`
	Objective time.Duration `json:"objective"`
	Remaining time.Duration `json:"left"`

	Body []byte `json:"-"`
}

// ForwardResult is the result of an attempt to send a request to an endpoint: exactly
// one of Reply, Refusal and Failure is set.
type ForwardResult struct {
	Reply   *Reply   `json:"reply,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	Failure *Failure `json:"failure,omitempty"`
	// State is the owner's state of the endpoint, or nil.
	State *balance.State `json:"state,omitempty"`
	// Leaving holds the start of the endpoint's incarnation, by the endpoint's ID, if it
	// has said that it leaves.
	Leaving map[string]time.Time `json:"leaving_endpoints,omitempty"`
	// Queued and Took are the times in the owner's admission queue and at the
	// endpoint.
	Queued time.Duration `json:"queued,omitempty"`
	Took   time.Duration `json:"took,omitempty"`
}

// Refusal says why the owner of an endpoint refused a request.
type Refusal struct {
	Code   code.Code `json:"code"`
	Detail string    `json:"detail"`
	// RetryIn is the time until the request could be admitted.
	RetryIn time.Duration `json:"again_in"`
}

// ReasonInvalid is the reason of a failure whose cause is the request itself, which cannot be
// sent to any endpoint.
const ReasonInvalid = "invalid"

// The reasons of failures of the connection, before an answer came and within one.
const (
	reasonReset      = "reset"
	reasonIncomplete = "incomplete"
)

// Failure is an error of Transport.Send or Transport.Forward.
type Failure struct {
	// Sent is true if the endpoint may have received the request.
	Sent bool `json:"sent"`
	// Reason is one of unreachable, reset, foreign, incomplete, endless, silent,
	// unreadable, internal (a panic on this host) and ReasonInvalid. In results of forwarded requests, the owner's name may stand before
	// it.
	Reason string `json:"reason"`
	// Crashes is the number of endpoints that have crashed with requests of the same
	// content in flight, this one included, or 0 if it has not crashed.
	Crashes int `json:"crashes,omitempty"`
	// Cause is nil if another host met the failure.
	Cause error `json:"-"`
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return "edge: " + f.Reason
	}
	return "edge: " + f.Reason + ": " + f.Cause.Error()
}

// isBreakage reports whether the connection broke, as by a crash of the endpoint.
func (f *Failure) isBreakage() bool {
	return f.Reason == reasonReset || f.Reason == reasonIncomplete
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}
