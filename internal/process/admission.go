package process

import "time"

// admissionHoldDuration is how long after this router was last short of processor its door still lets
// in only what shares cover: the flood that it is spared would make it short again.
const admissionHoldDuration = 2 * time.Second

// serviceOrg is an organisation at a service.
type serviceOrg struct{ service, org string }

// publishAdmitRatios tells the door which part of an organisation's requests to let in.
func (s *RoutedController) publishAdmitRatios(now time.Time) {
	if s.overloaded {
		s.admissionUntil = now.Add(admissionHoldDuration)
	}
	if now.After(s.admissionUntil) {
		s.admitRatios.Store(nil)
		return
	}
	parts := map[serviceOrg]float64{}
	for _, c := range s.node.Covered(now) {
		parts[serviceOrg{c.Service, c.Org}] = c.Part
	}
	s.admitRatios.Store(&parts)
}

// Covered implements forward.Control.
func (s *RoutedController) Covered(service, org string) float64 {
	parts := s.admitRatios.Load()
	if parts == nil {
		return 1
	}
	if part, known := (*parts)[serviceOrg{service, org}]; known {
		return part
	}
	return 1
}
