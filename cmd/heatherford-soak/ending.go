package main

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
)

// excerptBytes is the length of the output that a report of an unexpected end quotes.
const excerptBytes = 2 << 10

// faultMarks are the texts by which the runtime, the race detector and net/http report a fault
// of the program to standard error.
var faultMarks = [...]string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "http: panic serving "}

// ending is how a run of a process ended.
type ending struct {
	// terminated and killed are true if the soak had sent SIGTERM or SIGKILL.
	terminated, killed bool
	state              *os.ProcessState
	// output and errors are what the run wrote to standard output and standard error.
	output, errors []byte
}

// breach returns what a run shows of a fault of the program: it ended without a signal of the
// soak, a planned stop failed, or a panic or a data race was reported. It is empty if there is
// none.
func (e *ending) breach() string {
	if i := faultIn(e.errors); i >= 0 {
		s := e.errors[i:]
		return fmt.Sprintf("reported a fault (%s):\n%s", e.state, s[:min(len(s), excerptBytes)])
	}
	if e.isPlanned() {
		return ""
	}
	return fmt.Sprintf("ended by itself (%s), its last output:\n%s%s", e.state, last(e.output), last(e.errors))
}

// last returns the end of an output.
func last(b []byte) []byte {
	return b[max(0, len(b)-excerptBytes):]
}

// isPlanned reports whether the end is what the soak's signals lead to.
func (e *ending) isPlanned() bool {
	s, ok := e.state.Sys().(syscall.WaitStatus)
	if !ok {
		return false
	}
	switch {
	case s.Signaled() && s.Signal() == syscall.SIGKILL:
		return e.killed
	case s.Signaled() && s.Signal() == syscall.SIGTERM, s.Exited() && s.ExitStatus() == 0:
		return e.terminated
	default:
		return false
	}
}

// faultIn returns where the first report of a fault begins, or -1.
func faultIn(b []byte) int {
	first := -1
	for _, m := range faultMarks {
		if i := bytes.Index(b, []byte(m)); i >= 0 && (first < 0 || i < first) {
			first = i
		}
	}
	return first
}
