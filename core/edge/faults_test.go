package edge

import (
	"encoding/json"

	qt "github.com/frankban/quicktest"
)

// recordLength records the length of a heartbeat.
func (k *cluster) recordLength(t *Heartbeat) {
	b, err := json.Marshal(t)
	k.c.Check(err, qt.IsNil)
	if n := int64(len(b)); n > k.longestHeartbeat.Load() {
		k.longestHeartbeat.Store(n)
	}
}

func (k *cluster) losesHeartbeats(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heartbeatsLost[[2]string{from, to}]
}

func (k *cluster) failsFetch(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fetchFails[name] || k.fetchFails[""]
}

func (k *cluster) refusesForwards(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.forwardsRefused[name]
}

// setFault switches a fault of the cluster on or off.
func setFault[K comparable](k *cluster, m map[K]bool, key K, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m[key] = on
}

func (k *cluster) isolate(name string, isolated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isolated[name] = isolated
}

func (k *cluster) partitionZones(a, b string, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.partitioned[[2]string{a, b}] = on
	k.partitioned[[2]string{b, a}] = on
}

// zonesConnected reports whether hosts of a zone reach endpoints of another.
func (k *cluster) zonesConnected(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.partitioned[[2]string{from, to}]
}

// connectedHost returns the host to if from reaches it, or nil.
func (k *cluster) connectedHost(from, to string) *Edge {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, b := k.edges[from], k.edges[to]
	if k.isolated[from] || k.isolated[to] || b == nil || k.partitioned[[2]string{a.options.Self.Zone, b.options.Self.Zone}] {
		return nil
	}
	return b
}
