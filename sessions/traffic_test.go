package sessions

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"heatherford/core/code"
	"heatherford/core/work"
	"heatherford/io/caller"
)

const (
	// trafficCallers is the number of callers side by side.
	trafficCallers = 8
	// trafficPause is what a caller waits between requests.
	trafficPause = 10 * time.Millisecond
	// shownFailures bounds the failures that are kept.
	shownFailures = 20
)

// traffic is callers that keep to the callers' interface: they look up, use the
// answer until it expires, and keep their connections open.
type traffic struct {
	// hosts are the URLs that look-ups are sent to.
	hosts   []string
	callers int
	end     chan struct{}
	wait    sync.WaitGroup

	mu     sync.Mutex
	result trafficResult
}

// trafficResult is what became of the requests.
type trafficResult struct {
	answered int
	// refused requests were not run, as the host said, and may be sent again.
	refused int
	// failures are the requests that were cut off, or whose outcome is not
	// known.
	failures []string
	failed   int
}

type trafficsKey struct{}

func trafficsOf(ts *testscript.TestScript) map[string]*traffic {
	return ts.Value(trafficsKey{}).(map[string]*traffic)
}

func newTraffic(hosts []string, callers int) *traffic {
	return &traffic{
		hosts:   hosts,
		callers: callers,
		end:     make(chan struct{}),
	}
}

func (t *traffic) start() {
	for i := range t.callers {
		t.wait.Go(func() {
			c := &trafficCaller{
				traffic: t,
				client:  &http.Client{},
				random:  rand.New(rand.NewPCG(1, uint64(i))),
			}
			c.client.Transport = &http.Transport{
				MaxIdleConnsPerHost: 1,
			}
			defer c.client.CloseIdleConnections()
			c.run()
		})
	}
}

func (t *traffic) stop() trafficResult {
	close(t.end)
	t.wait.Wait()
	return t.result
}

func (t *traffic) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.failed++
	if len(t.result.failures) < shownFailures {
		t.result.failures = append(t.result.failures, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...)+"\n")
	}
}

func (t *traffic) count(f func(r *trafficResult)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

// trafficCaller is one caller.
type trafficCaller struct {
	traffic *traffic
	client  *http.Client
	random  *rand.Rand
	lookup  caller.Lookup
	sent    int
}

func (c *trafficCaller) run() {
	for {
		select {
		case <-c.traffic.end:
			return
		case <-time.After(trafficPause):
		}
		if !time.Now().Before(c.lookup.ExpiresAt) && !c.lookUp() {
			continue
		}
		c.send()
	}
}

// lookUp asks one host after the other.
func (c *trafficCaller) lookUp() bool {
	first := c.random.IntN(len(c.traffic.hosts))
	for i := range c.traffic.hosts {
		u := c.traffic.hosts[(first+i)%len(c.traffic.hosts)]
		a, err := c.client.Get(u + "/v1/lookup?kind=" + fleetKind)
		if err != nil {
			continue
		}
		l := caller.Lookup{}
		err = json.NewDecoder(a.Body).Decode(&l)
		a.Body.Close()
		if err == nil && a.StatusCode == http.StatusOK {
			c.lookup = l
			return true
		}
	}
	return false
}

// send sends one request to the host of the look-up. The expiry is looked at
// right before.
func (c *trafficCaller) send() {
	h := c.lookup.Hosts[0]
	c.sent++
	body := fmt.Sprintf("request %d of a caller", c.sent)
	ctx, cancel := context.WithTimeout(context.Background(), untilDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Address.String()+"/v1/work/"+fleetKind+"/x", strings.NewReader(body))
	if err != nil {
		c.traffic.fail("%v", err)
		return
	}
	// Without GetBody the client does not send a request again by itself.
	r.GetBody = nil
	a, err := c.client.Do(r)
	if err != nil {
		c.traffic.fail("host %s: %v", h.Host, err)
		c.lookup = caller.Lookup{}
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	switch {
	case err != nil:
		c.traffic.fail("host %s: the answer broke off: %v", h.Host, err)
	case a.Header.Get(work.HeaderOutcome) == string(code.Executed) && strings.Contains(string(b), body):
		c.traffic.count(func(r *trafficResult) { r.answered++ })
	case a.Header.Get(work.HeaderOutcome) == string(code.NotRun):
		c.traffic.count(func(r *trafficResult) { r.refused++ })
		c.lookup = caller.Lookup{}
	default:
		c.traffic.fail("host %s: %s %s", h.Host, a.Status, b)
	}
}
