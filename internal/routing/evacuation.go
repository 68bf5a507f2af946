package routing

import (
	"sort"
	"time"
)

// Evacuation is a place whose upstreams receive no new requests until the operators revoke
// the evacuation.
type Evacuation struct {
	Place    string    `json:"place"`
	Revision uint64    `json:"revision"`
	Since    time.Time `json:"since"` // when this router learned of it
}

// EvacuatedPlaces returns the set of evacuated places.
func EvacuatedPlaces(list []Evacuation) map[string]bool {
	out := map[string]bool{}
	for _, e := range list {
		out[e.Place] = true
	}
	return out
}

// placeState is the state of a place as set by the operators at a revision. It is kept
// after the evacuation is revoked, so that older data does not evacuate the place again.
type placeState struct {
	evacuated bool
	rev       uint64
	since     time.Time
	unlisted  bool // evacuated, but missing from the copy of a restored store
}

// SetEvacuated records the state of a place as written by the operators at a revision. It
// reports whether the state changed.
func (v *View) SetEvacuated(place string, evacuated bool, rev uint64, now time.Time) bool {
	v.advance(rev)
	p := v.places[place]
	if p == nil {
		p = &placeState{}
		v.places[place] = p
	}
	if rev < p.rev {
		return false
	}
	p.rev, p.unlisted = rev, false
	if p.evacuated == evacuated {
		return false
	}
	p.evacuated, p.since = evacuated, now
	return true
}

// ReplaceEvacuations replaces all evacuations as of a revision; those that are not listed
// have been revoked. It must be called before Replace, which advances AsOf.
func (v *View) ReplaceEvacuations(list []Evacuation, asOf uint64, now time.Time) {
	if asOf < v.AsOf {
		return
	}
	listed := EvacuatedPlaces(list)
	for _, e := range list {
		v.SetEvacuated(e.Place, true, e.Revision, now)
	}
	for place, p := range v.places {
		switch {
		case listed[place] || !p.evacuated || p.rev > asOf:
		case now.Before(v.restoreGraceUntil):
			p.unlisted = true
		default:
			v.SetEvacuated(place, false, asOf, now)
		}
	}
}

// Evacuations returns all evacuated places, sorted by name.
func (v *View) Evacuations() []Evacuation {
	var out []Evacuation
	for place, p := range v.places {
		if p.evacuated {
			out = append(out, Evacuation{Place: place, Revision: p.rev, Since: p.since})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Place < out[j].Place })
	return out
}
