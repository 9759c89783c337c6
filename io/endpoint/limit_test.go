package endpoint_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/balance"
)

// TestLimitOfAnAnswer guards against a limit that is not decoded, or that is taken from
// an answer that does not tell: a limit ends only by a whole answer of the endpoint's
// own that states none.
func TestLimitOfAnAnswer(t *testing.T) {
	const (
		own  = "HTTP/1.1 200 OK\nId: ID\nMark: m\nContent-Length: 0\n"
		full = "HTTP/1.1 503 Service Unavailable\nId: ID\nNot-Run: 1\nContent-Length: 0\n"
	)
	stated := func(rate float64) *balance.StatedLimit {
		return &balance.StatedLimit{
			Stated: true,
			Rate:   rate,
		}
	}
	for _, k := range []struct {
		name, head string
		want       *balance.StatedLimit
	}{
		{"one spelling", own + "Own-Limit: 4.5\n", stated(4.5)},
		{"the other", own + "Limit: 4.5\n", stated(4.5)},
		{"both", own + "Limit: 7\nOwn-Limit: 4.5\n", stated(4.5)},
		{"whole number", own + "Limit: 12\n", stated(12)},
		{"nothing taken", own + "Limit: 0\n", stated(0)},
		{"none", own, &balance.StatedLimit{}},
		{"failed", "HTTP/1.1 500 Internal Server Error\nId: ID\nMark: m\nContent-Length: 0\nLimit: 2\n", stated(2)},
		{"rejected", full + "Limit: 3\n", stated(3)},
		{"rejected without", full, nil},
		{"by another endpoint", "HTTP/1.1 421 Misdirected Request\nId: ID\nContent-Length: 0\nLimit: 3\n", nil},
		{"without a mark", "HTTP/1.1 200 OK\nId: ID\nContent-Length: 0\nLimit: 3\n", nil},
		{"no number", own + "Limit: a few\n", nil},
		{"not a number", own + "Limit: NaN\n", nil},
		{"no end", own + "Limit: Inf\n", nil},
		{"negative", own + "Limit: -1\n", nil},
	} {
		t.Run(k.name, func(t *testing.T) {
			b := newBench(t, script{say(k.head + "\n")})
			a, err := b.send(false)
			b.c.Assert(err, qt.IsNil)
			b.c.Check(a.Limit, qt.DeepEquals, k.want)
		})
	}
}
