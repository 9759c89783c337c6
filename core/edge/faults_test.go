package edge

import (
	"encoding/json"

	qt "github.com/frankban/quicktest"
)

// measure notes the length of a tick.
func (k *cluster) measure(t *Tick) {
	b, err := json.Marshal(t)
	k.c.Check(err, qt.IsNil)
	if n := int64(len(b)); n > k.longest.Load() {
		k.longest.Store(n)
	}
}

func (k *cluster) isDeaf(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.deaf[[2]string{from, to}]
}

func (k *cluster) noBook(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unread[name] || k.unread[""]
}

func (k *cluster) isRefusing(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refusing[name]
}

// set changes a fault of the cluster.
func set[K comparable](k *cluster, m map[K]bool, key K, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m[key] = on
}

func (k *cluster) isolate(name string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[name] = cut
}

func (k *cluster) cutZones(a, b string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apart[[2]string{a, b}] = cut
	k.apart[[2]string{b, a}] = cut
}

// reaches reports whether hosts of a zone reach endpoints of another.
func (k *cluster) reaches(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.apart[[2]string{from, to}]
}

// reach returns a host that another one reaches, or nil.
func (k *cluster) reach(from, to string) *Edge {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, b := k.edges[from], k.edges[to]
	if k.cut[from] || k.cut[to] || b == nil || k.apart[[2]string{a.options.Self.Zone, b.options.Self.Zone}] {
		return nil
	}
	return b
}
