package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherford/standin/rows"
)

// heartbeat is how often an endpoint writes its entry.
const heartbeat = 1500 * time.Millisecond

// world is the store, the endpoints and the hosts of a case.
type world struct {
	program string
	folder  string
	began   time.Time
	table   *rows.Table
	store   *http.Server
	address string
	hosts   []*host

	mu     sync.Mutex
	record *os.File
}

// newWorld starts the store.
func newWorld(record, program string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-kit")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		program: program,
		folder:  folder,
		began:   time.Now(),
		table:   rows.New(),
		address: l.Addr().String(),
		record:  f,
	}
	w.store = &http.Server{
		Handler:           w.table,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		// The store ends with the program.
		_ = w.store.Serve(l)
	}()
	return w, nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all hosts and the store.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	_ = w.store.Close()
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// longest is how long a case may take.
const longest = 115 * time.Second

// closeAtEnd ends the program with all hosts if it is to stop, or takes too long. The returned
// function ends the watch.
func (w *world) closeAtEnd() func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	late := time.NewTimer(longest)
	done := make(chan struct{})
	go func() {
		select {
		case <-signals:
		case <-late.C:
		case <-done:
			return
		}
		w.note("not run: stopped before the end")
		w.close()
		os.Exit(exitNotRun)
	}()
	return func() { close(done) }
}

// put writes a row with a value in JSON.
func (w *world) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.table.Put(table, key, string(b))
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	name, prefix, kind, service, timeout string
}

// configure writes the operator's configuration.
func (w *world) configure(routes []routeSpec, services []string) {
	resources := []any{}
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"resourceKind": "routes",
			"metadata":     map[string]any{"name": r.name},
			"spec": map[string]any{
				"host": siteHost, "prefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "targetLatency": "800ms",
				"priority": 1, "service": r.service, "maxAttempts": 2, "sessionAffinity": true, "allowedRegions": []string{},
			},
		})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{
			"resourceKind": "services",
			"metadata":     map[string]any{"name": s},
			"spec": map[string]any{
				"healthPath": "/health", "maxConnections": 660, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 9.7,
			},
		})
	}
	resources = append(resources, map[string]any{
		"resourceKind": "limits",
		"metadata":     map[string]any{},
		"spec": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
		},
	})
	w.put("op", "config", map[string]any{
		"version":   configVersion,
		"resources": resources,
	})
	w.note("operator: configuration %s is acknowledged", configVersion)
}

// configVersion is the version of the configuration.
const configVersion = "r7"

// siteHost is the host of all routes.
const siteHost = "jepu9.example"

// zones are the zones and their regions.
var zones = map[string]string{
	"bne-north":   "brisbane",
	"tsv-central": "townsville",
	"gc-north":    "gold-coast",
}

// host is a process of the system.
type host struct {
	name, zone, ip         string
	front, ready, settings string
	world                  *world

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
}

// addHost starts a host with a loopback address of its own.
func (w *world) addHost(zone string) error {
	n := len(w.hosts)
	h := &host{
		name:  fmt.Sprintf("front-%s-%d", zone, n+1),
		zone:  zone,
		ip:    fmt.Sprintf("127.0.37.%d", n+1),
		world: w,
	}
	p, err := freePorts(h.ip)
	if err != nil {
		return err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", h.ip, p+i) }
	h.front = at(0)
	h.ready = at(1)
	h.settings = filepath.Join(w.folder, h.name+".toml")
	names := []string{}
	for z, r := range zones {
		names = append(names, fmt.Sprintf("%s = %q", z, r))
	}
	text := fmt.Sprintf(`node = %q
role = "edge"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat = "1500ms"
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
bounds = ["stableWindow=3000ms","drain=2000ms","grace=6s","lossSlack=200ms","configApply=2000ms","retryBudgetRatio=0.2","budgetWindow=10s","budgetSlack=124","coldOvershoot=1.5","coldSlack=5","evac=5000ms","recover=15s","ttl_max=5s","maxShift=0.15"]
[zones]
%s
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpuShare = 0.224
cores = 1
memoryMb = %d
maxFds = 2870
linkMbps = 700.0
[platform]
address = %q
form = "table"
`, h.name, h.ip, h.zone, zones[h.zone], p+3, p+8, strings.Join(names, "\n"), h.front, h.ready, at(2), memoryMB, w.address)
	const mode = 0o600
	if err := os.WriteFile(h.settings, []byte(text), mode); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return h.start()
}

// memoryMB is what a process of a host may use.
const memoryMB = 206

// freePorts returns the first of some ports in a row that are free at an address.
func freePorts(ip string) (int, error) {
	const first, last, row = 17_000, 31_000, 10
	for p := first + os.Getpid()%1000*row; p < last; p += row {
		free := true
		for i := range row {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return p, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// start starts the process of a host.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p, err := os.StartProcess(h.world.program, []string{h.world.program}, &os.ProcAttr{
		Env: []string{
			"PATH=" + os.Getenv("PATH"),
			"HOME=" + os.Getenv("HOME"),
			"HEATHERFORD_NODE_FILE=" + h.settings,
		},
		Files: []*os.File{nil, log, log},
	})
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process = p
	h.ended = ended
	h.mu.Unlock()
	h.world.note("host %s: process started", h.name)
	go func() {
		s, err := p.Wait()
		h.world.note("host %s: process ended: %v %v", h.name, s, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A process that has ended takes no signal.
	_ = h.process.Signal(s)
}

// kill kills the process of a host and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

// untilReady waits until all hosts say that they are ready.
func (w *world) untilReady() error {
	const limit, pause = 15 * time.Second, 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		n := 0
		for _, h := range w.hosts {
			if h.isReady() {
				n++
			}
		}
		if n == len(w.hosts) {
			w.note("all %d hosts are ready", n)
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %s", limit)
}

func (h *host) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}
