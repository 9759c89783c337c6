package dispatch

// InFlight returns the requests in flight at each endpoint that this host has
// owned, by the endpoint's name.
func (d *Dispatcher) InFlight() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[string]int, len(d.gates))
	for n, g := range d.gates {
		m[n] = g.InFlight()
	}
	return m
}
