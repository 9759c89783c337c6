package intent

import (
	"fmt"

	"heatherford/core/code"
	"heatherford/core/strict"
)

// Parse decodes and validates a declaration. It returns all problems of the first
// of the two steps that fails.
func Parse(data []byte) (*Declaration, []error) {
	d := &Declaration{}
	if problems := strict.Decode(data, d); len(problems) > 0 {
		return nil, problems
	}
	if problems := Validate(d); len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// Validate checks the invariants of d and returns all violations.
func Validate(d *Declaration) []error {
	v := &validator{
		ranks:     map[string]bool{},
		kinds:     map[string]bool{},
		regions:   map[string]bool{},
		zones:     map[string]bool{},
		upstreams: map[string]bool{},
		endpoints: map[string]bool{},
		sites:     map[string]bool{},
	}
	if d.Format != Format {
		v.add("format", "expected %d, found %d", Format, d.Format)
	}
	v.checkRanks(d)
	v.checkRegions(d)
	v.checkUpstreams(d)
	v.checkKinds(d)
	v.checkLinks(d)
	v.checkShifts(d)
	v.checkSites(d)
	return v.problems
}

type validator struct {
	problems  []error
	ranks     map[string]bool
	kinds     map[string]bool
	regions   map[string]bool
	zones     map[string]bool
	upstreams map[string]bool
	endpoints map[string]bool
	sites     map[string]bool
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, code.At(code.DeclarationInvalid, path, format, args...))
}

func (v *validator) checkName(set map[string]bool, path, name string) {
	switch {
	case name == "":
		v.add(path, "expected a name, found an empty string")
	case set[name]:
		v.add(path, "%q appears more than once", name)
	}
	set[name] = true
}

func (v *validator) checkKnown(set map[string]bool, path, what, name string) {
	if !set[name] {
		v.add(path, "no %s %q", what, name)
	}
}

func (v *validator) checkShare(path string, f float64) {
	if f < 0 || f > 1 {
		v.add(path, "expected a share from 0 to 1, found %v", f)
	}
}

func (v *validator) checkPositive(path string, n int) {
	if n < 1 {
		v.add(path, "expected at least 1, found %d", n)
	}
}

func (v *validator) checkRanks(d *Declaration) {
	if len(d.Ranks) == 0 {
		v.add("ranks", "expected at least one rank")
	}
	sum := 0.0
	for i, r := range d.Ranks {
		p := fmt.Sprintf("ranks[%d]", i)
		v.checkName(v.ranks, p+".name", r.Name)
		v.checkShare(p+".planned", r.Planned)
		v.checkShare(p+".floor", r.Floor)
		v.checkShare(p+".target", r.Target)
		if r.Floor > r.Planned {
			v.add(p+".floor", "expected at most planned (%v), found %v", r.Planned, r.Floor)
		}
		sum += r.Floor
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		v.add("ranks", "floors sum to %v, expected at most 1", sum)
	}
}

func (v *validator) checkRegions(d *Declaration) {
	for i, r := range d.Regions {
		p := fmt.Sprintf("regions[%d]", i)
		v.checkName(v.regions, p+".name", r.Name)
		v.checkPositive(p+".cap", r.Cap)
		for j, z := range r.Zones {
			v.checkName(v.zones, fmt.Sprintf("%s.availability_zones[%d]", p, j), z)
		}
	}
}

func (v *validator) checkUpstreams(d *Declaration) {
	for i, u := range d.Upstreams {
		p := fmt.Sprintf("upstreams[%d]", i)
		v.checkName(v.upstreams, p+".name", u.Name)
		for j, e := range u.Endpoints {
			q := fmt.Sprintf("%s.endpoints[%d]", p, j)
			v.checkName(v.endpoints, q+".name", e.Name)
			v.checkKnown(v.zones, q+".availability_zone", "availability zone", e.Zone)
			v.checkPositive(q+".slots", e.Slots)
			v.checkPositive(q+".connections", e.Connections)
			if e.Connections < e.Slots {
				v.add(q+".connections", "expected at least slots (%d), found %d", e.Slots, e.Connections)
			}
		}
	}
}

func (v *validator) checkKinds(d *Declaration) {
	for i, k := range d.Kinds {
		p := fmt.Sprintf("kinds[%d]", i)
		v.checkName(v.kinds, p+".name", k.Name)
		v.checkKnown(v.ranks, p+".rank", "rank", k.Rank)
		v.checkKnown(v.upstreams, p+".upstream", "upstream", k.Upstream)
		if k.Deadline <= 0 {
			v.add(p+".deadline", "expected more than 0s, found %v", k.Deadline.Std())
		}
		if k.Weight < 0 {
			v.add(p+".weight", "expected at least 0, found %v", k.Weight)
		}
	}
}

func (v *validator) checkLinks(d *Declaration) {
	seen := map[string]bool{}
	for i, l := range d.Links {
		p := fmt.Sprintf("links[%d]", i)
		v.checkKnown(v.regions, p+".from", "region", l.From)
		v.checkKnown(v.regions, p+".to", "region", l.To)
		v.checkPositive(p+".cap", l.Cap)
		v.checkName(seen, p, l.From+" to "+l.To)
	}
}

func (v *validator) checkShifts(d *Declaration) {
	seen := map[string]bool{}
	for i, s := range d.Shifts {
		p := fmt.Sprintf("shifts[%d]", i)
		v.checkName(seen, p+".name", s.Name)
		v.checkKnown(v.upstreams, p+".upstream", "upstream", s.Upstream)
		v.checkKnown(v.regions, p+".from", "region", s.From)
		v.checkKnown(v.regions, p+".to", "region", s.To)
		if s.From == s.To {
			v.add(p+".to", "expected a region other than from (%q)", s.From)
		}
		v.checkShare(p+".share", s.Share)
		v.checkPositive(p+".cap", s.Cap)
	}
}

func (v *validator) checkSites(d *Declaration) {
	for i, s := range d.Sites {
		p := fmt.Sprintf("sites[%d]", i)
		v.checkName(v.sites, p+".name", s.Name)
		v.checkKnown(v.zones, p+".availability_zone", "availability zone", s.Zone)
	}
	for i, b := range d.Blocks {
		p := fmt.Sprintf("blocks[%d]", i)
		v.checkKnown(v.sites, p+".site", "site", b.Site)
		if b.Prefix != b.Prefix.Masked() {
			v.add(p+".prefix", "expected %s, found %s with host bits", b.Prefix.Masked(), b.Prefix)
		}
	}
}
