package work

import (
	"crypto/rand"
	"io"
	"net/http"
	"net/netip"
	"time"

	"heatherford/core/intent"
)

// Headers of the callers' interface; docs/CALLERS.md describes each.
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

// Request is one request for work. Only the goroutine that carries it may use
// it.
type Request struct {
	// ID is never empty.
	ID   string
	Kind intent.Kind
	// Rank is an index into the declaration's ranks, of which RankName is the
	// name. It is not more urgent than the kind's.
	Rank     int
	RankName string
	// KindRank is the index of the kind's rank, under which the request is
	// counted.
	KindRank int
	// Target is the share of correct answers that the kind's rank aims at, 0 for
	// none.
	Target float64
	Caller netip.Addr
	Method string
	// Path starts with a slash and holds the query, if any.
	Path   string
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Deadline is when the caller stops waiting. It is never zero.
	Deadline time.Time
	// Key identifies work that may not be repeated, or is empty.
	Key string
	// Ticket is the ticket of a look-up, or is empty.
	Ticket string
	// Tried names the endpoints that the request was sent to without success.
	// It is not sent to them again.
	Tried []string
	// Again asks whether the upstream's budget allows one more sending of
	// repeatable work; nil stands for yes.
	Again func() bool
	// Resend asks for a slot for a second sending to the same endpoint while that
	// may still be at work on the first; nil stands for yes.
	Resend func() bool
	// MayRun is set together with an error if the endpoint may be at work on the
	// request until its deadline.
	MayRun bool
	// Immediate is true if the request is to be refused rather than wait for a
	// slot, since another host may have one.
	Immediate bool
	// Hop is true of a request that another host passed on. It is never
	// passed on again.
	Hop bool
	// Dispatched is true of work that may not be repeated once its home has
	// dispatched it. It is run without asking again whether it may.
	Dispatched bool
}

// NewID returns a new distinct identifier.
func NewID() string {
	return rand.Text()
}

// Answer is an upstream's answer. Its receiver closes the body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 if the upstream sent it in
	// chunks.
	Length int64
	// Host is the host that sent the request to the endpoint.
	Host     string
	Endpoint string
}
