// Package listen serves HTTP in the goroutines of a tomb.
package listen

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core/code"
	"heatherford/core/safely"
)

// maxMessageBytes is the most bytes of a server's message in a log line.
const maxMessageBytes = 2 << 10

// Options describe a server. All are required.
type Options struct {
	// Name names the server in log lines.
	Name   string
	Server *http.Server
	// Log writes a log line of a kind with pairs of keys and values. It must not block.
	Log func(kind string, pairs ...any)
}

// Bind listens on the address.
func Bind(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, code.Wrap(code.SettingsValue, err, "listen: cannot listen on %s", a)
	}
	return l, nil
}

// Until listens on the address and serves as Serve does. It returns after the address is
// bound.
func Until(t *tomb.Tomb, a netip.AddrPort, o Options) error {
	l, err := Bind(a)
	if err != nil {
		return err
	}
	Serve(t, l, o)
	return nil
}

// Serve serves on l in goroutines of t. If t is killed without an error, all connections
// are closed. If t dies of an error, another part of the program has failed: the server
// goes on until its owner stops it. What the server and panics of its handler have to say
// goes to the log.
func Serve(t *tomb.Tomb, l net.Listener, o Options) {
	s := o.Server
	s.ErrorLog = log.New(messages(o), "", 0)
	s.Handler = logPanics(o, s.Handler)
	t.Go(func() error {
		if err := s.Serve(Retrying(l, notAccepted(o))); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("listen: server %s: %w", o.Name, err)
		}
		return nil
	})
	t.Go(func() error {
		<-t.Dying()
		if t.Err() != nil {
			return nil
		}
		return s.Close()
	})
}

// notAccepted returns a function that logs a connection that could not be accepted.
func notAccepted(o Options) func(error, time.Duration) {
	return func(err error, delay time.Duration) {
		o.Log("server", "server", o.Name, "message", "cannot accept", "err", err, "delay", delay)
	}
}

// writerFunc is a function as an io.Writer.
type writerFunc func(b []byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// messages returns a writer that logs each message of the server.
func messages(o Options) writerFunc {
	return func(b []byte) {
		o.Log("server", "server", o.Name, "message", strings.TrimSpace(string(b[:min(len(b), maxMessageBytes)])))
	}
}

// logPanics returns a handler that logs panics of h with their stack. Their connection is
// then closed without an answer, as net/http does.
func logPanics(o Options, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := safely.Run(func() error {
			h.ServeHTTP(w, r)
			return nil
		})
		p := (*safely.PanicError)(nil)
		if !errors.As(err, &p) {
			return
		}
		if !errors.Is(p, http.ErrAbortHandler) {
			o.Log("panic", "in", "server "+o.Name, "err", p, "stack", p.Stack)
		}
		panic(http.ErrAbortHandler)
	})
}
