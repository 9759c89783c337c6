package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core/edge"
	"heatherford/io/endpoint"
	"heatherford/io/host"
	"heatherford/io/ingress"
	"heatherford/io/monitor"
	"heatherford/io/stdout"
	"heatherford/platform"
)

const (
	// linesPerSecond bounds the log lines a second of each kind, unless a flag
	// says otherwise.
	linesPerSecond = 100
	// lastLines is how long the last log lines may take.
	lastLines = 100 * time.Millisecond
	// settingsInterval is how often the settings file is looked at for changes
	// that no signal tells.
	settingsInterval = time.Second
)

// daemon is the running parts of the program.
type daemon struct {
	settings *platform.Settings
	path     string
	log      *stdout.Logger
	edge     *edge.Edge
	sender   *endpoint.Sender
	store    *platform.Store
	ingress  *ingress.Ingress
	link     *host.Link
	monitor  *monitor.Monitor
	tomb     tomb.Tomb
	// content is the settings file's content that was read last.
	content string
}

func start(s *platform.Settings, path string, lines int) (*daemon, error) {
	d := &daemon{
		settings: s,
		path:     path,
		sender:   endpoint.New(platform.EndpointHeaders()),
		store:    platform.NewStore(s.Store),
	}
	d.log = stdout.New(stdout.Options{
		Writer:  os.Stdout,
		Host:    s.Host,
		Default: lines,
	})
	d.store.Log = d.log.Log
	d.sender.Source = s.Peers.Addr()
	m, err := monitor.New()
	if err != nil {
		return nil, err
	}
	d.monitor = m
	d.store.Called = m.Called
	link, err := host.Listen(host.Options{
		Address: s.Peers,
		Hear:    d.hear,
		Book:    d.book,
		Take:    d.take,
		Log:     d.log.Log,
		Ticked:  m.Ticked,
	})
	if err != nil {
		return nil, err
	}
	d.edge = edge.New(edge.Options{
		Self:  s.Member(time.Now()),
		Zones: s.Zones,
		Listeners: []netip.AddrPort{
			s.Ready,
			s.Directory,
			s.Metrics,
		},
		Transport: edge.Transport{
			Read:          d.store.Read,
			HistoryLost:   d.store.Forgotten,
			Join:          d.store.Join,
			Enlist:        d.store.Enlist,
			SendHeartbeat: link.Tell,
			Fetch:         link.Fetch,
			Send:          d.sender.Send,
			Probe:         d.sender.Probe,
			Lost:          d.sender.Lost,
			Forward:       link.Carry,
		},
		RetryBudget:  s.Repeats,
		Log:          d.log.Log,
		Observe:      d.observe,
		ObserveDelay: m.ObserveDelay,
	})
	d.edge.Start()
	if err := link.Start(&d.tomb); err != nil {
		return nil, err
	}
	d.ingress, err = ingress.Start(ingress.Options{
		Edge:       d.edge,
		Headers:    platform.CallerHeaders(),
		Lookups:    platform.Lookups(s.LookupTTL),
		ReadyPath:  platform.ReadyPath,
		LookupPath: platform.LookupPath,
		Callers:    s.Callers,
		Ready:      s.Ready,
		Directory:  s.Directory,
		Log:        d.log.Log,
	}, &d.tomb)
	if err != nil {
		return nil, err
	}
	d.link = link
	if err := m.Start(&d.tomb, monitor.Options{
		Address:     s.Metrics,
		Edge:        d.edge,
		LeftOut:     d.log.LeftOut,
		Log:         d.log.Log,
		MemoryBytes: s.MemoryBytes,
	}); err != nil {
		return nil, err
	}
	d.log.Log("start", "zone", s.Zone, "region", s.Region, "callers", s.Callers, "peers", s.Peers)
	return d, nil
}

// wait runs until a signal to stop or the end of a part, and returns the exit
// code.
func (d *daemon) wait(signals, reloads <-chan os.Signal) int {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	d.changed()
	for {
		select {
		case <-reloads:
			d.reload("signal")
		case <-t.C:
			d.reloadChanged()
		case <-signals:
			// The settings decide how long the stop may take.
			d.reloadChanged()
			return d.stop()
		case <-d.edge.Dying():
			return d.fail(fmt.Errorf("control: %w", d.edge.Err()))
		case <-d.tomb.Dying():
			return d.fail(d.tomb.Err())
		}
	}
}

// reloadChanged reads the settings file again if it has changed.
func (d *daemon) reloadChanged() {
	if d.changed() {
		d.reload("file")
	}
}

// changed reports whether the settings file has another content than before.
func (d *daemon) changed() bool {
	b, err := os.ReadFile(d.path)
	if err != nil {
		// A file that is being replaced is looked at again.
		return false
	}
	c := string(b) != d.content
	d.content = string(b)
	return c
}

// reload takes in the settings that can change while the host runs: those of the
// stop. All others need a restart.
func (d *daemon) reload(why string) {
	s, err := platform.Load(d.path)
	if err != nil {
		d.log.Log("reload", "by", why, "outcome", "kept", "err", err)
		return
	}
	d.settings.Grace = s.Grace
	d.log.Log("reload", "by", why, "outcome", "taken", "grace", s.Grace)
}

// fail ends the host as stop does, after a part that it cannot do without has ended with
// the error.
func (d *daemon) fail(err error) int {
	d.log.Log("stop", "outcome", "failed", "err", err)
	d.stop()
	return exitFailed
}

// stop ends the host without harm to requests: it is named in look-ups no more, asks
// callers to leave, refuses what would outlast it, and ends after the last request.
func (d *daemon) stop() int {
	began := time.Now()
	s := newSchedule(began, d.settings.Grace)
	d.log.Log("stop", "outcome", "begun", "grace", d.settings.Grace)
	d.edge.Leave(s.giveUp)
	d.ingress.Leave()
	time.Sleep(time.Until(s.close))
	ctx, cancel := context.WithDeadline(context.Background(), s.end)
	defer cancel()
	linked := make(chan error, 1)
	go func() {
		// Other hosts are told to leave even if a caller holds up the ingress until the end.
		linked <- d.link.Stop(ctx)
	}()
	err := errors.Join(d.ingress.Stop(ctx), <-linked)
	d.log.Log("stop", "outcome", "ended", "took", time.Since(began), "err", err)
	d.log.Close(lastLines)
	return exitOK
}
