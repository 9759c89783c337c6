package wire

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// Step is the step of an exchange that failed.
type Step string

// The steps of an exchange.
const (
	StepDial  Step = "dial"
	StepProof Step = "proof"
	StepWrite Step = "write"
	StepHead  Step = "head"
	StepBody  Step = "body"
)

// Failure says why an exchange has no whole answer. It is immutable.
type Failure struct {
	Step Step
	// Sent is true if the peer may have all of the request. It is false only
	// when at least one byte that the peer needs was never written.
	Sent bool
	// Silent is true if the connection made no progress for too long.
	Silent bool
	// MayRun is true if the peer may still be at work on the request.
	MayRun bool
	// Reused is true if the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Silent {
		return fmt.Sprintf("wire: %s: the connection is silent", f.Step)
	}
	return fmt.Sprintf("wire: %s: %v", f.Step, f.Cause)
}

// WorthRetry reports whether a request that may be repeated should be sent once
// more on a new connection after err. That is asked of again unless the used
// connection went silent: then the peer has most likely not seen the request,
// and each such retry costs a connection, whose number and rate are bounded.
// A nil again stands for yes.
func WorthRetry(ctx context.Context, err error, again func() bool) bool {
	f := (*Failure)(nil)
	if !errors.As(err, &f) || !f.Reused || ctx.Err() != nil {
		return false
	}
	return f.Silent || again == nil || again()
}

// SilentBody reports whether the answer broke off since nothing more came, for too long or
// until the call's deadline.
func (f *Failure) SilentBody() bool {
	return f.Step == StepBody && (f.Silent || isTimeout(f.Cause))
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// Reasons why an answer is not the whole answer to its request.
var (
	// ErrForeign is the cause if the answer names another request.
	ErrForeign = errors.New("the answer belongs to another request")
	// ErrFraming is the cause if the answer's end cannot be known.
	ErrFraming = errors.New("the answer states no length")
	// ErrTrailing is the cause if bytes follow the answer's end.
	ErrTrailing = errors.New("bytes follow the end of the answer")
	// ErrTooLarge is the cause if the answer exceeds a bound.
	ErrTooLarge = errors.New("the answer is too large")
	// ErrSpliced is the cause if an answer broke off within its head and another
	// one began there.
	ErrSpliced = errors.New("an answer begins within the head of another")
	// ErrHead is the cause if an answer's head can be read in more than one way.
	ErrHead = errors.New("the head of the answer is malformed")
	// ErrStatus is the cause if an answer's status is none of HTTP.
	ErrStatus = errors.New("the status of the answer is none")
	// ErrInterim is the cause if too many or unusable interim answers came.
	ErrInterim = errors.New("unusable interim answer")
	// ErrNoProof is the cause if the peer did not prove the connection alive.
	ErrNoProof = errors.New("no 100 Continue")
	// ErrClosed is the cause after Close.
	ErrClosed = errors.New("the pool is closed")
)

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
