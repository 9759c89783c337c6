package balance

import "time"

const (
	// maxFarRate is the part of a zone's work that may move to or from other
	// regions in a second. What moves in two seconds, with the allowance for
	// single requests, stays below the smallest bound that operators set, 0.15.
	maxFarRate = 0.04
	// maxNearRate is the same for other zones of the own region. It is bounded
	// only because loads are known with some delay.
	maxNearRate = 0.25
	// highUtilization and lowUtilization are the utilizations at which work
	// begins to leave and to return.
	highUtilization = 0.8
	lowUtilization  = 0.6
	// utilizationGap is by how much the utilization must be lower at the other
	// place.
	utilizationGap = 0.12
	// highMissRate and lowMissRate are the miss rates at which work begins to
	// leave the region and may return. missRateGap is by how much the miss rate
	// must be lower elsewhere.
	highMissRate = 0.12
	lowMissRate  = 0.05
	missRateGap  = 0.05
	// maxSpillover keeps some work in the zone, so that its load shows when it
	// has capacity again.
	maxSpillover = 0.9
	// initialUtilization is the utilization of all slots that is assumed before
	// any traffic.
	initialUtilization = 0.8
)

// Shares are the spillover shares of a zone for an upstream: the parts of its
// work that go elsewhere.
type Shares struct {
	// Near is the part that goes to other zones of the region.
	Near float64 `json:"near,omitempty"`
	// Far is the part that goes to other regions.
	Far float64 `json:"far,omitempty"`
	// RegionUse and FarUse are the utilizations of the slots there: 1 if all are
	// in use, negative if there are none.
	RegionUse float64 `json:"region_use,omitempty"`
	FarUse    float64 `json:"far_use,omitempty"`
}

// Utilization holds the utilizations of the slots at the places where a zone's
// work may go: 1 if all are in use, negative if there are none.
type Utilization struct {
	Zone   float64
	Region float64
	Far    float64
	// ZoneMisses and FarMisses are the rates of cache misses for objects that the
	// endpoints served recently.
	ZoneMisses float64
	FarMisses  float64
}

// InitialShares returns the spillover shares for the time before any traffic: the
// work that exceeds the slots of the zone and of its region, if all zones have
// the same demand. The first three arguments are numbers of slots, the last two
// numbers of zones.
func InitialShares(zone, region, total float64, zones, zonesOfRegion int) Shares {
	if total <= 0 || zones == 0 || zonesOfRegion == 0 {
		return Shares{}
	}
	servedShare := func(slots float64, n int) float64 {
		demand := float64(n) / float64(zones) * initialUtilization
		return min(1, slots/total/demand)
	}
	far := 1 - servedShare(region, zonesOfRegion)
	near := max(0, 1-servedShare(zone, 1)-far)
	return Shares{
		Near: min(maxSpillover, near),
		Far:  min(maxSpillover, far),
	}
}

// Step returns the shares after the utilizations have held for the time d.
func (s Shares) Step(u Utilization, d time.Duration) Shares {
	t := d.Seconds()
	s.RegionUse = u.Region
	s.FarUse = u.Far
	s.Far = clamp(s.Far + maxFarRate*t*farDirection(u))
	s.Near = min(1-s.Far, clamp(s.Near+maxNearRate*t*direction(u.Zone, u.Region)))
	return s
}

// farDirection returns whether work should leave the region (1) or return (-1),
// or a value between. Work leaves if the region's slots are in use, or if its
// endpoints cannot keep all objects cached.
func farDirection(u Utilization) float64 {
	d := direction(regionUtilization(u), u.Far)
	if u.Far < 0 || u.Far > highUtilization || d > 0 {
		return d
	}
	switch {
	case u.ZoneMisses > highMissRate && u.FarMisses < u.ZoneMisses-missRateGap:
		return 1
	case u.ZoneMisses > lowMissRate:
		return max(0, d)
	default:
		return d
	}
}

// regionUtilization returns the utilization of the whole region, negative if it
// has no slots.
func regionUtilization(u Utilization) float64 {
	switch {
	case u.Zone < 0:
		return u.Region
	case u.Region < 0:
		return u.Zone
	default:
		// Work leaves the region only if neither the zone nor the other zones of
		// the region have capacity.
		return min(u.Zone, max(u.Region, u.Zone-utilizationGap))
	}
}

// direction returns whether work should move to another place (1) or return (-1),
// or a value between.
func direction(from, to float64) float64 {
	switch {
	case to < 0:
		return -1
	case from < 0:
		return 1
	case from > highUtilization && to < from-utilizationGap:
		return 1
	case to > from+utilizationGap && to > highUtilization:
		return -1
	case from < lowUtilization:
		return -0.5
	default:
		return 0
	}
}

func clamp(x float64) float64 {
	return min(maxSpillover, max(0, x))
}
