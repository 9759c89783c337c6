package code

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
)

// Code is a result code. The zero value stands for no result.
type Code int

// Codes of settings and declarations.
const (
	SettingsUnreadable Code = 1001
	SettingsSyntax     Code = 1002
	SettingsUnknown    Code = 1003
	SettingsType       Code = 1004
	SettingsMissing    Code = 1005
	SettingsValue      Code = 1006
)

// Codes of the operators' interface.
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

// Codes of requests that were not run.
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
	// RequestQuarantined is the code of requests that crash the endpoints that run them.
	RequestQuarantined Code = 3022
	// HostIsolated is the code of a host that reaches no endpoint.
	HostIsolated Code = 3023
	// NotAnEndpoint is the code of requests that a host sent to another one as if that were
	// an endpoint.
	NotAnEndpoint Code = 3024
)

// Codes of requests whose outcome is unknown.
const (
	OutcomeUnknown     Code = 4001
	AnswerIncomplete   Code = 4002
	AnswerForeign      Code = 4003
	UpstreamSilent     Code = 4004
	OutcomeUnrecorded  Code = 4005
	OutcomeDiscarded   Code = 4006
	RepeatableNoAnswer Code = 4007
	// CopyRefused means that this copy of non-repeatable work was refused by a host that
	// does not know whether another copy was run.
	CopyRefused Code = 4008
	// HomeGone is the answer of a host to a forwarded request whose home is another
	// process, such as an earlier process of the same host.
	HomeGone Code = 4009
)

// Codes of requests that an upstream answered.
const (
	Answered Code = 5000
)

// Codes of the platform and of calls between hosts.
const (
	PlatformDown     Code = 6001
	PlatformConflict Code = 6002
	PlatformUnknown  Code = 6003
	PeerUnreachable  Code = 6004
	PeerDenied       Code = 6005
	ObjectMissing    Code = 6006
)

// Outcome says whether a request was run, as far as that is known.
type Outcome string

// The outcomes of a request.
const (
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "outcome_unknown"
	Executed Outcome = "answered"
	// NoRequest is the outcome of a code that is not about a request for work.
	NoRequest Outcome = ""
)

// Outcome returns what c says about the execution of the request.
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

// Error is an error with a result code. It is immutable.
type Error struct {
	// Code is never zero.
	Code Code
	// Path is the path of the invalid field, such as "regions[1].cap", or is empty.
	Path string
	// Message is a short sentence without a final full stop. It begins with the name of
	// the package, unless Path is set, which then precedes it.
	Message string
	// Cause is the wrapped error, or nil.
	Cause error
}

// Error implements error. The text ends with the code in brackets.
func (e *Error) Error() string {
	return fmt.Sprintf("%s [%d]", e.Text(), e.Code)
}

// Text returns the message followed by the messages of the causes, without codes.
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

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns an error with the code c and a message formatted as by fmt.Sprintf.
func New(c Code, format string, args ...any) error {
	return &Error{
		Code:    c,
		Message: fmt.Sprintf(format, args...),
	}
}

// At is like New, for an error in the field at path.
func At(c Code, path, format string, args ...any) error {
	return &Error{
		Code:    c,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	}
}

// Wrap returns an error with the code c and the cause err. It records the call stack for
// trace.DebugReport, which costs a stack walk.
func Wrap(c Code, err error, format string, args ...any) error {
	return &Error{
		Code:    c,
		Message: fmt.Sprintf(format, args...),
		Cause:   trace.Wrap(err),
	}
}

// Text returns the text of the outermost Error in err, without codes. If err holds no
// Error, it returns err.Error().
func Text(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Text()
	}
	return err.Error()
}

// Of returns the code of the outermost Error in err, or zero if there is none.
func Of(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// defaultStatus returns the HTTP status of a code to which Status assigns none of its
// own.
func (c Code) defaultStatus() int {
	if c.Outcome() == Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Status returns the HTTP status of an answer with the code c.
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
	case NotAnEndpoint:
		return http.StatusMisdirectedRequest
	case DeadlinePassed:
		return http.StatusGatewayTimeout
	case RequestInvalid, TicketRequired, TicketInvalid, LookupInvalid,
		DeclarationInvalid, OperatorInput, PlanOverload:
		return http.StatusBadRequest
	case Answered:
		return http.StatusOK
	default:
		return c.defaultStatus()
	}
}
