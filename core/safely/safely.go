// Package safely turns panics into errors.
package safely

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// maxStackBytes is the most bytes of a stack that are kept: some thirty calls.
const maxStackBytes = 8 << 10

// PanicError is a panic as an error.
type PanicError struct {
	// Value is what panic was called with.
	Value any
	// Stack is the stack of the goroutine that panicked, the innermost calls first. It
	// may be cut at its end.
	Stack string
}

// Error implements error.
func (p *PanicError) Error() string {
	return fmt.Sprintf("panic: %v", p.Value)
}

// Unwrap returns the value if it is an error.
func (p *PanicError) Unwrap() error {
	err, _ := p.Value.(error)
	return err
}

// Run calls f and returns its error, or a *PanicError if it panics. It cannot stop what
// ends a process at once, such as a concurrent write to a map.
func Run(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			b := debug.Stack()
			err = &PanicError{
				Value: v,
				Stack: string(b[:min(len(b), maxStackBytes)]),
			}
		}
	}()
	return f()
}

// Logged is Run, and writes a log line of the kind panic if f panics. In names what is
// interrupted then.
func Logged(log func(kind string, pairs ...any), in string, f func() error) error {
	err := Run(f)
	p := (*PanicError)(nil)
	if errors.As(err, &p) {
		log("panic", "in", in, "err", p, "stack", p.Stack)
	}
	return err
}
