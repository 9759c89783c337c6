package sessions

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// processes are the programs that a session has started, by name. Starting a
// name again, as a replaced host does, forgets the earlier process.
type processes map[string]*process

type process struct {
	command *exec.Cmd
	// ended is closed after the process has ended and exit is set.
	ended chan struct{}
	exit  int
}

const processesKey = "processes"

func (p processes) killAll() {
	for _, q := range p {
		_ = q.command.Process.Signal(syscall.SIGCONT)
		_ = q.command.Process.Kill()
		<-q.ended
	}
}

func processesOf(ts *testscript.TestScript) processes {
	return ts.Value(processesKey).(processes)
}

// cmdStart starts a program whose output goes to NAME.log:
// start NAME PROGRAM ARGS....
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "start")
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	const mode = 0o600
	f, err := os.OpenFile(ts.MkAbs(args[0]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	ts.Check(err)
	c := exec.Command(filepath.Join(bin, args[1]), args[2:]...)
	c.Dir = ts.MkAbs(".")
	c.Stdout = f
	c.Stderr = f
	ts.Check(c.Start())
	p := &process{
		command: c,
		ended:   make(chan struct{}),
	}
	go func() {
		defer close(p.ended)
		defer f.Close()
		err := c.Wait()
		var e *exec.ExitError
		if errors.As(err, &e) {
			p.exit = e.ExitCode()
		}
	}()
	processesOf(ts)[args[0]] = p
}

var signals = map[string]os.Signal{
	"CONT": syscall.SIGCONT,
	"HUP":  syscall.SIGHUP,
	"INT":  syscall.SIGINT,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"TERM": syscall.SIGTERM,
}

// cmdSignal sends a signal to a started program: signal NAME TERM.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "signal")
	if len(args) != 2 || signals[args[1]] == nil || processesOf(ts)[args[0]] == nil {
		ts.Fatalf("usage: signal NAME CONT|HUP|INT|KILL|STOP|TERM")
	}
	p := processesOf(ts)[args[0]].command.Process
	ts.Check(p.Signal(signals[args[1]]))
	for args[1] == "STOP" && !stopped(ts, p.Pid) {
		<-time.After(time.Millisecond)
	}
}

// stopped reports whether all threads of a process are stopped.
func stopped(ts *testscript.TestScript, pid int) bool {
	s, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	ts.Check(err)
	for _, f := range s {
		b, err := os.ReadFile(f)
		ts.Check(err)
		_, state, _ := strings.Cut(string(b), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// cmdEnded waits for a program to end with the exit code, -1 standing for an
// end by signal: ended NAME 0.
func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "ended")
	if len(args) != 2 || processesOf(ts)[args[0]] == nil {
		ts.Fatalf("usage: ended NAME EXIT_CODE")
	}
	p := processesOf(ts)[args[0]]
	select {
	case <-p.ended:
	case <-time.After(untilDeadline):
		ts.Fatalf("ended: %s still runs", args[0])
	}
	if got := fmt.Sprint(p.exit); got != args[1] {
		ts.Fatalf("ended: %s ended with %s, expected %s", args[0], got, args[1])
	}
}
