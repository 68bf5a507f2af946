package dispatch

import "time"

// steps divides time into steps and numbers the last few of them as in a ring, for
// sums over a sliding window.
type steps struct {
	length time.Duration
	kept   int
	now    int64
}

// place returns the place in the ring of the step so many steps before the present one.
func (s *steps) place(age int64) int {
	kept := int64(s.kept)
	return int(((s.now-age)%kept + kept) % kept)
}

// advance moves to the step of a time and returns its place in the ring. It calls
// empty for each place whose step has left the window.
func (s *steps) advance(now time.Time, empty func(place int)) int {
	step := now.UnixNano() / int64(s.length)
	kept := int64(s.kept)
	for gone := min(step-s.now, kept); gone > 0; gone-- {
		empty(int((step - gone + 1) % kept))
	}
	s.now = step
	return int(step % kept)
}
