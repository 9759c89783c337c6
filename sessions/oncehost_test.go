package sessions

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"heatherford/standin/relay"
)

// onceHost is one daemon.
type onceHost struct {
	name     string
	settings string
	// toCallers and toPeers are the relays before its listeners.
	toCallers *relay.Relay
	toPeers   *relay.Relay

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// killed is true from a kill until the next start.
	killed bool
}

// write writes the settings but for the platform's URL, which comes later.
func (h *onceHost) write(zone string, own []string) error {
	b, err := json.Marshal(map[string]any{
		"host":              h.name,
		"availability_zone": zone,
		"region":            onceRegion,
		"caller_address":    own[0],
		"peer_address":      own[1],
		"operator_address":  own[2],
		"collector_address": own[3],
		"log":               map[string]any{"level": "warn"},
		"operators":         map[string]any{"open": true},
		"peers":             map[string]any{"open": true},
		"platform":          map[string]any{"adapter": "http", "url": "PLATFORM"},
	})
	if err != nil {
		return err
	}
	const mode = 0o600
	return os.WriteFile(h.settings, b, mode)
}

// start starts the daemon, whose log goes to its name's file.
func (h *onceHost) start(dir string) error {
	const mode = 0o600
	f, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(bin, "heatherfordd"), "-settings", h.settings)
	c.Stdout = f
	c.Stderr = f
	if err := c.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = c
	h.killed = false
	h.ended = make(chan struct{})
	go func(ended chan struct{}) {
		defer close(ended)
		defer f.Close()
		_ = c.Wait()
	}(h.ended)
	return nil
}

// signal sends a signal to the daemon.
func (h *onceHost) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
}

// wait waits for the daemon's end.
func (h *onceHost) wait() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

// kill kills the daemon and waits for its end. It reports false if that was
// done before.
func (h *onceHost) kill() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		return false
	}
	h.killed = true
	_ = h.command.Process.Kill()
	<-h.ended
	return true
}
