package main

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

	"heatherford/standin/desk"
)

const (
	// clientDeadline is how long a client waits.
	clientDeadline = 1500 * time.Millisecond
	// clientPause is the mean pause between a client's requests.
	clientPause = 30 * time.Millisecond
)

// ledger is what clients saw. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// unsafe and notRun are the identifiers of requests that may run once, and
	// of those that were said not to have run.
	unsafe []string
	notRun []string
	broken []string
	// asks holds when each request was sent.
	asks   []time.Time
	asked  int
	served int
	// cut counts connections that ended without an answer.
	cut int
	// losses are the requests whose connections ended without an answer, by the address of
	// the host.
	losses map[string][]loss
	// tries are the requests in the order of their ends, each of which counts as a first try.
	tries []try
}

func (l *ledger) note(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// fail records that a check is broken.
func (l *ledger) fail(s string) {
	l.note(func() { l.broken = append(l.broken, s) })
}

func (l *ledger) counts() (asked, served, cut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked, l.served, l.cut
}

// client sends requests over connections that it keeps, to the hosts that look-ups
// name, until ctx ends.
func (w *world) client(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(w.options.Seed, uint64(n)))
	zones := []string{"n1", "n2", "s1", "s2"}
	zone := zones[n%len(zones)]
	h := &http.Client{
		Transport: &http.Transport{},
	}
	defer h.CloseIdleConnections()
	hosts, until := []string{}, time.Time{}
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(until) || len(hosts) == 0 {
			hosts, until = w.lookUp(ctx, r, zone), time.Now().Add(time.Second)
		}
		if len(hosts) > 0 {
			id := fmt.Sprintf("s%d-c%d-%d", w.options.Seed, n, i)
			if !w.ask(ctx, h, hosts[r.IntN(len(hosts))], id, clientDeadline, r) {
				hosts = nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.ExpFloat64() * float64(clientPause))):
		}
	}
}

// lookUp asks any host which hosts to use.
func (w *world) lookUp(ctx context.Context, r *rand.Rand, zone string) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	p := w.processes[r.IntN(len(w.processes))]
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.lookups+"/resolve?name="+desk.Host+"&zone="+zone+"&region="+regions[zone], nil)
	if err != nil {
		return nil
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil
	}
	defer a.Body.Close()
	x := struct {
		Addresses []string `json:"addresses"`
	}{}
	if json.NewDecoder(a.Body).Decode(&x) != nil {
		return nil
	}
	return x.Addresses
}

// ask sends one request, waits for its answer for a time and checks it. It reports false
// if the host could not be used.
func (w *world) ask(ctx context.Context, h *http.Client, host, id string, wait time.Duration, r *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	path, once := desk.PathSafe, r.IntN(2) == 0
	if once {
		path = desk.PathUnsafe
	}
	// A body that cannot be sent again keeps the library from repeating it.
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path+"7", io.NopCloser(strings.NewReader("a body")))
	if err != nil {
		return false
	}
	q.Host = desk.Host
	q.Header.Set(desk.HeaderID, id)
	q.Header.Set(desk.HeaderDeadline, fmt.Sprint(wait.Milliseconds()))
	q.Header.Set(desk.HeaderObject, fmt.Sprint(r.IntN(40)))
	x := try{
		id:   id,
		host: host,
		sent: time.Now(),
	}
	defer func() {
		w.ledger.note(func() { w.ledger.tries = append(w.ledger.tries, x) })
	}()
	w.ledger.note(func() {
		w.ledger.asked++
		w.ledger.asks = append(w.ledger.asks, x.sent)
		if once {
			w.ledger.unsafe = append(w.ledger.unsafe, id)
		}
	})
	q, sent := trace(q)
	a, err := h.Do(q)
	b := []byte{}
	if err == nil {
		defer a.Body.Close()
		b, err = io.ReadAll(a.Body)
	}
	if err != nil {
		w.ledger.note(func() { w.ledger.cut++ })
		w.ledger.noteLoss(host, q, sent, id, err)
		return false
	}
	w.check(id, a, string(b))
	x.ended = time.Now()
	x.endpoint = a.Header.Get(desk.HeaderInstance)
	x.served = a.StatusCode == http.StatusOK
	return a.StatusCode != http.StatusServiceUnavailable
}

// check compares an answer with what an endpoint gives to the request.
func (w *world) check(id string, a *http.Response, body string) {
	l := &w.ledger
	switch a.StatusCode {
	case http.StatusOK:
		good := a.Header.Get(desk.HeaderSeal) == "seal-of-"+id && a.Header.Get(desk.HeaderID) == id &&
			(body == desk.Body("one", id) || body == desk.Body("two", id))
		l.note(func() {
			l.served++
			if !good {
				l.broken = append(l.broken, fmt.Sprintf("%s got the answer %q", id, body))
			}
		})
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		l.note(func() { l.notRun = append(l.notRun, id) })
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		l.note(func() { l.broken = append(l.broken, fmt.Sprintf("%s got the status %d: %s", id, a.StatusCode, body)) })
	}
}
