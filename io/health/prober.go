package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/intent"
)

const (
	// probeInterval is the time between the probes of an endpoint.
	probeInterval = time.Second
	// probeTimeout bounds a probe.
	probeTimeout = 800 * time.Millisecond
	// probers is the number of probes side by side.
	probers = 32
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 64 << 10
	// leavingAnswers is how many answers of /health in a row say that an
	// endpoint is leaving: one alone may be a shed probe.
	leavingAnswers = 2
)

// Sources of signs.
const (
	sourceLoad   = "load answer"
	sourceHealth = "health answer"
)

// load is what /load answers, as far as it is used here.
type load struct {
	Leaving bool `json:"leaving"`
}

// prober probes the endpoints that this host owns. One goroutine uses it.
type prober struct {
	kernel *core.Kernel
	client *http.Client
	// unwell counts the answers in a row by which endpoints are leaving.
	unwell map[string]int
}

func newProber(k *core.Kernel) *prober {
	return &prober{
		kernel: k,
		client: &http.Client{
			Timeout: probeTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     2 * probeInterval,
				DisableCompression:  true,
			},
		},
		unwell: map[string]int{},
	}
}

// run probes until t dies.
func (p *prober) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-tick.C:
			p.probeOwned(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// result is what one endpoint answered. Known is false if it did not answer.
type result struct {
	endpoint string
	known    bool
	leaving  bool
	unwell   bool
}

func (p *prober) probeOwned(ctx context.Context) {
	s := []intent.Endpoint{}
	for _, owned := range p.kernel.Snapshot().Owned {
		for _, o := range owned {
			s = append(s, o.Endpoint)
		}
	}
	results := make([]result, len(s))
	g := errgroup.Group{}
	g.SetLimit(probers)
	for i, e := range s {
		g.Go(func() error {
			results[i] = p.probe(ctx, e)
			return nil
		})
	}
	// No probe returns an error.
	_ = g.Wait()
	p.take(results)
}

// take tells the kernel what the endpoints answered. One that does not answer
// may be leaving or not.
func (p *prober) take(results []result) {
	unwell := map[string]int{}
	for _, r := range results {
		if !r.known {
			continue
		}
		if r.unwell {
			unwell[r.endpoint] = p.unwell[r.endpoint] + 1
		}
		switch {
		case r.leaving:
			p.kernel.OfferNotice(r.endpoint, true, sourceLoad)
		case unwell[r.endpoint] >= leavingAnswers:
			p.kernel.OfferNotice(r.endpoint, true, sourceHealth)
		case !r.unwell:
			p.kernel.OfferNotice(r.endpoint, false, sourceLoad)
		}
	}
	p.unwell = unwell
}

func (p *prober) probe(ctx context.Context, e intent.Endpoint) result {
	r := result{
		endpoint: e.Name,
	}
	if b, status, err := p.get(ctx, e, "/load"); err == nil && status == http.StatusOK {
		l := load{}
		r.known = json.Unmarshal(b, &l) == nil
		r.leaving = l.Leaving
	}
	if _, status, err := p.get(ctx, e, "/health"); err == nil {
		r.known = true
		r.unwell = status == http.StatusServiceUnavailable
	}
	return r
}

func (p *prober) get(ctx context.Context, e intent.Endpoint, path string) ([]byte, int, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+path, http.NoBody)
	if err != nil {
		return nil, 0, code.Wrap(code.UpstreamRefused, err, "health: cannot build the probe")
	}
	q.Header.Set("Via", "1.1 "+p.kernel.Settings.Host)
	a, err := p.client.Do(q)
	if err != nil {
		return nil, 0, code.Wrap(code.UpstreamSilent, err, "health: no answer")
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	return b, a.StatusCode, err
}
