package collector

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"heatherford/core/code"
	"heatherford/core/outcome"
)

const (
	metricsPrefix = "heatherford"
	// reportInterval is how old served metrics are at most.
	reportInterval = time.Second
)

// latencyBuckets suit answers within milliseconds to seconds.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
}

// sanitizeOptions are tally's for Prometheus, but that values of tags keep the
// characters that names in declarations have.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: tallyprometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

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
	r := prometheus.NewRegistry()
	for _, c := range []prometheus.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := r.Register(c); err != nil {
			return nil, code.Wrap(code.SettingsValue, err, "collector: cannot register")
		}
	}
	p := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: r,
		Gatherer:   r,
		OnRegisterError: func(error) {
			// The metric is then not served; its value is still in the roll-up.
		},
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricsPrefix,
		CachedReporter:  p,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	return &metrics{
		Closer:  c,
		scope:   s,
		handler: p.HTTPHandler(),
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
		latency: s.Histogram("answer_seconds", latencyBuckets),
	}
	m.kinds[c] = k
	return k
}
