package wire

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"heatherford/core/code"
)

// Call is one request. Do does not change it.
type Call struct {
	// ID is distinct among all exchanges with the peer. A call without one, or with
	// that of a recent call, is not sent on the same connection, where an answer
	// could not be told from a second copy of an earlier one.
	ID     string
	Method string
	// Path starts with a slash and holds the query, if any.
	Path   string
	Header http.Header
	Body   []byte
	// Fresh demands a new connection.
	Fresh bool
	// Once is true of a request that must not be sent again after its first
	// byte. On a connection that was idle its body is held back until the
	// peer has proved the connection alive, and its answer may take until the
	// deadline.
	Once bool
	// Host is the name that the request addresses; empty stands for the pool's.
	Host string
}

// message is a request as it is written.
type message struct {
	request *http.Request
	head    []byte
	body    []byte
}

// headEnd separates a message's head from its body.
const headEnd = "\r\n\r\n"

func (p *Pool) hostOf(c *Call) string {
	if c.Host != "" {
		return c.Host
	}
	return p.options.Host
}

// encode returns c as net/http writes it. With proof, the head asks for a 100
// Continue.
func (p *Pool) encode(c *Call, proof bool) (*message, error) {
	u, err := url.Parse("http://" + p.options.Host + c.Path)
	if err != nil {
		return nil, code.Wrap(code.RequestInvalid, err, "wire: the path")
	}
	q := &http.Request{
		Method:        c.Method,
		URL:           u,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.Header.Clone(),
		Host:          p.hostOf(c),
		ContentLength: int64(len(c.Body)),
		Body:          io.NopCloser(bytes.NewReader(c.Body)),
	}
	if len(c.Body) == 0 {
		q.Body = nil
	}
	if q.Header == nil {
		q.Header = http.Header{}
	}
	if _, ok := q.Header["User-Agent"]; !ok {
		// Without a value of its own, net/http would add one.
		q.Header.Set("User-Agent", "")
	}
	if p.options.IDHeader != "" {
		q.Header.Set(p.options.IDHeader, c.ID)
	}
	q.Header.Del("Expect")
	if proof {
		q.Header.Set("Expect", "100-continue")
	}
	b := &bytes.Buffer{}
	if err := q.Write(b); err != nil {
		return nil, code.Wrap(code.RequestInvalid, err, "wire: cannot encode the request")
	}
	n := strings.Index(b.String(), headEnd)
	if n < 0 {
		return nil, code.New(code.RequestInvalid, "wire: the request has no head")
	}
	n += len(headEnd)
	return &message{
		request: q,
		head:    b.Bytes()[:n],
		body:    b.Bytes()[n:],
	}, nil
}
