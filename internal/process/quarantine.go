package process

import (
	"context"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Quarantined implements forward.Control.
func (s *Steerer) Quarantined(org string) map[fingerprint.Fingerprint]quarantine.State {
	view := s.quarantine.Load()
	if view == nil || len(*view) == 0 {
		return nil
	}
	return (*view)[version.IDOf(org)]
}

// Broke implements forward.Control.
func (s *Steerer) Broke(b dispatch.Broke) { s.Step(b) }

// ConnRefused implements forward.Control.
func (s *Steerer) ConnRefused(i routing.Instance) { s.Step(dispatch.ConnRefused{Instance: i}) }

// AnsweredWhole implements forward.Control.
func (s *Steerer) AnsweredWhole(f fingerprint.Fingerprint) { s.Step(dispatch.Answered{Content: f}) }

// probe looks whether an upstream that broke an answer has ended.
func (s *Steerer) probe(i routing.Instance) {
	if s.ups.Refuses(context.Background(), i.Address) {
		s.ConnRefused(i)
	}
}
