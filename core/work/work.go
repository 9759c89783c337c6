package work

import (
	"crypto/rand"
	"io"
	"net/http"
	"net/netip"
	"time"

	"heatherford/core/intent"
)

// Headers of requests and answers. docs/CALLERS.md describes those of the callers'
// interface.
const (
	HeaderRequestID      = "Heatherford-Request-Id"
	HeaderDeadline       = "Heatherford-Deadline"
	HeaderRank           = "Heatherford-Rank"
	HeaderTicket         = "Heatherford-Ticket"
	HeaderCaller         = "Heatherford-Caller"
	HeaderCode           = "Heatherford-Code"
	HeaderOutcome        = "Heatherford-Outcome"
	HeaderHost           = "Heatherford-Host"
	HeaderEndpoint       = "Heatherford-Endpoint"
	HeaderHop            = "Heatherford-Hop"
	HeaderTried          = "Heatherford-Tried"
	HeaderImmediate      = "Heatherford-Immediate"
	HeaderDispatched     = "Heatherford-Dispatched"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Request is one request for work. It is not safe for concurrent use: only the
// goroutine that handles it may use it.
type Request struct {
	// ID is never empty.
	ID   string
	Kind intent.Kind
	// Rank is the index of the request's rank among the declaration's ranks, and
	// RankName its name. The rank is never more urgent than that of the kind.
	Rank     int
	RankName string
	// KindRank is the index of the kind's rank. The result of the request is counted
	// under this rank, also if Rank is less urgent.
	KindRank int
	// Target is the target share of correct answers of the kind's rank, from 0 to 1;
	// 0 means that the rank has no target.
	Target float64
	Caller netip.Addr
	Method string
	// Path starts with a slash and includes the query, if any.
	Path   string
	Header http.Header
	// Body is the whole request body.
	Body []byte
	// Deadline is when the caller stops waiting. It is never zero.
	Deadline time.Time
	// Key is the caller's idempotency key, which identifies non-repeatable work, or is
	// empty.
	Key string
	// Ticket is the ticket that a look-up returned to the caller, or is empty.
	Ticket string
	// Tried holds the names of the endpoints at which an attempt failed. The request is
	// not sent to them again.
	Tried []string
	// Again reports whether the upstream's retry budget allows a further attempt of
	// repeatable work, and takes it from the budget. If it is nil, every attempt is
	// allowed.
	Again func() bool
	// Resend reserves a second slot of the same endpoint for a further attempt while
	// the endpoint may still be working on the first one. It reports false if no slot
	// is free. If it is nil, no slot has to be reserved.
	Resend func() bool
	// MayRun is set when an attempt fails and the endpoint may still be working on the
	// request, at most until Deadline.
	MayRun bool
	// Immediate is true if the request must be refused rather than queued when no slot
	// is free, since another host may have a free slot.
	Immediate bool
	// Hop is true if another host forwarded the request to this one. Such a request is
	// never forwarded again.
	Hop bool
	// Dispatched is true of non-repeatable work that its home has already dispatched.
	// It is run without checking again whether it may run.
	Dispatched bool
}

// NewID returns a new random identifier for a request.
func NewID() string {
	return rand.Text()
}

// Answer is an upstream's answer. Whoever receives it must close its body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 if the upstream sent the body in
	// chunks without a length.
	Length int64
	// Host is the name of the host that sent the request to the endpoint.
	Host string
	// Endpoint is the name of the endpoint that answered.
	Endpoint string
}
