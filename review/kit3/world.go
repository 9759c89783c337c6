package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"

	"heatherford/standin/rows"
)

const (
	// hostsPerZone is the number of hosts in each zone.
	hostsPerZone = 2
	// startTime is how long the hosts may take until they are of use.
	startTime = 10 * time.Second
	// stableWindow, drain and configApply are bounds of the users' small deployments.
	stableWindow = 3 * time.Second
	drain        = 2 * time.Second
	configApply  = 2 * time.Second
)

// zone is an availability zone.
type zone struct {
	name   string
	region string
}

// world is the hosts and stand-ins of a case.
type world struct {
	record *record
	folder string
	// run is the command of the deploy file.
	run     []string
	trouble bool
	zones   []zone
	hosts   []*host
	servers []*server
	table   *rows.Table
	// store serves the table.
	store *storeAddress
	// stores are all addresses of the store so far.
	stores []*storeAddress
	// block is the third byte of the loopback addresses of the hosts.
	block byte
	// version is that of the newest configuration.
	version int
	// crashes are those of servers by a request.
	crashes crashTimes
	// closed is true once everything ends.
	closed atomic.Bool
}

// storeAddress is an address of the platform's store.
type storeAddress struct {
	address string
	server  *http.Server
}

// deployment is what the deploy file says of the program.
type deployment struct {
	Roles map[string]struct {
		Run string `toml:"run"`
	} `toml:"roles"`
}

// newWorld returns a world of the zones without hosts and servers, whose store answers.
func newWorld(r *record, zones []zone, trouble bool) (*world, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	d := deployment{}
	if err := toml.Unmarshal(b, &d); err != nil {
		return nil, err
	}
	words := strings.Fields(d.Roles["edge"].Run)
	if len(words) == 0 {
		return nil, errors.New("the deploy file has no role edge")
	}
	if _, err := os.Stat(words[0]); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "heatherford-review")
	if err != nil {
		return nil, err
	}
	w := &world{
		record:  r,
		folder:  folder,
		run:     words,
		trouble: trouble,
		zones:   zones,
		table:   rows.New(),
	}
	w.block, err = freeBlock()
	if err != nil {
		return nil, err
	}
	w.store, err = w.newStore()
	return w, err
}

// freeBlock returns a block of loopback addresses at which nobody listens.
func freeBlock() (byte, error) {
	// Another case may look for one at the same time.
	const first, blocks = 60, 190
	begin := rand.IntN(blocks)
	for i := range blocks {
		b := byte(first + (begin+i)%blocks)
		if isFree(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, b, 1}), portFront).String()) {
			return b, nil
		}
	}
	return 0, errors.New("no block of loopback addresses is free")
}

// newStore serves the table at another address.
func (w *world) newStore() (*storeAddress, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeAddress{
		address: l.Addr().String(),
		server: &http.Server{
			Handler: w.table,
		},
	}
	go func() {
		// The end of the server is that of the case.
		_ = s.server.Serve(l)
	}()
	w.stores = append(w.stores, s)
	w.record.add("store answers", "address", s.address)
	return s, nil
}

func (w *world) regionOf(name string) string {
	for _, z := range w.zones {
		if z.name == name {
			return z.region
		}
	}
	return ""
}

// addHosts adds the hosts of each zone, which startHosts starts.
func (w *world) addHosts() {
	for _, z := range w.zones {
		for i := range hostsPerZone {
			n := fmt.Sprintf("front-%s-%d", z.name, i+1)
			w.hosts = append(w.hosts, &host{
				name:     n,
				zone:     z.name,
				ip:       netip.AddrFrom4([4]byte{127, 0, w.block, byte(1 + len(w.hosts))}),
				settings: filepath.Join(w.folder, n+".toml"),
				world:    w,
			})
		}
	}
}

// startHosts starts the hosts and waits until they are ready.
func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.writeSettings(w.store.address); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// awaitReady waits until all hosts say that they are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.ready() {
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %s", startTime)
}

// ready reports whether all hosts say that they are ready.
func (w *world) ready() bool {
	c := http.Client{
		Timeout: time.Second,
	}
	for _, h := range w.hosts {
		a, err := c.Get("http://" + netip.AddrPortFrom(h.ip, portReady).String() + "/ready")
		if err != nil {
			return false
		}
		a.Body.Close()
		if a.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends everything that the case has started, and writes down what the hosts have logged.
func (w *world) close() {
	w.closed.Store(true)
	for _, h := range w.hosts {
		h.stop()
	}
	for _, s := range w.servers {
		s.stop()
	}
	for _, s := range w.stores {
		_ = s.server.Close()
	}
	for _, h := range w.hosts {
		w.record.add("host", "name", h.name, "most_bytes", h.peakBytes(), "killed_for_memory", len(h.killed()), "ends", len(h.ended()))
		if d := os.Getenv("LOGS"); d != "" {
			const mode = 0o600
			_ = os.WriteFile(filepath.Join(d, h.name+".log"), h.output.Bytes(), mode)
		}
	}
	_ = os.RemoveAll(w.folder)
}
