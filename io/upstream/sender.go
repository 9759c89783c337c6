package upstream

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/work"
)

// Headers between a host and an endpoint; docs/ADAPTERS.md describes each.
const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Request-Deadline"
	headerNotRun    = "Upstream-Not-Run"
)

const idleConnTimeout = 30 * time.Second

// Sender sends requests to endpoints. It is safe for concurrent use.
type Sender struct {
	mu sync.Mutex
	// transports holds one transport for each endpoint's address.
	transports map[string]*http.Transport
}

// New returns a sender without connections.
func New() *Sender {
	return &Sender{
		transports: map[string]*http.Transport{},
	}
}

// Close closes all idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}

// Send sends r to e and returns the head of the answer. An error's code says
// whether r was run.
func (s *Sender) Send(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error) {
	q, err := newRequest(ctx, e, r)
	if err != nil {
		return nil, err
	}
	a, err := s.transport(e).RoundTrip(q)
	if err != nil {
		return nil, sendError(r, err)
	}
	if a.Header.Get(headerNotRun) != "" {
		a.Body.Close()
		return nil, code.New(code.UpstreamRefused, "upstream: endpoint %q did not run the request", e.Name)
	}
	if a.Header.Get(headerRequestID) != r.ID {
		a.Body.Close()
		return nil, code.New(code.AnswerForeign, "upstream: endpoint %q answered another request", e.Name)
	}
	a.Header.Del(headerRequestID)
	return &work.Answer{
		Status:   a.StatusCode,
		Header:   a.Header,
		Body:     a.Body,
		Length:   a.ContentLength,
		Endpoint: e.Name,
	}, nil
}

func newRequest(ctx context.Context, e intent.Endpoint, r *work.Request) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Address.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, code.Wrap(code.RequestInvalid, err, "upstream: cannot build the request")
	}
	// Without GetBody the transport does not send a request again by itself.
	q.GetBody = nil
	q.Header = r.Header.Clone()
	q.Header.Set(headerRequestID, r.ID)
	q.Header.Set(headerDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	return q, nil
}

func sendError(r *work.Request, err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return code.Wrap(code.UpstreamRefused, err, "upstream: the endpoint takes no connection")
	case r.Kind.Repeatable:
		return code.Wrap(code.RepeatableNoAnswer, err, "upstream: the endpoint did not answer")
	default:
		return code.Wrap(code.OutcomeUnknown, err, "upstream: the endpoint did not answer")
	}
}

func (s *Sender) transport(e intent.Endpoint) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := e.Address.String()
	t, ok := s.transports[a]
	if !ok {
		t = &http.Transport{
			MaxConnsPerHost:     e.Connections,
			MaxIdleConnsPerHost: e.Slots,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}
		s.transports[a] = t
	}
	return t
}
