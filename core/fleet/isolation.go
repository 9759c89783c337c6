package fleet

import "time"

// SetIsolated sets whether the host itself reaches no endpoint.
func (f *Fleet) SetIsolated(isolated bool) {
	f.self.Isolated = isolated
}

// IsIsolated reports whether another host reaches no endpoint, by its own word.
func (f *Fleet) IsIsolated(name string) bool {
	p := f.peers[name]
	return p != nil && p.Isolated
}

// recordIsolation records whether a host was isolated at the given time, unless something
// newer is known.
func (p *peer) recordIsolation(isolated bool, at time.Time) {
	if at.After(p.isolationAt) {
		p.Isolated = isolated
		p.isolationAt = at
	}
}

// RecordIsolation records that a host said at the given time that it is isolated.
func (f *Fleet) RecordIsolation(name string, at time.Time) {
	if p := f.peers[name]; p != nil {
		p.recordIsolation(true, at)
	}
}

// Reaching returns the members that are not isolated.
func Reaching(s []Member) []Member {
	z := []Member{}
	for _, m := range s {
		if !m.Isolated {
			z = append(z, m)
		}
	}
	return z
}
