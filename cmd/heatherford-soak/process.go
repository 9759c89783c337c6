package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// raceOptions is the environment of hosts: a program that is built with the race detector
// ends as soon as it would without.
const raceOptions = "GORACE=atexit_sleep_ms=0"

// process is a host as a separate process.
type process struct {
	name string
	zone string
	// ip is the address of the host, and of its end of connections to endpoints.
	ip       netip.Addr
	settings string
	program  string
	callers  string
	lookups  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// started counts the starts.
	started int
	// terminated and killed are true once SIGTERM or SIGKILL was sent to the process that
	// was started last.
	terminated, killed bool
	// disruptions are those of all runs, in order.
	disruptions []disruption
	// log and errors are the standard output and standard error of all runs. They may be
	// read once the last one has ended.
	log, errors bytes.Buffer
	// report is called with the name and the end of each process that ended by a fault of
	// its own, before its end counts.
	report func(s string)
}

const (
	// firstPort and lastPort bound the ports of hosts. They lie below those that
	// the kernel gives to outgoing connections, which would take them between
	// the look and the start.
	firstPort = 15_000
	lastPort  = 32_000
)

// ports hands out ports, each once: a process that was given some may not listen yet.
type ports struct {
	// next is the first port that was not handed out.
	next int
}

// newPorts returns ports that begin anywhere, since other runs may hand out theirs.
func newPorts() *ports {
	return &ports{
		next: firstPort + rand.IntN(lastPort-firstPort),
	}
}

// take returns the first of n ports in a row that were free at an address.
func (p *ports) take(ip netip.Addr, n int) (int, error) {
	for range lastPort - firstPort {
		if p.next+n > lastPort {
			p.next = firstPort
		}
		first := p.next
		if free(ip, first, n) {
			p.next += n
			return first, nil
		}
		p.next++
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func free(ip netip.Addr, first, n int) bool {
	for p := first; p < first+n; p++ {
		l, err := net.Listen("tcp", netip.AddrPortFrom(ip, uint16(p)).String())
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// newProcess writes the settings of a host whose table is at an address.
func newProcess(free *ports, ip netip.Addr, folder, program, name, zone, region, table string) (*process, error) {
	const needed = 5
	p, err := free.take(ip, needed)
	if err != nil {
		return nil, err
	}
	x := &process{
		name:     name,
		zone:     zone,
		ip:       ip,
		program:  program,
		settings: filepath.Join(folder, name+".toml"),
		callers:  netip.AddrPortFrom(ip, uint16(p)).String(),
		lookups:  netip.AddrPortFrom(ip, uint16(p+1)).String(),
	}
	const mode = 0o600
	return x, os.WriteFile(x.settings, fmt.Appendf(nil, `node = %q
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
bounds = ["grace=6s","retryBudgetRatio=%g","budgetWindow=%s","budgetSlack=%d"]
[zones]
n1 = "north"
n2 = "north"
s1 = "south"
s2 = "south"
[listen]
front = %q
directory = %q
[limits]
cpuShare = 1.0
[platform]
address = %q
`, name, ip, zone, region, p+3, p+4, repeatRatio, repeatWindow, repeatSlack, x.callers, x.lookups, table), mode)
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.program, "-settings", p.settings)
	c.Env = append(os.Environ(), raceOptions)
	c.Stdout = &p.log
	c.Stderr = &p.errors
	begin, beginErrors := p.log.Len(), p.errors.Len()
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd = c
	p.done = done
	p.started++
	p.recover(time.Now())
	p.terminated = false
	p.killed = false
	go func() {
		defer close(done)
		// The state tells what the error does.
		_ = c.Wait()
		p.mu.Lock()
		e := ending{
			terminated: p.terminated,
			killed:     p.killed,
			state:      c.ProcessState,
			output:     p.log.Bytes()[begin:],
			errors:     p.errors.Bytes()[beginErrors:],
		}
		p.mu.Unlock()
		if b := e.breach(); b != "" {
			p.report(p.name + " " + b)
		}
	}()
	return nil
}

// use sets the program of the next start.
func (p *process) use(program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// starts returns the number of starts so far.
func (p *process) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// signal sends a signal to the process that start started last.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.disrupt(s, time.Now())
	p.terminated = p.terminated || s == syscall.SIGTERM
	p.killed = p.killed || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s)
}

// gone returns a channel that is closed when the process that start started last has ended.
func (p *process) gone() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// end waits for the process to end by itself for up to a time, then kills it. The kill is a part
// of the stop before it.
func (p *process) end(d time.Duration) {
	done := p.gone()
	select {
	case <-done:
	case <-time.After(d):
		p.mu.Lock()
		p.killed = true
		_ = p.cmd.Process.Kill()
		p.mu.Unlock()
		<-done
	}
}
