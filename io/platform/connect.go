package platform

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"heatherford/core/code"
	"heatherford/core/work"
	"heatherford/io/internal/wire"
)

const (
	// connections is the most open connections to the platform.
	connections    = 16
	dialsPerSecond = 50
	// minSilence is the shortest wait for an answer before the connection
	// counts as silent. The platform may be slow: each silence doubles the wait
	// until an answer comes.
	minSilence = 300 * time.Millisecond
)

// checkURL returns an error unless the platform can be called at the URL.
func checkURL(base string) error {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return code.New(code.SettingsValue, "platform: expected a URL such as http://10.0.0.1:80, found %q", base)
	}
	return nil
}

// newPool returns the connections to the platform at u.
func newPool(u *url.URL) *wire.Pool {
	host := u.Host
	dial := (&net.Dialer{}).DialContext
	if u.Scheme == "https" {
		dial = (&tls.Dialer{}).DialContext
	}
	if u.Port() == "" {
		host = net.JoinHostPort(u.Hostname(), u.Scheme)
	}
	return wire.New(wire.Options{
		Host: u.Host,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dial(ctx, network, host)
		},
		Connections:    connections,
		DialsPerSecond: dialsPerSecond,
		DialBurst:      connections,
		Whole:          maxAnswerBytes,
		MaxAnswer:      maxAnswerBytes,
		MinSilence:     minSilence,
	})
}

// exchange makes one call and returns the answer's status and body. A call that
// may be repeated is made again on a new connection if a used one gave no
// answer.
func (c *client) exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	q := &wire.Call{
		ID:     work.NewID(),
		Method: method,
		Path:   c.prefix + path,
		Header: http.Header{},
		Body:   body,
	}
	a, err := c.pool.Do(ctx, q)
	if (path != commitPath || !arrived(err)) && wire.WorthRetry(ctx, err, nil) {
		q.Fresh = true
		a, err = c.pool.Do(ctx, q)
	}
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.Status, b, err
}

// arrived reports whether the platform may have got the call.
func arrived(err error) bool {
	f := (*wire.Failure)(nil)
	return !errors.As(err, &f) || f.Sent
}
