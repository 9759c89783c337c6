package code

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
)

// Code is the number of a result. The zero value is no result.
type Code int

// Settings and declarations.
const (
	SettingsUnreadable Code = 1001
	SettingsSyntax     Code = 1002
	SettingsUnknown    Code = 1003
	SettingsType       Code = 1004
	SettingsMissing    Code = 1005
	SettingsValue      Code = 1006
)

// Operators' interface.
const (
	DeclarationInvalid Code = 2001
	PlanUnknown        Code = 2002
	PlanStale          Code = 2003
	PlanExpired        Code = 2004
	PlanOverload       Code = 2005
	OperatorDenied     Code = 2006
	OperatorInput      Code = 2007
	ConfirmRefused     Code = 2008
	ConfirmUnknown     Code = 2009
)

// Requests that were not run.
const (
	RequestInvalid   Code = 3001
	KindUnknown      Code = 3002
	DeadlinePassed   Code = 3003
	NoEndpoint       Code = 3004
	RankFull         Code = 3005
	EndpointFull     Code = 3006
	CapReached       Code = 3007
	HostStopping     Code = 3008
	HostBehind       Code = 3009
	UpstreamRefused  Code = 3010
	TicketRequired   Code = 3011
	TicketInvalid    Code = 3012
	TicketExpired    Code = 3013
	KeyMismatch      Code = 3014
	BodyTooLarge     Code = 3015
	HopRefused       Code = 3016
	RequestCancelled Code = 3017
	NotRunTombstone  Code = 3018
	LookupInvalid    Code = 3019
	GrantLapsed      Code = 3020
	ClaimFailed      Code = 3021
)

// Requests whose outcome is unknown.
const (
	OutcomeUnknown     Code = 4001
	AnswerIncomplete   Code = 4002
	AnswerForeign      Code = 4003
	UpstreamSilent     Code = 4004
	OutcomeUnrecorded  Code = 4005
	OutcomeDiscarded   Code = 4006
	RepeatableNoAnswer Code = 4007
	// CopyRefused refuses a copy of work that may not be repeated where it is
	// not known whether another copy was run.
	CopyRefused Code = 4008
	// HomeGone is what a host answers to a ticket of its predecessor.
	HomeGone Code = 4009
)

// Requests that an upstream answered.
const (
	Answered Code = 5000
)

// Platform and peers.
const (
	PlatformDown     Code = 6001
	PlatformConflict Code = 6002
	PlatformUnknown  Code = 6003
	PeerUnreachable  Code = 6004
	PeerDenied       Code = 6005
	ObjectMissing    Code = 6006
)

// Outcome says what is known of a request's execution.
type Outcome string

// The outcomes of a request.
const (
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "outcome_unknown"
	Executed Outcome = "answered"
	// NoRequest is the outcome of a result that concerns no request.
	NoRequest Outcome = ""
)

// Outcome returns what c says of the request that it was given for.
func (c Code) Outcome() Outcome {
	switch {
	case c >= 3000 && c < 4000:
		return NotRun
	case c >= 4000 && c < 5000:
		return Unknown
	case c >= 5000 && c < 6000:
		return Executed
	default:
		return NoRequest
	}
}

// Error is an error with a code. It is immutable.
type Error struct {
	// Code is never zero.
	Code Code
	// Path names the field at fault, such as "regions[1].cap", or is empty.
	Path string
	// Message is a short sentence that begins with the package's name and has
	// no final full stop. With a Path, the path takes the name's place.
	Message string
	// Cause is the error behind this one, or nil.
	Cause error
}

// Error implements error. The code stands last, in brackets.
func (e *Error) Error() string {
	return fmt.Sprintf("%s [%d]", e.Text(), e.Code)
}

// Text returns the message and those of the causes, without codes.
func (e *Error) Text() string {
	s := e.Message
	if e.Path != "" {
		s = e.Path + ": " + s
	}
	if e.Cause == nil {
		return s
	}
	return s + ": " + Text(e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns an error with the code c and a message in the manner of
// fmt.Sprintf.
func New(c Code, format string, args ...any) error {
	return &Error{
		Code:    c,
		Message: fmt.Sprintf(format, args...),
	}
}

// At is New for the field at path.
func At(c Code, path, format string, args ...any) error {
	return &Error{
		Code:    c,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	}
}

// Wrap returns an error with the code c that was caused by err. It keeps the
// place where it was called for trace.DebugReport, which costs a stack walk.
func Wrap(c Code, err error, format string, args ...any) error {
	return &Error{
		Code:    c,
		Message: fmt.Sprintf(format, args...),
		Cause:   trace.Wrap(err),
	}
}

// Text returns err's message without its code.
func Text(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Text()
	}
	return err.Error()
}

// Of returns the outermost code of err, or zero if it carries none.
func Of(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// outcomeStatus returns the status of codes that have none of their own.
func (c Code) outcomeStatus() int {
	if c.Outcome() == Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Status returns the HTTP status that goes with c.
func (c Code) Status() int {
	switch c {
	case KindUnknown, PlanUnknown, ObjectMissing:
		return http.StatusNotFound
	case PlanStale, PlatformConflict, KeyMismatch:
		return http.StatusConflict
	case PlanExpired, TicketExpired:
		return http.StatusGone
	case OperatorDenied, PeerDenied:
		return http.StatusForbidden
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case DeadlinePassed:
		return http.StatusGatewayTimeout
	case RequestInvalid, TicketRequired, TicketInvalid, LookupInvalid,
		DeclarationInvalid, OperatorInput, PlanOverload:
		return http.StatusBadRequest
	case Answered:
		return http.StatusOK
	default:
		return c.outcomeStatus()
	}
}
