package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/quarantine"
)

// newDeadlyCluster returns a cluster of three hosts whose endpoints run a version of their
// software and crash under the deadly request.
func newDeadlyCluster(t *testing.T) (*cluster, *crashing, []*Edge) {
	k := newCluster(t)
	x := newCrashing()
	k.setSend(x.send)
	k.setRefuses(x.refuses)
	k.relist("v1", fourEndpoints)
	s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
	k.waitReady(s...)
	return k, x, s
}

// relistCrashed lists the next incarnations of the endpoints that have crashed since a time, once
// they are back.
func (k *cluster) relistCrashed(x *crashing, listed map[string]time.Time) {
	for id, z := range fourEndpoints {
		x.mu.Lock()
		back := x.downTo[id]
		x.mu.Unlock()
		if back.After(listed[id]) && time.Now().After(back) {
			listed[id] = back
			k.relist("v1", map[string]string{
				id: z,
			})
		}
	}
}

// askOften has copies of the deadly request come together, again and again, at all hosts for d, and
// endpoints come back after their crashes.
func (k *cluster) askOften(x *crashing, s []*Edge, copies int, d time.Duration) {
	group := sync.WaitGroup{}
	listed := map[string]time.Time{}
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		for n := range copies {
			group.Go(func() {
				s[(i+n)%len(s)].Serve(context.Background(), request(deadlyPath))
			})
		}
		k.relistCrashed(x, listed)
		<-time.After(170 * time.Millisecond)
	}
	group.Wait()
}

// TestVirtualZoneCrashFreesRequest guards against an innocent request that is refused for good:
// several endpoints of an availability zone run it when all of them crash at one moment.
func TestVirtualZoneCrashFreesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		x := newCrashing()
		x.downFor = 4 * time.Second
		k.setSend(x.send)
		k.setRefuses(x.refuses)
		zones := map[string]string{
			"e3": "z2",
			"e4": "z2",
		}
		first := map[string]string{
			"e1": "z1",
			"e2": "z1",
		}
		for i := range 6 {
			first[fmt.Sprint("more", i)] = "z1"
		}
		k.relist("v1", zones)
		k.relist("v1", first)
		s := []*Edge{k.start("a", "z1"), k.start("c", "z2")}
		k.waitReady(s...)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		mu, asked, served := sync.Mutex{}, 0, 0
		group := sync.WaitGroup{}
		for i := range 12 {
			group.Go(func() {
				<-time.After(time.Duration(i) * 70 * time.Millisecond)
				for n := 0; ctx.Err() == nil; n++ {
					q := request("/charge/notice")
					// The endpoints work for as many milliseconds.
					q.ID = fmt.Sprint(strings.Repeat("x", 600), i, n)
					a := s[0].Serve(context.Background(), q)
					mu.Lock()
					asked++
					if a.Status == http.StatusOK {
						served++
					}
					mu.Unlock()
					if a.Status != http.StatusOK {
						<-time.After(200 * time.Millisecond)
					}
				}
			})
		}
		<-time.After(3 * time.Second)
		for id := range first {
			x.crash(id)
		}
		k.c.Assert(len(x.crashes) >= 3, qt.IsTrue)
		<-time.After(x.downFor)
		k.relist("v1", first)
		<-time.After(12 * time.Second)
		mu.Lock()
		asked, served = 0, 0
		mu.Unlock()
		<-time.After(10 * time.Second)
		cancel()
		group.Wait()
		k.c.Check(asked >= 50, qt.IsTrue)
		k.c.Check(served*10 >= asked*9, qt.IsTrue, qt.Commentf("%d of %d served", served, asked))
	})
}

// TestVirtualDeadlyRequestIsTriedRarely guards against trials that crash endpoint after endpoint:
// however long a deadly request comes, three sends are allowed later than 3 s after the third
// crash.
func TestVirtualDeadlyRequestIsTriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, x, s := newDeadlyCluster(t)
		k.askOften(x, s, 1, 5*time.Minute)
		n := x.lateSends()
		k.c.Check(n <= 3, qt.IsTrue, qt.Commentf("%d sends", n))
		k.c.Check(n >= 1, qt.IsTrue, qt.Commentf("no trial"))
	})
}

// TestVirtualTrialsBehindPartition guards against hosts that do not hear each other and each take
// the trials for theirs to grant.
func TestVirtualTrialsBehindPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, x, s := newDeadlyCluster(t)
		k.askOften(x, s, 3, 2*time.Second)
		k.c.Assert(len(x.crashes) >= 3, qt.IsTrue)
		k.isolate("a", true)
		k.askOften(x, s, 1, 25*time.Second)
		k.isolate("a", false)
		k.askOften(x, s, 1, 2*time.Minute)
		n := x.lateSends()
		k.c.Check(n <= 3, qt.IsTrue, qt.Commentf("%d sends", n))
	})
}

// TestVirtualOneTrialAtATime checks that while a request is tried it is refused elsewhere at once,
// with a time at which to come back, and served everywhere after the trial.
func TestVirtualOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		k.relist("v1", fourEndpoints)
		s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
		k.waitReady(s...)
		mu, running, most := sync.Mutex{}, 0, 0
		k.setSend(func(ctx context.Context, q *EndpointRequest) (*Reply, error) {
			mu.Lock()
			running++
			most = max(most, running)
			mu.Unlock()
			<-time.After(500 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			return answerOK(ctx, q)
		})
		q := request("/charge/1")
		for i := range 3 {
			s[0].quarantine.RecordCrash(quarantine.Crash{
				Incarnation: fmt.Sprint("x", i),
				Software:    "desk v1",
				At:          time.Now(),
			}, []quarantine.Fingerprint{q.fingerprint()})
		}
		s[0].tellSuspects()
		<-time.After(time.Second)
		served, refused := 0, 0
		group := sync.WaitGroup{}
		for i := range 12 {
			group.Go(func() {
				began := time.Now()
				a := s[i%len(s)].Serve(context.Background(), request("/charge/1"))
				mu.Lock()
				defer mu.Unlock()
				if a.Status == http.StatusOK {
					served++
					return
				}
				refused++
				k.c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
				k.c.Check(time.Since(began) < 50*time.Millisecond, qt.IsTrue)
				k.c.Check(a.RetryAt.Sub(began) <= 2*time.Second, qt.IsTrue)
			})
		}
		group.Wait()
		k.c.Check(most, qt.Equals, 1)
		k.c.Check(served, qt.Equals, 1)
		k.c.Check(refused, qt.Equals, 11)
		<-time.After(2 * time.Second)
		for _, e := range s {
			k.c.Check(e.Serve(t.Context(), request("/charge/1")).Status, qt.Equals, http.StatusOK)
		}
	})
}

// TestVirtualNewsAfterManyCrashes guards against hosts of other zones that hear for seconds nothing
// of a request that crashes endpoints, since many others were in flight at earlier crashes.
func TestVirtualNewsAfterManyCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2"), k.start("d", "z2")}
		k.waitReady(s...)
		for i, e := range s {
			for n := range 60 {
				q := request(fmt.Sprint("/look/", i, "/", n))
				e.quarantine.RecordCrash(quarantine.Crash{
					Incarnation: fmt.Sprint("early", i, n/10),
					Software:    "desk v1",
					At:          time.Now(),
				}, []quarantine.Fingerprint{q.fingerprint()})
			}
			e.tellSuspects()
		}
		<-time.After(300 * time.Millisecond)
		for i := range 3 {
			s[1].quarantine.RecordCrash(quarantine.Crash{
				Incarnation: fmt.Sprint("x", i),
				Software:    "desk v1",
				At:          time.Now(),
			}, []quarantine.Fingerprint{request(deadlyPath).fingerprint()})
			s[1].tellSuspects()
			<-time.After(300 * time.Millisecond)
		}
		// A relay of the other zone tells its hosts with its next heartbeat.
		<-time.After(200 * time.Millisecond)
		for _, e := range s {
			k.c.Check(e.blockOf(request(deadlyPath)), qt.IsNotNil)
		}
	})
}
