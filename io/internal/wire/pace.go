package wire

import (
	"sync"
	"time"
)

const (
	// minHeadSilence is the shortest wait for an answer's head before the
	// connection counts as silent.
	minHeadSilence = 150 * time.Millisecond
	// firstHeadSilence is that wait for a peer that never answered: how slow it
	// is when nothing is wrong is not known.
	firstHeadSilence = time.Second
	// maxHeadSilence bounds what backing off leads to.
	maxHeadSilence = 5 * time.Second
	// headSilenceFactor is how many usual waits count as silence.
	headSilenceFactor = 8
	// slowFactor is how many usual waits a slow answer takes.
	slowFactor = 4
	// paceWeight is the weight of the newest wait in the usual one.
	paceWeight = 0.1
	// bodySilence is the longest pause within an answer to a call that may be sent
	// again, as long as none of its body was passed on.
	bodySilence = 500 * time.Millisecond
)

// pace follows how long a peer usually takes until its answer's head. It is
// safe for concurrent use.
type pace struct {
	// least is the shortest wait that counts as silence.
	least time.Duration

	mu    sync.Mutex
	usual time.Duration
}

func (p *pace) observe(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == 0 {
		p.usual = d
		return
	}
	p.usual += time.Duration(paceWeight * float64(d-p.usual))
}

// backOff doubles the wait that counts as silence, in case that the peer is
// slow. The next answers bring it back.
func (p *pace) backOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual = min(maxHeadSilence, 2*max(p.least, headSilenceFactor*p.usual)) / headSilenceFactor
}

// silence returns when a head that is waited for since now counts as overdue:
// after several usual waits, or with half of the time left for another try if
// that is still far beyond a usual wait. Else a slow answer would be given up
// for a try that has no more time than it needs.
func (p *pace) silence(now, deadline time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, shortest := max(p.least, headSilenceFactor*p.usual), slowFactor*p.usual
	if p.usual == 0 {
		d, shortest = firstHeadSilence, firstHeadSilence
	}
	if deadline.IsZero() {
		return now.Add(d)
	}
	half := deadline.Sub(now) / 2
	if half < shortest {
		return deadline
	}
	return now.Add(min(d, half))
}
