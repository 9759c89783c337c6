package stamp_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/timeline"
	"heatherford/io/internal/stamp"
)

// TestTimelineStampOnCalls calls a daemon whose clock is a minute behind: what
// it records, and what the caller records afterwards, comes later.
func TestTimelineStampOnCalls(t *testing.T) {
	c := qt.New(t)
	ahead := timeline.NewClock(time.Now().Add(time.Minute).UTC)
	behind := timeline.NewClock(time.Now().UTC)
	inside := timeline.Stamp{}
	s := httptest.NewServer(stamp.Handler(behind, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		inside = behind.Now()
		w.Write([]byte("done"))
	})))
	defer s.Close()
	b := &http.Transport{}
	defer b.CloseIdleConnections()
	x := &http.Client{
		Transport: &stamp.Transport{
			Clock: ahead,
			Base:  b,
		},
	}
	before := ahead.Now()
	a, err := x.Get(s.URL)
	c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	c.Assert(a.Header.Get(stamp.Header), qt.Equals, "")
	c.Assert(before.Before(inside), qt.IsTrue)
	c.Assert(inside.Before(ahead.Now()), qt.IsTrue)
}
