// Package meter makes scopes of metrics that are served in the Prometheus text
// format.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"heatherford/core/code"
)

const (
	prefix = "heatherford"
	// reportInterval is how old served metrics are at most.
	reportInterval = time.Second
)

// LatencyBuckets suit answers within milliseconds to seconds.
var LatencyBuckets = tally.DurationBuckets{
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

// Meter is a scope and the handler that serves it. It is safe for concurrent
// use. Its user closes it once.
type Meter struct {
	io.Closer
	Scope   tally.Scope
	Handler http.Handler
}

// New returns a meter with the metrics of the process itself.
func New() (*Meter, error) {
	r := prometheus.NewRegistry()
	for _, c := range []prometheus.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := r.Register(c); err != nil {
			return nil, code.Wrap(code.SettingsValue, err, "meter: cannot register")
		}
	}
	p := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: r,
		Gatherer:   r,
		OnRegisterError: func(error) {
			// The metric is then not served; its value is still counted.
		},
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  p,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	return &Meter{
		Closer:  c,
		Scope:   s,
		Handler: p.HTTPHandler(),
	}, nil
}
