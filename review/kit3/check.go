package main

import "sync"

// ledger holds the outcomes of all requests of clients. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (l *ledger) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *ledger) all() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]outcome{}, l.outcomes...)
}

// ran returns the identifiers of the requests that servers began to work on, with the services
// that did.
func (w *world) ran() map[string]string {
	m := map[string]string{}
	for _, s := range w.servers {
		for _, x := range s.came() {
			if x.ran {
				m[x.id] = s.options.service
			}
		}
	}
	return m
}
