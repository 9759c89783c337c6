package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/io/internal/wire"
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 64 << 20

// readPath is the path of reads, which are posted for the length of queries.
const readPath = "/v1/read"

// callTimeout bounds one call whose context has no earlier deadline.
const callTimeout = 5 * time.Second

// commitPath is the path of commits, which are never sent again by themselves.
const commitPath = "/v1/commit"

// New returns a store that speaks to the platform at the URL.
func New(base string) store.Store {
	u, err := url.Parse(base)
	if err != nil {
		u = &url.URL{}
	}
	c := &client{
		prefix: u.Path,
		pool:   newPool(u),
	}
	return store.Store{
		Commit:      c.commit,
		Read:        c.read,
		PutObject:   c.putObject,
		GetObject:   c.getObject,
		ListObjects: c.listObjects,
		Hosts:       c.hosts,
	}
}

type client struct {
	// prefix starts the paths of all calls.
	prefix string
	pool   *wire.Pool
}

func (c *client) commit(ctx context.Context, t store.Transaction) (store.Committed, error) {
	a := store.Committed{}
	err := c.call(ctx, http.MethodPost, commitPath, t, &a)
	return a, err
}

func (c *client) read(ctx context.Context, q store.Query) ([]store.Row, error) {
	a := struct {
		Rows []store.Row `json:"rows"`
	}{}
	err := c.call(ctx, http.MethodPost, readPath, q, &a)
	return a.Rows, err
}

func (c *client) hosts(ctx context.Context) ([]store.Host, error) {
	a := struct {
		Hosts []store.Host `json:"hosts"`
	}{}
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, &a)
	return a.Hosts, err
}

func (c *client) listObjects(ctx context.Context, prefix string) ([]string, error) {
	a := struct {
		Names []string `json:"names"`
	}{}
	err := c.call(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, &a)
	return a.Names, err
}

func (c *client) putObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/objects/"+name, data)
	return err
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/objects/"+name, nil)
}

func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	body := []byte(nil)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return code.Wrap(code.PlatformDown, err, "platform: cannot encode the call")
		}
		body = b
	}
	b, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return code.Wrap(code.PlatformUnknown, err, "platform: cannot decode the platform's answer")
	}
	return nil
}

func (c *client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n, b, err := c.exchange(ctx, method, path, body)
	if err != nil {
		return nil, callError(changes(method, path), err)
	}
	return b, statusError(changes(method, path), n, b)
}

// changes reports whether a call may change what the platform holds.
func changes(method, path string) bool {
	return method != http.MethodGet && path != readPath
}

func callError(changes bool, err error) error {
	if !changes || !arrived(err) {
		return code.Wrap(code.PlatformDown, err, "platform: the platform does not answer")
	}
	return code.Wrap(code.PlatformUnknown, err, "platform: the platform's answer was lost")
}

func statusError(changes bool, status int, body []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return code.New(code.PlatformConflict, "platform: a condition does not hold")
	case status == http.StatusNotFound:
		return code.New(code.ObjectMissing, "platform: no such object")
	case status == http.StatusServiceUnavailable || !changes:
		return code.New(code.PlatformDown, "platform: the platform answers %d: %s", status, bytes.TrimSpace(body))
	default:
		return code.New(code.PlatformUnknown, "platform: the platform answers %d: %s", status, bytes.TrimSpace(body))
	}
}
