package main

import (
	"errors"
	"net"
	"sync"
	"time"
)

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

// isTimeout reports whether a client gave up.
func isTimeout(err error) bool {
	n := net.Error(nil)
	return errors.As(err, &n) && n.Timeout()
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

// lost returns the requests that break the rule LOST: a host read them from a kept connection and
// passed them on to a server, which was sound, and closed the connection without an answer. The
// host was in touch: the case did nothing to it, and it had run for the stable window.
func (w *world) lost(l *ledger, started time.Time) []outcome {
	ran := w.ran()
	s := []outcome{}
	for _, o := range l.all() {
		if o.status == 0 && o.used && !o.written.IsZero() && !isTimeout(o.err) && ran[o.id] != "" && o.sent.After(started.Add(stableWindow)) {
			s = append(s, o)
		}
	}
	return s
}
