package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/work"
	"heatherford/io/internal/carry"
	"heatherford/io/internal/refuse"
	"heatherford/io/internal/stamp"
	"heatherford/io/peer/peerpb"
)

const (
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
)

// client calls other daemons. It is safe for concurrent use.
type client struct {
	kernel    *core.Kernel
	transport *stamp.Transport
}

func newClient(k *core.Kernel) *client {
	return &client{
		kernel: k,
		transport: &stamp.Transport{
			Clock: k.Clock,
			Base: &http.Transport{
				DisableCompression:  true,
				MaxIdleConnsPerHost: 64,
			},
		},
	}
}

func (c *client) peer(h store.Host) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: c.transport,
		Timeout:   exchangeTimeout,
	})
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

// exchangeLoop exchanges versions with one random host at a time.
func (c *client) exchangeLoop(t *tomb.Tomb) error {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	defer c.transport.CloseIdleConnections()
	ctx := t.Context(context.Background())
	for {
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
		if s := c.others(); len(s) > 0 {
			c.exchange(ctx, s[rand.IntN(len(s))], nil)
		}
	}
}

// push sends v to all other hosts.
func (c *client) push(v *intent.Version) {
	b, err := json.Marshal(v)
	if err != nil {
		level.Error(c.kernel.Log).Log("msg", "peer: cannot encode a version", "err", err)
		return
	}
	for _, h := range c.others() {
		go c.exchange(context.Background(), h, b)
	}
}

func (c *client) exchange(ctx context.Context, h store.Host, pushed []byte) {
	a, err := c.peer(h).Exchange(ctx, &peerpb.ExchangeRequest{
		Host:    c.kernel.Settings.Host,
		Version: number(c.kernel.Snapshot().Version),
		Pushed:  pushed,
	})
	if err != nil {
		level.Debug(c.kernel.Log).Log("msg", "peer: no exchange", "host", h.Name, "err", err)
		return
	}
	if len(a.Newer) == 0 {
		return
	}
	v, err := config.Decode(a.Newer)
	if err != nil {
		level.Error(c.kernel.Log).Log("msg", "peer: cannot decode a version", "host", h.Name, "err", err)
		return
	}
	c.kernel.OfferVersion(v)
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
	a, err := c.transport.RoundTrip(q)
	if err != nil {
		return nil, carryError(r, err)
	}
	if n, _ := strconv.Atoi(a.Header.Get(work.HeaderCode)); code.Code(n) != code.Answered {
		defer a.Body.Close()
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
