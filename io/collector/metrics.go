package collector

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/io/internal/meter"
)

// metrics is the daemon's scope and its HTTP handler. It is safe for concurrent
// use.
type metrics struct {
	io.Closer
	scope   tally.Scope
	handler http.Handler

	mu sync.Mutex
	// kinds holds the metrics of each kind and code, since looking them up in
	// the scope allocates.
	kinds map[kindCode]kindMetrics
}

type kindCode struct {
	kind string
	code code.Code
	late bool
}

type kindMetrics struct {
	requests tally.Counter
	latency  tally.Histogram
}

func newMetrics() (*metrics, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	return &metrics{
		Closer:  m,
		scope:   m.Scope,
		handler: m.Handler,
		kinds:   map[kindCode]kindMetrics{},
	}, nil
}

// result counts one request.
func (m *metrics) result(x outcome.Result) {
	k := m.kind(kindCode{
		kind: x.Kind,
		code: x.Code,
		late: x.Code == code.Answered && !x.Correct,
	}, x.Rank)
	k.requests.Inc(1)
	if x.Code == code.Answered {
		k.latency.RecordDuration(x.Elapsed)
	}
}

func (m *metrics) kind(c kindCode, rank string) kindMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.kinds[c]
	if ok {
		return k
	}
	s := m.scope.Tagged(map[string]string{
		"kind": c.kind,
		"rank": rank,
	})
	k = kindMetrics{
		requests: s.Tagged(map[string]string{
			"code":    strconv.Itoa(int(c.code)),
			"outcome": string(c.code.Outcome()),
			"late":    strconv.FormatBool(c.late),
		}).Counter("requests"),
		latency: s.Histogram("answer_seconds", meter.LatencyBuckets),
	}
	m.kinds[c] = k
	return k
}
