package intent

// Kind returns the kind with the name. It returns false if there is none.
func (d *Declaration) Kind(name string) (Kind, bool) {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// RankIndex returns the position of the rank, or -1 if there is none. The most
// urgent rank has position 0.
func (d *Declaration) RankIndex(name string) int {
	for i, r := range d.Ranks {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// RegionOf returns the region of an availability zone, or an empty string if the
// zone is in none.
func (d *Declaration) RegionOf(zone string) string {
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

// Endpoint returns the endpoint with the name. It returns false if there is none.
func (d *Declaration) Endpoint(name string) (Endpoint, bool) {
	for _, u := range d.Upstreams {
		for _, e := range u.Endpoints {
			if e.Name == name {
				return e, true
			}
		}
	}
	return Endpoint{}, false
}
