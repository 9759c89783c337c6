package wire

// proofAgain is how often a peer that sends no 100 Continue is tried again, in
// requests.
const proofAgain = 64

// proved notes whether a proof came.
func (p *Pool) proved(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.unproved = 0
		return
	}
	p.unproved++
	p.counts.Unproved++
}

// proofless reports whether the peer seems to send no 100 Continue at all: after
// more failures than all connections can have had by going silent, one request
// in proofAgain waits for it. The others take a new connection at once.
func (p *Pool) proofless() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unproved <= cap(p.open) {
		return false
	}
	p.unproved++
	return p.unproved%proofAgain != 0
}
