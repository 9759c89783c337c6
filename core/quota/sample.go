package quota

// Counts adds the requests in flight that count against each cap to counts.
func (l *Ledger) Counts(counts map[Name]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flight {
		for _, n := range f.Caps {
			counts[n]++
		}
	}
}
