package main

import (
	"fmt"
	"net/http"
	"time"
)

// asks is how often a client sends each request of the cases below to each host.
const asks = 5

// calmWorld returns a world of ready hosts with the usual routes and servers.
func calmWorld(r *record, trouble bool) (*world, error) {
	w, err := newWorld(r, twoZones, trouble)
	if err != nil {
		return nil, err
	}
	const servers, work = 4, 60 * time.Millisecond
	services := []string{"rota-view", "booking-desk"}
	w.addHosts()
	w.configure(usualRoutes(), services)
	for _, s := range services {
		if err := w.addUsualServers(s, servers, work); err != nil {
			w.close()
			return nil, err
		}
	}
	if err := w.startHosts(); err != nil {
		w.close()
		return nil, err
	}
	time.Sleep(stableWindow)
	return w, nil
}

// askAll sends a request to each host some times, each on a new connection.
func (w *world) askAll(method, target string) []outcome {
	s := []outcome{}
	for range asks {
		for _, h := range w.hosts {
			c := &client{
				world: w,
			}
			s = append(s, c.ask(question{
				host:     h.front(),
				method:   method,
				target:   target,
				name:     domain,
				deadline: time.Second,
			}))
			c.close()
		}
	}
	return s
}

// paths shows that servers run requests with another path than the client sent.
func paths(r *record, trouble bool) (string, error) {
	w, err := calmWorld(r, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	targets := map[string]string{}
	list := []string{"/look/pitch-17", "/look/pitch%7C17", "/look/pitch;17?at=a|b"}
	if trouble {
		list = append(list, "/look/pitch|17", "/book/stall|3?day=sat")
	}
	for _, t := range list {
		for _, o := range w.askAll(http.MethodGet, t) {
			targets[o.id] = t
		}
	}
	changed := 0
	for _, s := range w.servers {
		for _, x := range s.came() {
			if x.ran && x.target != targets[x.id] {
				changed++
				r.add("changed", "id", x.id, "sent", targets[x.id], "came", x.target)
			}
		}
	}
	r.add("judged", "requests", len(targets), "run_with_another_path", changed)
	if changed == 0 {
		return "", nil
	}
	return fmt.Sprintf("UNASKED: %d of %d requests ran with another path than the client sent", changed, len(targets)), nil
}

// asterisk shows that a client gets a success that no endpoint gave.
func asterisk(r *record, trouble bool) (string, error) {
	w, err := calmWorld(r, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	all := append(w.askAll(http.MethodOptions, "/look/pitch-17"), w.askAll(http.MethodGet, "/none/1")...)
	if trouble {
		all = append(all, w.askAll(http.MethodOptions, "*")...)
	}
	ran := w.ran()
	bare := 0
	for _, o := range all {
		if o.status >= http.StatusOK && o.status < http.StatusMultipleChoices && (o.header.Get(headerSeal) == "" || ran[o.id] == "") {
			bare++
		}
	}
	r.add("judged", "requests", len(all), "successes_without_a_seal", bare)
	if bare == 0 {
		return "", nil
	}
	return fmt.Sprintf("MIXED: %d of %d answers are successes without a server's seal", bare, len(all)), nil
}
