package quota

// Counts adds to counts, for each cap, the requests in flight that count against it.
func (l *Ledger) Counts(counts map[CapName]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.reservations {
		for _, n := range f.Caps {
			counts[n]++
		}
	}
}
