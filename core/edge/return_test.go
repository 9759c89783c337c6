package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/balance"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
)

// TestVirtualManyReturns guards against a host that hangs for good since its control goroutine waits
// for itself: more endpoints than it can queue events for come back at one moment, after crashes
// that could not be told from a cut. It tells of all of them together.
func TestVirtualManyReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const returns = 200
		k := newCluster(t)
		s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
		k.waitReady(s...)
		began := time.Now()
		zones := map[string]string{}
		s[0].mu.Lock()
		for i := range returns {
			id := fmt.Sprint("many", i)
			zones[id] = "z1"
			s[0].unexplained.add(&breakage{
				target: balance.Target{
					ID:       id,
					Upstream: "desk",
					Software: "v1",
				},
				at:        began,
				crashedAt: began,
				requests: []quarantine.Fingerprint{
					request(fmt.Sprint("/look/", i)).fingerprint(),
				},
			})
		}
		s[0].mu.Unlock()
		<-time.After(time.Second)
		k.relist("v1", zones)
		before := k.heartbeats.Load()
		<-time.After(2 * time.Second)
		sent := k.heartbeats.Load() - before
		k.c.Check(s[0].quarantine.Reports(0, 0, time.Now()), qt.HasLen, returns)
		// Without the returns the three hosts send each other fewer than 150 heartbeats in this time.
		const most = 250
		k.c.Check(sent < most, qt.IsTrue, qt.Commentf("%d heartbeats", sent))
		k.declare(2, 1)
		k.waitDeclared(2, s...)
	})
}

// TestVirtualHungControl guards against a host that hangs unnoticed and cannot be stopped: a line
// says that the control goroutine is overdue, and neither the stop nor others' calls wait for it.
func TestVirtualHungControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		mu, overdue := sync.Mutex{}, 0
		k.log = func(kind string, _ ...any) {
			mu.Lock()
			defer mu.Unlock()
			if kind == "overdue" {
				overdue++
			}
		}
		a := k.start("a", "z1")
		k.waitReady(a)
		<-time.After(10 * time.Second)
		k.c.Check(overdue, qt.Equals, 0)
		release := make(chan struct{})
		a.post(t.Context(), func(*control) {
			<-release
		})
		for range 2 * cap(a.events) {
			go a.HandleHeartbeat(&Heartbeat{})
		}
		<-time.After(10 * time.Second)
		mu.Lock()
		k.c.Check(overdue, qt.Equals, 1)
		mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := a.Delta(ctx, [registry.NumParts]registry.Version{})
		k.c.Check(err, qt.IsNotNil)
		k.c.Check(time.Since(began) <= 2*time.Second, qt.IsTrue)
		began = time.Now()
		a.Leave(began.Add(5 * time.Second))
		k.c.Check(time.Since(began) < 50*time.Millisecond, qt.IsTrue)
		k.c.Check(a.Ready(), qt.IsFalse)
		close(release)
	})
}
