package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"heatherford/standin/desk"
)

const (
	// drain is how long after a host has passed on an answer of a leaving endpoint a
	// client may send a request that reaches the endpoint from that host.
	drain = 2 * time.Second
	// backoffNotice is how long after an endpoint has asked a host for no requests those
	// that come do not count, and backoffMost the most that may come then.
	backoffNotice = 500 * time.Millisecond
	backoffMost   = 2
	// wordsEvery is the number of faults of which one is what an endpoint says of itself.
	wordsEvery = 2
	// minWords and wordsSpread bound how long an endpoint says so.
	minWords    = 4 * time.Second
	wordsSpread = 4 * time.Second
)

// words are the faults in which endpoints say that they leave or want no requests. Their
// draws are apart from those of the other faults.
type words struct {
	random *rand.Rand
	// harms are when connections to endpoints were harmed, so that answers may be lost.
	// World.mu guards it.
	harms []time.Time
	// speaking is true while an endpoint says something. World.mu guards it.
	speaking bool
	// ended is when the last of the faults had ended.
	ended time.Time
}

func newWords(seed uint64) words {
	const stream = 100
	return words{
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

// harm notes that connections to endpoints are harmed now.
func (w *world) harm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.words.harms = append(w.words.harms, time.Now())
}

// say now and then has an endpoint say something of itself for a while, or values of the
// headers that say nothing. One does so at a time, so that the others have room. In runs beside
// an earlier build none does, since that may not know the headers.
func (w *world) say(group *sync.WaitGroup) {
	r := w.words.random
	if w.options.Old != "" || r.IntN(wordsEvery) > 0 || !w.speak(true) {
		return
	}
	e := w.drawInUse()
	d := minWords + time.Duration(r.Int64N(int64(wordsSpread)))
	var begin, end func()
	switch r.IntN(3) {
	case 0:
		w.note("leaving")
		begin, end = e.Leave, e.Renew
	case 1:
		w.note("backoff")
		begin, end = func() { e.BackOff(d / 2) }, e.EndBackOff
	default:
		w.note("bad-words")
		begin, end = func() { e.SayNothing(true) }, func() { e.SayNothing(false) }
	}
	w.whileFaulty(begin)
	group.Go(func() {
		time.Sleep(d)
		w.whileFaulty(end)
		w.speak(false)
	})
}

// speak notes that an endpoint says something, or no more. It reports false if one does so
// already.
func (w *world) speak(on bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on && w.words.speaking {
		return false
	}
	w.words.speaking = on
	return true
}

// drawInUse draws an endpoint of the service that the newest configuration uses.
func (w *world) drawInUse() *desk.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := []*desk.Endpoint{}
	for _, e := range w.endpoints {
		if strings.Contains(e.ID(), "-"+w.service+"-") {
			s = append(s, e)
		}
	}
	return s[w.words.random.IntN(len(s))]
}

// endWords ends what endpoints say of themselves. The faults have ended.
func (w *world) endWords() {
	for _, e := range w.endpoints {
		e.SayNothing(false)
		e.EndBackOff()
		e.Renew()
	}
	w.words.ended = time.Now()
}

// settleWords checks that hosts kept to what endpoints have said, and no longer: those of the
// newest configuration get requests once the faults have ended.
func (w *world) settleWords() {
	for _, e := range w.endpoints[3:] {
		if strings.Contains(e.ID(), "-two-") && !w.runs.LastArrival(e.ID()).After(w.words.ended.Add(recoverTime)) {
			w.ledger.fail(e.ID() + " gets no requests in calm times")
		}
	}
	tries := map[string]try{}
	for _, t := range w.ledger.tries {
		tries[t.id] = t
	}
	for _, p := range w.processes {
		for _, e := range w.endpoints {
			x := kept{
				endpoint:    e.ID(),
				ip:          p.ip,
				address:     p.callers,
				disruptions: p.disruptions,
				harms:       w.words.harms,
				tries:       tries,
				words:       e.Words(),
				arrivals:    e.Arrivals(),
				endOf:       e.EndOf,
			}
			for _, s := range []string{x.drainBreach(), x.backoffBreach()} {
				if s != "" {
					w.ledger.fail(fmt.Sprintf("%s at %s %s", p.name, e.ID(), s))
				}
			}
		}
	}
}

// kept is what shows whether a host kept to the words of an endpoint.
type kept struct {
	// endpoint is the endpoint's ID.
	endpoint string
	// ip is the address from which the host sends to endpoints, and address the one at
	// which clients reach it.
	ip          netip.Addr
	address     string
	disruptions []disruption
	harms       []time.Time
	// tries are all requests of clients, by identifier.
	tries    map[string]try
	words    []desk.Word
	arrivals []desk.Arrival
	// endOf returns when the endpoint's incarnation ended that lived at a time, or zero.
	endOf func(t time.Time) time.Time
}

// drainBreach returns what is wrong with the requests that reached the endpoint from the host
// after it had passed on that the endpoint leaves, or an empty string.
func (k *kept) drainBreach() string {
	for _, w := range k.words {
		t, ok := k.tries[w.Request]
		if !w.Leaving || !ok || !t.served || t.host != k.address || t.endpoint != k.endpoint || t.ended.Before(w.At) {
			continue
		}
		end := k.endOf(w.At)
		for _, a := range k.arrivals {
			x, ok := k.tries[a.Request]
			if !ok || (x.host != k.address && a.Host != k.ip) || !x.sent.After(t.ended.Add(drain)) || (!end.IsZero() && a.At.After(end)) {
				continue
			}
			if !k.disrupted(t.ended, a.At) {
				return fmt.Sprintf("%s came, sent %s after the host had passed on that the endpoint leaves", a.Request, x.sent.Sub(t.ended).Round(time.Millisecond))
			}
		}
	}
	return ""
}

// backoffBreach returns what is wrong with the requests that reached the endpoint from the
// host while it wanted none, or an empty string.
func (k *kept) backoffBreach() string {
	for _, w := range k.words {
		if w.Until.IsZero() || w.Host != k.ip || k.harmed(w.At) {
			continue
		}
		n, until := 0, w.Until
		if end := k.endOf(w.At); !end.IsZero() && end.Before(until) {
			until = end
		}
		for _, a := range k.arrivals {
			if a.Host == k.ip && a.At.After(w.At.Add(backoffNotice)) && a.At.Before(until) && !k.disrupted(w.At, a.At) {
				n++
			}
		}
		if n > backoffMost {
			return fmt.Sprintf("got %d requests while it wanted none, from %s for %s", n, w.At.UTC().Format("15:04:05.000"), w.Until.Sub(w.At))
		}
	}
	return ""
}

// disrupted reports whether the host was killed, restarted or frozen between two times.
func (k *kept) disrupted(from, until time.Time) bool {
	for _, d := range k.disruptions {
		if d.isNear(from, until, 0) {
			return true
		}
	}
	return false
}

// harmed reports whether an answer that was made at a time may have been lost on its way.
func (k *kept) harmed(at time.Time) bool {
	for _, t := range k.harms {
		if t.After(at.Add(-backoffNotice)) && t.Before(at.Add(backoffNotice)) {
			return true
		}
	}
	return false
}
