package relay_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/standin/relay"
)

// TestSilentRelay loses track of a connection: it stays open, and a new one
// works.
func TestSilentRelay(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("here"))
	}))
	defer s.Close()
	r, err := relay.New("127.0.0.1:0", s.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer r.Close()
	x := &http.Client{
		Transport: &http.Transport{},
		Timeout:   100 * time.Millisecond,
	}
	defer x.CloseIdleConnections()
	get := func() error {
		a, err := x.Get("http://" + r.Addr().String())
		if err != nil {
			return err
		}
		defer a.Body.Close()
		_, err = io.ReadAll(a.Body)
		return err
	}
	c.Assert(get(), qt.IsNil)
	c.Assert(r.Silence(), qt.Equals, 1)
	e := net.Error(nil)
	c.Assert(errors.As(get(), &e) && e.Timeout(), qt.IsTrue)
	c.Assert(get(), qt.IsNil)
	r.Cut()
	c.Assert(get(), qt.IsNil)
	r.Refuse(true)
	r.Cut()
	c.Assert(get(), qt.IsNotNil)
}
