package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"heatherford/core/work"
	"heatherford/io/caller"
)

// regionPrefix returns the block of the callers of the i-th region.
func regionPrefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 0}), 16)
}

// route is the way of a request from a caller's region to an endpoint's.
type route struct {
	from string
	to   string
}

// tallied sums the answers of a while.
type tallied struct {
	asked   int
	correct int
	// routes counts correct answers.
	routes map[route]int
	// lastError is the newest refusal, or nil.
	lastError error
}

// callers sends requests from every region at a fixed rate until ctx ends.
func (w *world) callers(ctx context.Context) *tallied {
	t := &tallied{
		routes: map[route]int{},
	}
	mu := sync.Mutex{}
	g := sync.WaitGroup{}
	const interval = 5 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			g.Wait()
			return t
		}
		g.Go(func() {
			r, err := w.request(n)
			mu.Lock()
			defer mu.Unlock()
			t.add(r, err)
		})
	}
}

func (t *tallied) add(r route, err error) {
	t.asked++
	if err != nil {
		t.lastError = err
		return
	}
	t.correct++
	t.routes[r]++
}

// request looks up a host as the n-th caller, sends a request there and checks
// the answer. It returns the way that the request took.
func (w *world) request(n int) (route, error) {
	i := n % len(regionNames)
	address := regionPrefix(i).Addr().Next()
	first := w.asked(i).settings.CallerAddress
	l := caller.Lookup{}
	b, _, err := w.get(fmt.Sprintf("http://%s/v1/lookup?kind=%s&caller=%s", first, kindName, address), "")
	if err != nil {
		return route{}, err
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return route{}, err
	}
	path := fmt.Sprintf("/waivers/%d", n)
	w.sent.Add(1)
	b, endpoint, err := w.get(fmt.Sprintf("http://%s/v1/work/%s%s", l.Hosts[0].Address, kindName, path), address.String())
	if err != nil {
		return route{}, err
	}
	if !strings.HasPrefix(string(b), "GET "+path+" ran on "+endpoint) {
		return route{}, fmt.Errorf("a foreign answer to %s: %s", path, b)
	}
	region, _, _ := strings.Cut(endpoint, "-desk")
	return route{
		from: regionNames[i],
		to:   region,
	}, nil
}

// get returns the body of an answer and the endpoint that gave it.
func (w *world) get(url, address string) ([]byte, string, error) {
	r, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	if address != "" {
		r.Header.Set(work.HeaderCaller, address)
	}
	a, err := w.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, "", err
	}
	if a.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("status %d: %s", a.StatusCode, b)
	}
	return b, a.Header.Get(work.HeaderEndpoint), nil
}
