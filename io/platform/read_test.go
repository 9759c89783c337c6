package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/io/platform"
)

// A read whose answer is lost had no effect; a commit may have had one.
func TestConfigLostAnswersOfReadsAndCommits(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	p := platform.New(s.URL)
	_, err := p.Read(context.Background(), store.Query{})
	c.Assert(code.Of(err), qt.Equals, code.PlatformDown)
	_, err = p.Commit(context.Background(), store.Transaction{})
	c.Assert(code.Of(err), qt.Equals, code.PlatformUnknown)
}
