package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// firstLimit is the longest body that the first configuration allows, and raisedLimit that
	// which a later one allows, as on the users' page.
	firstLimit  = 32 << 20
	raisedLimit = 64 << 20
	// usualBody is the length of the bodies under the first configuration, and longBody that
	// of the bodies that only the later one allows.
	usualBody = 20 << 20
	longBody  = 52 << 20
	// bodies is the number of long bodies that a client sends.
	bodies = 15
	// deniedBase and deniedShare make up the number of requests that may be denied: so many, and
	// one in so many of all.
	deniedBase  = 5
	deniedShare = 500
	// bodyDeadline is how long the client waits for the answer.
	bodyDeadline = 8 * time.Second
)

// longBodies shows that hosts deny requests whose bodies are shorter than the configuration allows.
func longBodies(r *record, trouble bool) (string, error) {
	w, err := newWorld(r, twoZones, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	const servers, work = 4, 100 * time.Millisecond
	services := []string{"rota-view", "booking-desk"}
	w.addHosts()
	w.bodyLimit = firstLimit
	w.configure(usualRoutes(), services)
	for _, s := range services {
		if err := w.addUsualServers(s, servers, work); err != nil {
			return "", err
		}
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &ledger{}
	group := sync.WaitGroup{}
	for _, z := range w.zones {
		for range lookers {
			group.Go(func() { w.look(ctx, z.name, l) })
		}
	}
	time.Sleep(stableWindow + time.Second)
	n := usualBody
	if trouble {
		w.bodyLimit = raisedLimit
		w.configure(usualRoutes(), services)
		time.Sleep(2 * configApply)
		n = longBody
	}
	w.sendBodies(n, l)
	cancel()
	group.Wait()
	return w.judgeBodies(l), nil
}

// sendBodies sends bodies of a length, one after the other, to all hosts of the first zone in turn.
func (w *world) sendBodies(length int, l *ledger) {
	const rate = 40_000_000
	body := make([]byte, length)
	for i := range bodies {
		c := &client{
			world: w,
		}
		l.add(c.ask(question{
			host:     w.hosts[i%2].front(),
			method:   http.MethodPost,
			target:   "/book/1",
			name:     domain,
			deadline: bodyDeadline,
			body:     body,
			rate:     rate,
		}))
		c.close()
	}
}

// judgeBodies returns what is wrong, or an empty text.
func (w *world) judgeBodies(l *ledger) string {
	denied, all := 0, 0
	for _, o := range l.all() {
		all++
		switch {
		case o.status < http.StatusMultipleChoices || o.status >= http.StatusInternalServerError:
		case o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest || o.status == http.StatusTooManyRequests:
		case o.header.Get(headerSeal) == "":
			denied++
		}
	}
	bound := deniedBase + all/deniedShare
	w.record.add("judged", "requests", all, "denied", denied, "bound", bound)
	if denied <= bound {
		return ""
	}
	return fmt.Sprintf("DENIED: %d of %d requests were ended with a 4xx of the hosts' own though the configuration allows them, at most %d may be", denied, all, bound)
}
