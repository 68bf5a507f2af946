package dispatch

import "time"

// steps divides time into steps and numbers the last few of them as in a ring, for
// sums over a sliding window.
type ring struct {
	interval time.Duration
	size     int
	now      int64
}

// place returns the place in the ring of the step so many steps before the present one.
func (s *ring) slot(age int64) int {
	size := int64(s.size)
	return int(((s.now-age)%size + size) % size)
}

// advance moves to the step of a time and returns its place in the ring. It calls
// empty for each place whose step has left the window.
func (s *ring) advance(now time.Time, empty func(place int)) int {
	step := now.UnixNano() / int64(s.interval)
	size := int64(s.size)
	for gone := min(step-s.now, size); gone > 0; gone-- {
		empty(int((step - gone + 1) % size))
	}
	s.now = step
	return int(step % size)
}
