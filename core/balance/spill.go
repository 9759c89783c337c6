package balance

import "time"

const (
	// farSlope is how much of a zone's work may change its region in a second.
	// Two seconds of it and of the allowance stay below the least bound that
	// operators set, 0.15.
	farSlope = 0.04
	// nearSlope is the same for other zones of the own region, where nothing
	// bounds it but that loads are learned with some delay.
	nearSlope = 0.25
	// highUse and lowUse are the uses of slots at which work begins to leave
	// and to return.
	highUse = 0.8
	lowUse  = 0.6
	// useGap is how much freer the other place has to be.
	useGap = 0.12
	// highMisses and lowMisses are the rates of missing objects at which work
	// begins to leave and may return, and missGap how much lower they have to
	// be elsewhere.
	highMisses = 0.12
	lowMisses  = 0.05
	missGap    = 0.05
	// mostSpill leaves some work at home, so that its room is seen.
	mostSpill = 0.9
	// startUse is the use of all slots that is assumed before traffic shows it.
	startUse = 0.8
)

// Shares are the parts of a zone's work for an upstream that leave it.
type Shares struct {
	// Near goes to other zones of the region.
	Near float64 `json:"near,omitempty"`
	// Far goes to other regions.
	Far float64 `json:"far,omitempty"`
	// RegionUse and FarUse are the uses of slots there, of which 1 is all.
	RegionUse float64 `json:"region_use,omitempty"`
	FarUse    float64 `json:"far_use,omitempty"`
}

// Uses are the uses of slots in the places where a zone's work may go, of which
// 1 is all slots. A negative one means that there are no slots.
type Uses struct {
	Zone   float64
	Region float64
	Far    float64
	// ZoneMisses and FarMisses are the rates at which endpoints no longer have
	// an object ready that they served lately.
	ZoneMisses float64
	FarMisses  float64
}

// StartShares returns the shares before any traffic was seen: what the zone's
// part of all slots leaves over, if all zones ask for as much.
func StartShares(zone, region, total float64, zones, zonesOfRegion int) Shares {
	if total <= 0 || zones == 0 || zonesOfRegion == 0 {
		return Shares{}
	}
	bears := func(slots float64, n int) float64 {
		asked := float64(n) / float64(zones) * startUse
		return min(1, slots/total/asked)
	}
	far := 1 - bears(region, zonesOfRegion)
	near := max(0, 1-bears(zone, 1)-far)
	return Shares{
		Near: min(mostSpill, near),
		Far:  min(mostSpill, far),
	}
}

// Step returns the shares after a time in which the uses held.
func (s Shares) Step(u Uses, d time.Duration) Shares {
	t := d.Seconds()
	s.RegionUse = u.Region
	s.FarUse = u.Far
	s.Far = clamp(s.Far + farSlope*t*farDirection(u))
	s.Near = min(1-s.Far, clamp(s.Near+nearSlope*t*direction(u.Zone, u.Region)))
	return s
}

// farDirection returns whether work should leave the region, between -1 and 1:
// because its slots are used, or because its endpoints cannot keep all objects
// ready.
func farDirection(u Uses) float64 {
	d := direction(own(u), u.Far)
	if u.Far < 0 || u.Far > highUse || d > 0 {
		return d
	}
	switch {
	case u.ZoneMisses > highMisses && u.FarMisses < u.ZoneMisses-missGap:
		return 1
	case u.ZoneMisses > lowMisses:
		return max(0, d)
	default:
		return d
	}
}

// own returns the use of the whole region's slots.
func own(u Uses) float64 {
	switch {
	case u.Zone < 0:
		return u.Region
	case u.Region < 0:
		return u.Zone
	default:
		// Work leaves the region only if neither place has room.
		return min(u.Zone, max(u.Region, u.Zone-useGap))
	}
}

// direction returns whether work should go from a place to another, between -1
// and 1.
func direction(from, to float64) float64 {
	switch {
	case to < 0:
		return -1
	case from < 0:
		return 1
	case from > highUse && to < from-useGap:
		return 1
	case to > from+useGap && to > highUse:
		return -1
	case from < lowUse:
		return -0.5
	default:
		return 0
	}
}

func clamp(x float64) float64 {
	return min(mostSpill, max(0, x))
}
