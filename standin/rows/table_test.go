package rows_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/standin/rows"
)

// TestSilentCallEnds has a caller give up a call with a body that is not answered: the
// server can be closed at once. It hung, and with it the soak of seed 201.
func TestSilentCallEnds(t *testing.T) {
	c := qt.New(t)
	x := rows.New()
	x.Set(rows.Faults{
		Silent: true,
	})
	s := httptest.NewServer(x)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/rows-tx", strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	_, err = http.DefaultClient.Do(r)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	closed := make(chan struct{})
	go func() {
		s.CloseClientConnections()
		s.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		c.Fatal("the server does not end")
	}
}
