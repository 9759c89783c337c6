package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/registry"
)

// relist lists the next incarnations of endpoints, with the version of their software, which may be
// empty.
func (k *cluster) relist(software string, zones map[string]string) {
	for id, z := range zones {
		e := k.endpoint(id, z)
		e.StartedAt = time.Now()
		e.Software = software
		k.platform.put(registry.Endpoints, id, registry.Record{
			Endpoint: &e,
		})
	}
}

// fourEndpoints are the endpoints of a new cluster, with their zones.
var fourEndpoints = map[string]string{
	"e1": "z1",
	"e2": "z1",
	"e3": "z2",
	"e4": "z2",
}

// TestVirtualDeadlyRequestAtAllEndpoints guards against a request that is never blocked since it
// takes all endpoints down at once: copies come together, again and again. The users allow
// three sends from 3 s after the third crash on.
func TestVirtualDeadlyRequestAtAllEndpoints(t *testing.T) {
	for _, down := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCluster(t)
				x := newCrashing()
				x.downFor = down
				k.setSend(x.send)
				k.setRefuses(x.refuses)
				s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
				k.waitReady(s...)
				group := sync.WaitGroup{}
				for i := range 24 {
					group.Go(func() {
						s[i%len(s)].Serve(context.Background(), request(fmt.Sprint("/charge/", i)))
					})
				}
				for range 8 {
					for i := range 12 {
						group.Go(func() {
							s[i%len(s)].Serve(context.Background(), request(deadlyPath))
						})
					}
					<-time.After(down)
					if len(x.down()) > 0 {
						k.relist("", fourEndpoints)
					}
					<-time.After(1500 * time.Millisecond)
				}
				group.Wait()
				k.c.Check(len(x.crashes) >= 3, qt.IsTrue)
				n := x.lateSends()
				k.c.Check(n <= 3, qt.IsTrue, qt.Commentf("%d sends", n))
				// What only was in flight at the same moment is served.
				for i := range 24 {
					a := s[i%len(s)].Serve(context.Background(), request(fmt.Sprint("/charge/", i)))
					k.c.Check(a.Status, qt.Equals, http.StatusOK)
				}
			})
		})
	}
}

// TestVirtualCutAndRestartsConvictNoRequest guards against innocent requests that count as the cause
// of crashes: hosts are cut off, runs of the same content complete, and the endpoints start
// anew.
func TestVirtualCutAndRestartsConvictNoRequest(t *testing.T) {
	// runsComplete is longer than a host takes to find out that a cut has ended, and than
	// listingTime behind that. A restart before looks like a crash at the time of the cut.
	const runsComplete = 6 * time.Second
	for _, m := range []cutMode{cutReset, cutRefusing} {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCluster(t)
				hosts := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
				k.waitReady(hosts...)
				ctx, cancel := context.WithCancel(t.Context())
				group := sync.WaitGroup{}
				// Some contents come again and again, others only once.
				group.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						path := fmt.Sprint("/look/", i%5)
						if i%2 == 0 {
							path = fmt.Sprint("/look/once", i)
						}
						group.Go(func() {
							hosts[i%len(hosts)].Serve(context.Background(), request(path))
						})
						<-time.After(20 * time.Millisecond)
					}
				})
				for range 3 {
					k.cut(m, hosts...)
					<-time.After(400 * time.Millisecond)
					k.cut(notCut, hosts...)
					<-time.After(runsComplete)
					k.relist("", fourEndpoints)
					<-time.After(time.Second)
				}
				cancel()
				group.Wait()
				for _, e := range hosts {
					k.c.Check(e.quarantine.Empty(), qt.IsTrue)
				}
				k.mu.Lock()
				defer k.mu.Unlock()
				for _, o := range k.observed {
					k.c.Check(o.Answer.Code, qt.Not(qt.Equals), code.RequestQuarantined)
				}
			})
		})
	}
}

// TestVirtualCutEndsDuringCheck guards against innocent requests that count as the cause of a crash,
// since a cut ends between the probe of the endpoint and that of the others.
func TestVirtualCutEndsDuringCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		a := k.start("a", "z1")
		k.waitReady(a)
		mu, cut := sync.Mutex{}, true
		k.setRefuses(func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			before := cut
			cut = false
			return before
		})
		k.setSend(func(context.Context, *EndpointRequest) (*Reply, error) {
			return nil, &Failure{
				Sent:   true,
				Reason: "reset",
			}
		})
		a.Serve(t.Context(), request("/charge/1"))
		<-time.After(time.Second)
		k.c.Check(a.quarantine.Empty(), qt.IsTrue)
	})
}
