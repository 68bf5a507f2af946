package routing

import (
	"sort"
	"time"
)

// Evacuation is a place to whose upstreams nothing more is to be sent, until the operators
// take that back.
type Evacuation struct {
	Place    string    `json:"place"`
	Revision uint64    `json:"revision"`
	Since    time.Time `json:"since"` // when this router came to know it
}

// EvacuatedPlaces returns the names of the places.
func EvacuatedPlaces(list []Evacuation) map[string]bool {
	out := map[string]bool{}
	for _, e := range list {
		out[e.Place] = true
	}
	return out
}

// placeState is what the operators want of a place, as of a revision. A place that was
// taken back is kept, so that an older reading does not evacuate it again.
type placeState struct {
	evacuated bool
	rev       uint64
	since     time.Time
	unlisted  bool // it is evacuated, and a restored store's copy does not say so
}

// Evacuate takes the operators' word on a place, written at a revision. It reports whether
// that changes anything.
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

// ReplaceEvacuations takes all evacuations as of a revision; a place that is not among
// them has been taken back. It must be called before Replace, which moves the view on.
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

// Evacuations returns every place that is evacuated, sorted.
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
