package routing

import "slices"

// Regions are the regions in which requests may be handled: nil is any, and none of them
// is nowhere.
type Regions []string

// And returns the regions that both allow.
func (r Regions) Intersect(other Regions) Regions {
	if r == nil {
		return other
	}
	if other == nil {
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	return both
}
