package process

import "time"

// coverFor is how long after this router was last short of processor its door still lets
// in only what shares cover: the flood that it is spared would make it short again.
const coverFor = 2 * time.Second

// serviceOrg is an organisation at a service.
type serviceOrg struct{ service, org string }

// publishCovered tells the door which part of an organisation's requests to let in.
func (s *Steerer) publishCovered(now time.Time) {
	if s.strained {
		s.coverUntil = now.Add(coverFor)
	}
	if now.After(s.coverUntil) {
		s.covered.Store(nil)
		return
	}
	parts := map[serviceOrg]float64{}
	for _, c := range s.node.Covered(now) {
		parts[serviceOrg{c.Service, c.Org}] = c.Part
	}
	s.covered.Store(&parts)
}

// Covered implements forward.Control.
func (s *Steerer) AdmitRatio(service, org string) float64 {
	parts := s.covered.Load()
	if parts == nil {
		return 1
	}
	if part, known := (*parts)[serviceOrg{service, org}]; known {
		return part
	}
	return 1
}
