package carry

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/work"
)

func TestReadRank(t *testing.T) {
	c := qt.New(t)
	d := &intent.Declaration{
		Ranks: []intent.Rank{
			{
				Name: "urgent",
			},
			{
				Name: "standard",
			},
			{
				Name: "batch",
			},
		},
	}
	for _, x := range []struct {
		stated string
		rank   string
		code   code.Code
	}{
		{"", "standard", 0},
		{"standard", "standard", 0},
		{"batch", "batch", 0},
		{"urgent", "", code.RequestInvalid},
		{"none", "", code.RequestInvalid},
	} {
		q := &work.Request{
			Kind: intent.Kind{
				Rank: "standard",
			},
		}
		err := readRank(d, q, x.stated)
		c.Check(code.Of(err), qt.Equals, x.code, qt.Commentf("%q", x.stated))
		c.Check(q.RankName, qt.Equals, x.rank, qt.Commentf("%q", x.stated))
	}
}

func TestRequestIDIsFitForLogs(t *testing.T) {
	c := qt.New(t)
	for _, s := range []string{"", "a b", "a\tb", "é", strings.Repeat("a", maxIDBytes+1)} {
		r := &http.Request{
			Header: http.Header{
				work.HeaderRequestID: []string{s},
			},
		}
		c.Check(requestID(r), qt.Not(qt.Equals), s)
	}
	r := &http.Request{
		Header: http.Header{
			work.HeaderRequestID: []string{"kiosk-7/12"},
		},
	}
	c.Check(requestID(r), qt.Equals, "kiosk-7/12")
}
