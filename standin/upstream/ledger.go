package upstream

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Ledger is an endpoint that remembers every request it has begun to run, by
// the request's body. It is safe for concurrent use.
type Ledger struct {
	// Name tells ledgers apart in answers.
	Name string
	// Slots is the most requests in flight before it sheds.
	Slots int
	// Service is how long one request takes.
	Service time.Duration

	mu       sync.Mutex
	inFlight int
	runs     map[string]int
}

// Runs returns how often the request with the body was run.
func (l *Ledger) Runs(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[body]
}

// ServeHTTP implements http.Handler. A request counts as run once it was read
// whole and has a slot, whether or not its sender waits for the answer.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		// A probe; /health and /load are not offered.
		http.NotFound(w, r)
		return
	}
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if deadline(r).Before(time.Now()) || !l.enter(string(b)) {
		w.Header().Set(headerNotRun, "1")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	defer l.exit()
	select {
	case <-time.After(l.Service):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "ran %s on %s", b, l.Name)
}

func (l *Ledger) enter(body string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.Slots {
		return false
	}
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.inFlight++
	l.runs[body]++
	return true
}

func (l *Ledger) exit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}
