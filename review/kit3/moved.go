package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// overlap is how long the store answers at both addresses after the settings have changed.
	overlap = 10 * time.Second
	// afterMove is how long the store has only its new address until the configuration changes.
	afterMove = 6 * time.Second
	// signalled is the share of the hosts that get a signal, and signalGap the time between two of
	// them, as on the users' standard days. The settings of the others change without one.
	signalled = 0.6
	signalGap = 2 * time.Second
	// applied is how long clients go on after the new configuration has to be in force.
	applied = 6 * time.Second
)

// moved shows that hosts go on asking the store at its old address after their settings name a
// new one, so that no later configuration comes into force.
func moved(r *record, trouble bool) (string, error) {
	w, err := newWorld(r, twoZones, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	const servers, work = 3, 60 * time.Millisecond
	services := []string{"rota-view", "rota-view-2", "booking-desk"}
	w.addHosts()
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
	if err := w.changeSettings(); err != nil {
		cancel()
		group.Wait()
		return "", err
	}
	routes := usualRoutes()
	routes[0].service = "rota-view-2"
	w.configure(routes, services)
	acknowledged := time.Now()
	time.Sleep(configApply + applied)
	cancel()
	group.Wait()
	return w.judgeMoved(l, acknowledged), nil
}

// changeSettings changes the settings of all hosts and tells some of them by signal. With trouble, the
// settings name a new address of the store, which answers there from before, and a while later at
// the old one no more.
func (w *world) changeSettings() error {
	old := w.store
	if w.trouble {
		s, err := w.newStore()
		if err != nil {
			return err
		}
		w.store = s
	}
	for _, h := range w.hosts {
		if err := h.writeSettings(w.store.address); err != nil {
			return err
		}
		w.record.add("settings changed", "host", h.name, "store", w.store.address)
	}
	for i, h := range w.hosts {
		if float64(i+1) > signalled*float64(len(w.hosts)) {
			break
		}
		h.signal(syscall.SIGHUP)
		time.Sleep(signalGap)
	}
	time.Sleep(overlap)
	if w.trouble {
		w.record.add("store ends at its old address", "address", old.address)
		_ = old.server.Close()
	}
	time.Sleep(afterMove)
	return nil
}

// judgeMoved returns what is wrong, or an empty text: requests that clients sent later than the
// bound after the acknowledgement, and that the service of the older version ran.
func (w *world) judgeMoved(l *ledger, acknowledged time.Time) string {
	ran := w.ran()
	late, all := 0, 0
	for _, o := range l.all() {
		if !o.sent.After(acknowledged.Add(configApply)) {
			continue
		}
		all++
		if s := ran[o.id]; strings.HasPrefix(s, "rota") && s != "rota-view-2" {
			late++
		}
	}
	w.record.add("judged", "sent_after_the_bound", all, "run_by_the_old_service", late)
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d of %d requests that were sent later than %s after the acknowledgement ran at the service of the older version", late, all, configApply)
}
