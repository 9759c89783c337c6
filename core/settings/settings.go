package settings

import (
	"net/netip"
	"os"
	"time"

	"heatherford/core/code"
	"heatherford/core/strict"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	// Host is the name under which the platform lists this host.
	Host string `json:"host"`
	// Zone and Region are the names of the host's availability zone and region.
	Zone   string `json:"availability_zone"`
	Region string `json:"region"`
	// CallerAddress is the address on which the daemon listens for callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// PeerAddress is the address on which the daemon listens for other daemons.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// OperatorAddress is the address on which the daemon listens for operators.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// CollectorAddress is the address on which the daemon serves its metrics.
	CollectorAddress netip.AddrPort `json:"collector_address"`
	Platform         Platform       `json:"platform"`
	Operators        Operators      `json:"operators,omitempty"`
	Peers            Peers          `json:"peers,omitempty"`
	Log              Log            `json:"log,omitempty"`
	Limits           Limits         `json:"limits,omitempty"`
	// Policy is PolicyOwners, the default, or PolicyIndependent.
	Policy string `json:"policy,omitempty"`
}

// The policies for the choice of an endpoint.
const (
	// PolicyOwners makes all requests to an endpoint pass through the one host
	// that owns it.
	PolicyOwners = "owners"
	// PolicyIndependent makes every host choose endpoints on its own, by the load
	// that they report. It serves as the baseline in measurements.
	PolicyIndependent = "independent"
)

// Platform configures how to reach the platform's service.
type Platform struct {
	// Adapter is the name of an adapter that is registered with package store.
	Adapter string `json:"adapter"`
	URL     string `json:"url"`
}

// Log configures the log output.
type Log struct {
	// Level is one of debug, info, warn and error. The default is info.
	Level string `json:"level,omitempty"`
	// Format is logfmt, the default, or json.
	Format string `json:"format,omitempty"`
}

// Limits bounds the resources that a daemon uses. A zero value stands for the
// default.
type Limits struct {
	// RequestBytes is the maximum size of a request body in bytes.
	RequestBytes int64 `json:"request_bytes,omitempty"`
	// LookupTTL is how long callers may cache a look-up's answer.
	LookupTTL strict.Duration `json:"lookup_ttl,omitempty"`
	// ClaimWrites is the maximum rate of write transactions to the platform, a
	// second over all hosts together, for requests that may not be repeated.
	ClaimWrites int `json:"claim_writes,omitempty"`
	// StopDeadline is the maximum duration of a planned stop.
	StopDeadline strict.Duration `json:"stop_deadline,omitempty"`
	// TimelineEvents is the number of events that the daemon keeps for the time
	// line. 0 stands for the default, which package core sets, and -1 for none.
	TimelineEvents int `json:"timeline_events,omitempty"`
	// RollUpInterval is the minimum time between two writes of the daemon's
	// roll-up. With many hosts the time is longer. 0 stands for the default, which
	// package rollup sets.
	RollUpInterval strict.Duration `json:"roll_up_interval,omitempty"`
}

const (
	defaultRequestBytes = 1 << 20
	defaultClaimWrites  = 250
	defaultLookupTTL    = 2 * time.Second
	defaultStopDeadline = 30 * time.Second
)

// Load reads and parses the settings file at the path, as Parse does.
func Load(path string) (*Settings, []error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{code.Wrap(code.SettingsUnreadable, err, "settings: cannot read settings")}
	}
	return Parse(b)
}

// Parse decodes settings, fills in defaults and validates them. It returns either
// the settings or all problems that it found; values are validated only if all
// types are right.
func Parse(data []byte) (*Settings, []error) {
	s := &Settings{}
	if problems := strict.Decode(data, s); len(problems) > 0 {
		return nil, problems
	}
	if problems := s.Complete(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Complete fills in defaults and returns all invalid values. It must be called
// before use for settings that do not come from Load or Parse.
func (s *Settings) Complete() []error {
	s.setDefaults()
	return s.validate()
}

func (s *Settings) setDefaults() {
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Policy == "" {
		s.Policy = PolicyOwners
	}
	if s.Log.Format == "" {
		s.Log.Format = "logfmt"
	}
	if s.Limits.RequestBytes == 0 {
		s.Limits.RequestBytes = defaultRequestBytes
	}
	if s.Limits.ClaimWrites == 0 {
		s.Limits.ClaimWrites = defaultClaimWrites
	}
	if s.Limits.LookupTTL == 0 {
		s.Limits.LookupTTL = strict.Duration(defaultLookupTTL)
	}
	if s.Limits.StopDeadline == 0 {
		s.Limits.StopDeadline = strict.Duration(defaultStopDeadline)
	}
}
