package main

// ballastBytes is the size of a block that is never touched, and so takes no
// memory, but counts as live: the collector lets the heap grow to twice what is
// live, and a daemon's own live heap is so small that collecting it at every
// doubling would take a quarter of the processor time. Large declarations cost
// no more memory by it, as a higher percentage would.
const ballastBytes = 32 << 20

// newBallast returns the block, which has to be kept alive.
func newBallast() []byte {
	return make([]byte, ballastBytes)
}
