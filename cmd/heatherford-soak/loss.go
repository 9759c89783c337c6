package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lossLimit is the most requests that a host in touch may lose in a run.
	lossLimit = 3
	// lossSlack is how long after its last byte was sent a request counts as read.
	lossSlack = 200 * time.Millisecond
	// stableTime is how long a host has to be without disruption until it is in touch.
	stableTime = 3 * time.Second
	// holders is the number of clients that hold on to a host that stops.
	holders = 6
)

// loss is a request whose connection ended without a whole answer while its client waited.
type loss struct {
	id string
	// sent is when the last byte was sent, and ended when the connection ended.
	sent, ended time.Time
	err         error
	// arrived is true if the request came to an endpoint.
	arrived bool
}

// String implements fmt.Stringer.
func (l loss) String() string {
	return fmt.Sprintf("%s (sent at %s, ended %s later, at an endpoint: %t, %v)", l.id, l.sent.UTC().Format("15:04:05.000"),
		l.ended.Sub(l.sent).Round(time.Millisecond), l.arrived, l.err)
}

// disruption is a time in which a signal of the soak disrupts a process.
type disruption struct {
	// planned is true for a stop by SIGTERM, which ends with the process.
	planned bool
	begin   time.Time
	// end is zero while the disruption lasts.
	end time.Time
}

// isNear reports whether the disruption began before a time, and lasted or had not been over
// for long after another.
func (d disruption) isNear(from, until time.Time, slack time.Duration) bool {
	return !d.begin.After(until) && (d.end.IsZero() || d.end.Add(slack).After(from))
}

// disrupt notes what a signal does to the process. Process.mu is held.
func (p *process) disrupt(s syscall.Signal, now time.Time) {
	if s == syscall.SIGCONT {
		p.recover(now)
		return
	}
	p.disruptions = append(p.disruptions, disruption{
		planned: s == syscall.SIGTERM,
		begin:   now,
	})
}

// recover ends the disruptions of the process. Process.mu is held.
func (p *process) recover(now time.Time) {
	for i := range p.disruptions {
		if d := &p.disruptions[i]; d.end.IsZero() {
			d.end = now
		}
	}
}

// trace returns the request with a trace that notes when its last byte was sent.
func trace(q *http.Request) (*http.Request, *atomic.Pointer[time.Time]) {
	sent := &atomic.Pointer[time.Time]{}
	return q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				now := time.Now()
				sent.Store(&now)
			}
		},
	})), sent
}

// noteLoss notes that a request to a host's address failed. A client that gave up has lost
// nothing.
func (l *ledger) noteLoss(address string, q *http.Request, sent *atomic.Pointer[time.Time], id string, err error) {
	t := sent.Load()
	timeout := net.Error(nil)
	if t == nil || q.Context().Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return
	}
	l.note(func() {
		l.losses[address] = append(l.losses[address], loss{
			id:    id,
			sent:  *t,
			ended: time.Now(),
			err:   err,
		})
	})
}

// settleLosses checks that hosts in touch, and hosts in planned stops, answer what they read.
func (w *world) settleLosses() {
	for _, p := range w.processes {
		s := w.ledger.losses[p.callers]
		for i := range s {
			s[i].arrived = w.runs.Arrived(s[i].id)
		}
		if b := lossBreach(s, p.disruptions); b != "" {
			w.ledger.fail(p.name + " " + b)
		}
	}
}

// lossBreach returns what is wrong with the losses of a host with such disruptions, or an
// empty string: in touch it may lose lossLimit requests that came to endpoints, and in a
// planned stop without another disruption none that it has read.
func lossBreach(losses []loss, disruptions []disruption) string {
	calm, stopped := []string{}, []string{}
	for _, l := range losses {
		stopping, disrupted := false, false
		for _, d := range disruptions {
			switch {
			case d.planned && d.isNear(l.sent, l.ended, 0):
				stopping = true
			case d.isNear(l.sent, l.ended, stableTime):
				disrupted = true
			}
		}
		switch {
		case disrupted:
		case stopping && (l.arrived || l.ended.Sub(l.sent) > lossSlack):
			stopped = append(stopped, l.String())
		case !stopping && l.arrived:
			calm = append(calm, l.String())
		}
	}
	switch {
	case len(stopped) > 0:
		return fmt.Sprintf("lost %d requests in a planned stop: %s", len(stopped), strings.Join(stopped, "; "))
	case len(calm) > lossLimit:
		return fmt.Sprintf("lost %d requests in touch: %s", len(calm), strings.Join(calm, "; "))
	default:
		return ""
	}
}

// stopInCalm stops a host while clients use it and nothing else is wrong.
func (w *world) stopInCalm(group *sync.WaitGroup) {
	p := w.processes[w.random.IntN(len(w.processes))]
	w.holdOn(group, p)
	p.signal(syscall.SIGTERM)
	p.end(stopTime)
}

// holdOn has clients use a host, over connections that they keep, until its process is gone.
func (w *world) holdOn(group *sync.WaitGroup, p *process) {
	for range holders {
		w.stay(group, p, clientDeadline, p.gone())
	}
}

// stay has a client use a host until the end, whatever comes of it.
func (w *world) stay(group *sync.WaitGroup, p *process, wait time.Duration, end <-chan struct{}) {
	w.stayed++
	name := fmt.Sprintf("s%d-h%d", w.options.Seed, w.stayed)
	r := rand.New(rand.NewPCG(w.options.Seed, uint64(clients+w.stayed)))
	group.Go(func() {
		h := &http.Client{
			Transport: &http.Transport{},
		}
		defer h.CloseIdleConnections()
		for i := 0; ; i++ {
			w.ask(context.Background(), h, p.callers, fmt.Sprintf("%s-%d", name, i), wait, r)
			select {
			case <-end:
				return
			case <-time.After(time.Duration(r.ExpFloat64() * float64(clientPause))):
			}
		}
	})
}
