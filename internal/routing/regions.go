package routing

import "slices"

// Regions are the regions in which requests may be handled: nil allows every region, and an
// empty list allows none.
type Regions []string

// Intersect returns the regions that are allowed by both.
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
