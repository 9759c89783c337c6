package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"heatherford/core/code"
	"heatherford/core/store"
)

// validator collects the problems of settings that were decoded without errors.
type validator struct {
	problems []error
}

func (s *Settings) validate() []error {
	v := &validator{}
	v.checkName("host", s.Host)
	v.checkName("availability_zone", s.Zone)
	v.checkName("region", s.Region)
	v.checkAddresses(s)
	v.checkPlatform(s.Platform)
	v.checkOperators(s.Operators, s.OperatorAddress)
	v.checkPeers(s.Peers, s.PeerAddress)
	v.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	v.checkOneOf("log.format", s.Log.Format, "logfmt", "json")
	v.checkOneOf("policy", s.Policy, PolicyOwners, PolicyIndependent)
	v.checkLimits(s.Limits)
	return v.problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, code.At(code.SettingsValue, path, format, args...))
}

func (v *validator) checkName(path, s string) {
	if s == "" {
		v.add(path, "expected a name, found an empty string")
	}
}

func (v *validator) checkOneOf(path, s string, allowed ...string) {
	for _, a := range allowed {
		if s == a {
			return
		}
	}
	v.add(path, "expected one of %s, found %q", strings.Join(allowed, ", "), s)
}

func (v *validator) checkAtLeast(path string, d, least time.Duration) {
	if d < least {
		v.add(path, "expected at least %v, found %v", least, d)
	}
}

// checkAddresses checks that all addresses have a port and that they differ.
func (v *validator) checkAddresses(s *Settings) {
	seen := map[netip.AddrPort]string{}
	check := func(path string, a netip.AddrPort) {
		if a.Port() == 0 {
			v.add(path, "expected a port from 1 to 65535, found 0")
			return
		}
		if other := seen[a]; other != "" {
			v.add(path, "expected another address than %s, found %s", other, a)
			return
		}
		seen[a] = path
	}
	check("caller_address", s.CallerAddress)
	check("peer_address", s.PeerAddress)
	check("operator_address", s.OperatorAddress)
	check("collector_address", s.CollectorAddress)
}

func (v *validator) checkPlatform(p Platform) {
	v.checkOneOf("platform.adapter", p.Adapter, store.Adapters()...)
	u, err := url.Parse(p.URL)
	if err != nil || u.Scheme == "" || u.Host == "" {
		v.add("platform.url", `expected a URL such as "http://10.0.0.1:7100", found %q`, p.URL)
	}
}

func (v *validator) checkLimits(l Limits) {
	if l.RequestBytes < 1 {
		v.add("limits.request_bytes", "expected at least 1, found %d", l.RequestBytes)
	}
	if l.TimelineEvents < -1 {
		v.add("limits.timeline_events", "expected at least -1, found %d", l.TimelineEvents)
	}
	if l.ClaimWrites < 1 {
		v.add("limits.claim_writes", "expected at least 1, found %d", l.ClaimWrites)
	}
	v.checkAtLeast("limits.lookup_ttl", l.LookupTTL.Std(), time.Millisecond)
	v.checkAtLeast("limits.roll_up_interval", l.RollUpInterval.Std(), 0)
	v.checkAtLeast("limits.stop_deadline", l.StopDeadline.Std(), time.Second)
}
