package timeline

// Kind says what an event concerns.
type Kind string

// The kinds of events.
const (
	KindConfig   Kind = "config"
	KindDrain    Kind = "drain"
	KindGrant    Kind = "grant"
	KindMember   Kind = "member"
	KindPlatform Kind = "platform"
	KindRequest  Kind = "request"
	KindShift    Kind = "shift"
	KindStop     Kind = "stop"
	KindTicket   Kind = "ticket"
	KindUpstream Kind = "upstream"
)

// Phase marks an event that begins or ends something the evening page reports.
// The subject says what: a version, a host, an endpoint or a shift. Events
// without a phase stay on the time line alone.
type Phase string

// The phases of events.
const (
	// PhaseBegun marks a begin: a confirmed version, a drain, a shift, an
	// outage of the platform, a planned stop.
	PhaseBegun Phase = "begun"
	// PhaseEnded marks the end of what has begun: a version in force at this
	// host, a drained endpoint, a finished shift, a platform that answers
	// again.
	PhaseEnded Phase = "ended"
	// PhaseFailed marks a failure: a host that others take for dead, a drain
	// that met its deadline.
	PhaseFailed Phase = "failed"
)

// Event is one thing that a daemon did or saw.
type Event struct {
	At   Stamp  `json:"at"`
	Host string `json:"host"`
	Kind Kind   `json:"kind"`
	// Phase is empty for events that the evening page does not report.
	Phase Phase `json:"phase,omitempty"`
	// Request is the identifier of the request concerned, or empty.
	Request string `json:"request,omitempty"`
	// Subject is the endpoint, host, version or ticket concerned, or empty.
	Subject string `json:"subject,omitempty"`
	// Text is a short sentence.
	Text string `json:"text"`
}
