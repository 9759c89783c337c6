package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/intent"
)

const (
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
)

// poller reads the load that endpoints report. Only the independent policy uses
// it. It is safe for concurrent use.
type poller struct {
	kernel *core.Kernel
	http   *http.Client

	mu sync.Mutex
	// use holds the last reported share of slots in use by endpoint.
	use map[string]float64
}

func newPoller(k *core.Kernel) *poller {
	return &poller{
		kernel: k,
		http: &http.Client{
			Timeout: pollTimeout,
		},
		use: map[string]float64{},
	}
}

// reported returns the last reported use of an endpoint, 0 if there is none.
func (p *poller) reported(endpoint string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.use[endpoint]
}

func (p *poller) run(t *tomb.Tomb) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	defer p.http.CloseIdleConnections()
	ctx := t.Context(context.Background())
	for {
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
		p.pollAll(ctx)
	}
}

func (p *poller) pollAll(ctx context.Context) {
	v := p.kernel.Snapshot().Version
	if v == nil {
		return
	}
	all := sync.WaitGroup{}
	defer all.Wait()
	for _, u := range v.Declaration.Upstreams {
		for _, e := range u.Endpoints {
			all.Go(func() {
				p.poll(ctx, e)
			})
		}
	}
}

// poll reads one endpoint's load. An endpoint that does not answer counts as
// full.
func (p *poller) poll(ctx context.Context, e intent.Endpoint) {
	use := 1.0
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+"/load", nil)
	if err != nil {
		return
	}
	r.Header.Set("Via", "1.1 "+p.kernel.Settings.Host)
	a, err := p.http.Do(r)
	if err == nil {
		defer a.Body.Close()
		l := struct {
			InFlight int `json:"in_flight"`
			Slots    int `json:"slots"`
		}{}
		if json.NewDecoder(a.Body).Decode(&l) == nil && l.Slots > 0 {
			use = float64(l.InFlight) / float64(l.Slots)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.use[e.Name] = use
}
