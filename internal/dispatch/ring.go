package dispatch

import "time"

// ring divides time into steps and maps the latest size steps to the slots of a ring
// buffer, for sums over a sliding window.
type ring struct {
	interval time.Duration
	size     int
	now      int64 // number of the current step
}

// slot returns the slot of the step that is age steps before the current one.
func (s *ring) slot(age int64) int {
	size := int64(s.size)
	return int(((s.now-age)%size + size) % size)
}

// stepOf returns the number of the step that contains a time.
func (s *ring) stepOf(at time.Time) int64 { return at.UnixNano() / int64(s.interval) }

// advance moves to the step that contains now and returns its slot. It calls empty for each
// slot whose step has left the window.
func (s *ring) advance(now time.Time, empty func(slot int)) int {
	step := s.stepOf(now)
	size := int64(s.size)
	for gone := min(step-s.now, size); gone > 0; gone-- {
		empty(int((step - gone + 1) % size))
	}
	s.now = step
	return int(step % size)
}
