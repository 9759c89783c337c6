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
	Host   string `json:"host"`
	Zone   string `json:"availability_zone"`
	Region string `json:"region"`
	// CallerAddress is where the daemon listens for callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// PeerAddress is where the daemon listens for other daemons.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// OperatorAddress is where the daemon listens for operators.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// CollectorAddress is where the daemon serves its metrics.
	CollectorAddress netip.AddrPort `json:"collector_address"`
	Platform         Platform       `json:"platform"`
	Operators        Operators      `json:"operators,omitempty"`
	Peers            Peers          `json:"peers,omitempty"`
	Log              Log            `json:"log,omitempty"`
	Limits           Limits         `json:"limits,omitempty"`
	// Policy says how endpoints are chosen; the default is PolicyOwners.
	Policy string `json:"policy,omitempty"`
}

// Policies.
const (
	// PolicyOwners sends to each endpoint from the one host that owns it.
	PolicyOwners = "owners"
	// PolicyIndependent makes every host choose for itself, by the load that
	// endpoints report. It is the baseline of measurements.
	PolicyIndependent = "independent"
)

// Platform says how to reach the platform's service.
type Platform struct {
	// Adapter is the name of a registered adapter.
	Adapter string `json:"adapter"`
	URL     string `json:"url"`
}

// Log says what is logged and how.
type Log struct {
	// Level is one of debug, info, warn and error.
	Level string `json:"level,omitempty"`
	// Format is logfmt or json.
	Format string `json:"format,omitempty"`
}

// Limits bound what callers and peers may cost a daemon.
type Limits struct {
	// RequestBytes is the longest body of a request.
	RequestBytes int64 `json:"request_bytes,omitempty"`
	// LookupTTL is how long callers may cache a look-up.
	LookupTTL strict.Duration `json:"lookup_ttl,omitempty"`
	// ClaimWrites is how many of the platform's writes a second all hosts
	// together use for work that may not be repeated.
	ClaimWrites int `json:"claim_writes,omitempty"`
	// StopDeadline is the longest that a planned stop takes.
	StopDeadline strict.Duration `json:"stop_deadline,omitempty"`
	// TimelineEvents is how many events the daemon keeps for the time line: 0
	// stands for the kernel's default, -1 for none.
	TimelineEvents int `json:"timeline_events,omitempty"`
	// RollUpInterval is the shortest time between two writings of the daemon's
	// roll-up; with many hosts it is longer. Zero stands for the kernel's
	// default.
	RollUpInterval strict.Duration `json:"roll_up_interval,omitempty"`
}

const (
	defaultRequestBytes = 1 << 20
	defaultClaimWrites  = 250
	defaultLookupTTL    = 2 * time.Second
	defaultStopDeadline = 30 * time.Second
)

// Load reads the settings file and returns every problem it finds.
func Load(path string) (*Settings, []error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{code.Wrap(code.SettingsUnreadable, err, "settings: cannot read settings")}
	}
	return Parse(b)
}

// Parse reads settings, fills in defaults and returns every problem it finds.
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

// Complete fills in defaults and returns every breach of a rule. Settings that
// are not parsed from a file are completed before use.
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
