package desk

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// headersLeaving are the two spellings of the header by which an endpoint says that it
// leaves.
var headersLeaving = [...]string{"Server-Leaving", "X-Heatherford-Server-Leaving"}

// badLeaving and badBackoff are values of the headers that state nothing.
var (
	badLeaving = [...][]string{{"0"}, {"true"}, {"1", "1"}, {""}, {"1, 1"}}
	badBackoff = [...][]string{{"-30"}, {"0"}, {"soon"}, {"30", "30"}, {"Fri, 31 Dec 2100 23:59:59 GMT"}, {""}, {"1e3"}}
)

// Word is what an endpoint said in the answer to a request.
type Word struct {
	Request string
	// Host is the address of the host that sent the request.
	Host netip.Addr
	At   time.Time
	// Leaving is true if the endpoint said that it leaves, and Until is until when it wants
	// no requests of the host, or zero.
	Leaving bool
	Until   time.Time
}

// Arrival is a request that came to an endpoint.
type Arrival struct {
	Request string
	// Host is the address of the host that sent the request.
	Host netip.Addr
	At   time.Time
}

// words are what an endpoint says of itself. Endpoint.mu guards it.
type words struct {
	// leaving is true while the incarnation says that it leaves.
	leaving bool
	// bad is true while answers have values that state nothing, and count chooses them.
	bad   bool
	count int
	// backoff is for how long the endpoint wants no requests from each host, or 0, and
	// asked holds the hosts that it has told.
	backoff time.Duration
	asked   map[netip.Addr]bool
	said    []Word
	// arrivals are in order, and so are the ends of incarnations.
	arrivals []Arrival
	ends     []time.Time
}

// Leave has the incarnation say in all its answers that it leaves.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.words.leaving = true
}

// BackOff has the endpoint reject the next request of each host and ask the host for no
// others for a time, until EndBackOff.
func (e *Endpoint) BackOff(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.words.backoff = d
	e.words.asked = map[netip.Addr]bool{}
}

// EndBackOff ends BackOff.
func (e *Endpoint) EndBackOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.words.backoff = 0
}

// SayNothing has answers hold values of both headers that state nothing, or not any more.
func (e *Endpoint) SayNothing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.words.bad = on
}

// Renew begins the next incarnation of an endpoint that says that it leaves.
func (e *Endpoint) Renew() {
	e.mu.Lock()
	leaving := e.words.leaving
	e.mu.Unlock()
	if leaving {
		e.restart(0)
		e.write()
	}
}

// Words returns what the endpoint has said, in order.
func (e *Endpoint) Words() []Word {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.words.said)
}

// Arrivals returns the requests that came to the endpoint, in order.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.words.arrivals)
}

// EndOf returns when the incarnation ended that lived at a time, or zero.
func (e *Endpoint) EndOf(t time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.words.ends {
		if x.After(t) {
			return x
		}
	}
	return time.Time{}
}

// end ends the words of an incarnation. The next one starts at a time.
func (w *words) end(next time.Time) {
	w.leaving = false
	w.backoff = 0
	w.ends = append(w.ends, next)
}

// sayLeaving sets the header of an answer that says that the endpoint leaves, in one of its
// spellings, or a value that does not.
func (e *Endpoint) sayLeaving(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &e.words
	w.count++
	name := headersLeaving[w.count%len(headersLeaving)]
	switch {
	case w.leaving:
		h.Set(name, "1")
	case w.bad:
		h[name] = badLeaving[w.count%len(badLeaving)]
	}
}

// takeArrival notes that a request came, and what its answer says. It reports whether the
// endpoint rejects the request and wants no others from the host for a while.
func (e *Endpoint) takeArrival(h http.Header, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &e.words
	x := Arrival{
		Request: r.Header.Get(HeaderID),
		At:      time.Now(),
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		x.Host = a.Addr()
	}
	w.arrivals = append(w.arrivals, x)
	said := Word{
		Request: x.Request,
		Host:    x.Host,
		At:      x.At,
		Leaving: w.leaving && (h.Get(headersLeaving[0]) == "1" || h.Get(headersLeaving[1]) == "1"),
	}
	reject := w.backoff > 0 && !w.asked[x.Host]
	if reject {
		w.asked[x.Host] = true
		said.Until = x.At.Add(w.backoff)
		h.Set("Retry-After", strconv.FormatFloat(w.backoff.Seconds(), 'f', -1, 64))
	}
	if said.Leaving || reject {
		w.said = append(w.said, said)
	}
	return reject
}

// sayBadBackoff sets a value of the header of a rejection that states nothing.
func (e *Endpoint) sayBadBackoff(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.words.bad {
		h["Retry-After"] = badBackoff[e.words.count%len(badBackoff)]
	}
}
