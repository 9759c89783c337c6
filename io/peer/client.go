package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/work"
	"heatherford/io/internal/carry"
	"heatherford/io/internal/refuse"
	"heatherford/io/internal/stamp"
)

// client calls other daemons. It is safe for concurrent use.
type client struct {
	kernel    *core.Kernel
	transport *stamp.Transport
}

func newClient(k *core.Kernel, d *dialer) *client {
	return &client{
		kernel: k,
		transport: &stamp.Transport{
			Clock: k.Clock,
			Base: &http.Transport{
				DialContext:         d.dial,
				DisableCompression:  true,
				MaxIdleConnsPerHost: 64,
			},
		},
	}
}

// others returns the other hosts.
func (c *client) others() []store.Host {
	s := []store.Host{}
	for n, h := range c.kernel.Snapshot().Hosts {
		if n != c.kernel.Settings.Host {
			s = append(s, h)
		}
	}
	return s
}

// carry passes r on to h and returns the head of the answer.
func (c *client) carry(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
	url := "http://" + h.PeerAddress.String() + carry.WorkPrefix + r.Kind.Name + r.Path
	q, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, code.Wrap(code.RequestInvalid, err, "peer: cannot build the request")
	}
	q.GetBody = nil
	q.Header = r.Header.Clone()
	q.Header.Set(work.HeaderRequestID, r.ID)
	q.Header.Set(work.HeaderDeadline, r.Deadline.UTC().Format(time.RFC3339Nano))
	q.Header.Set(work.HeaderCaller, r.Caller.String())
	q.Header.Set(work.HeaderIdempotencyKey, r.Key)
	if len(r.Tried) > 0 {
		q.Header.Set(work.HeaderTried, strings.Join(r.Tried, ","))
	}
	if r.Immediate {
		q.Header.Set(work.HeaderImmediate, "1")
	}
	a, err := c.transport.RoundTrip(q)
	if err != nil {
		return nil, carryError(r, err)
	}
	if n, _ := strconv.Atoi(a.Header.Get(work.HeaderCode)); code.Code(n) != code.Answered {
		defer a.Body.Close()
		if e := a.Header.Get(work.HeaderEndpoint); e != "" {
			r.Tried = append(r.Tried, e)
		}
		return nil, refusal(r, a)
	}
	if a.Header.Get(work.HeaderRequestID) != r.ID {
		a.Body.Close()
		return nil, code.New(code.AnswerForeign, "peer: host %q answered another request", h.Name)
	}
	return &work.Answer{
		Status:   a.StatusCode,
		Header:   a.Header,
		Body:     a.Body,
		Length:   a.ContentLength,
		Host:     a.Header.Get(work.HeaderHost),
		Endpoint: a.Header.Get(work.HeaderEndpoint),
	}, nil
}

// refusal returns the error that another host answered with.
func refusal(r *work.Request, a *http.Response) error {
	b := refuse.Body{}
	if err := json.NewDecoder(a.Body).Decode(&b); err != nil || b.Code == 0 {
		return code.New(code.OutcomeUnknown, "peer: the hop for request %q gave no code", r.ID)
	}
	return code.New(b.Code, "peer: %s", b.Message)
}

func carryError(r *work.Request, err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return code.Wrap(code.HopRefused, err, "peer: the host takes no connection")
	case r.Kind.Repeatable:
		return code.Wrap(code.RepeatableNoAnswer, err, "peer: the host did not answer")
	default:
		return code.Wrap(code.OutcomeUnknown, err, "peer: the host did not answer")
	}
}
