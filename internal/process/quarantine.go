package process

import (
	"context"
	"sync/atomic"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// quarantineSnapshot is what requests see of the control state's list of those that crash
// upstreams. It may be read by any goroutine.
type quarantineSnapshot struct {
	view atomic.Pointer[quarantine.View]
}

// publish takes a copy of the list, if it has changed.
func (h *quarantineSnapshot) publish(view quarantine.View, changed bool) {
	if changed {
		h.view.Store(&view)
	}
}

// of returns what is known of an organisation's requests.
func (h *quarantineSnapshot) forOrg(org version.ID) map[fingerprint.Fingerprint]quarantine.State {
	view := h.view.Load()
	if view == nil || len(*view) == 0 {
		return nil
	}
	return (*view)[org]
}

// Quarantined implements forward.Control.
func (s *RoutedController) Quarantined(org string) map[fingerprint.Fingerprint]quarantine.State {
	return s.quarantined.forOrg(version.IDOf(org))
}

// Broke implements forward.Control.
func (s *RoutedController) Broke(b dispatch.Broke) { s.Step(b) }

// ConnRefused implements forward.Control.
func (s *RoutedController) ConnRefused(i routing.Instance) { s.Step(dispatch.ConnRefused{Instance: i}) }

// AnsweredWhole implements forward.Control.
func (s *RoutedController) AnsweredWhole(f fingerprint.Fingerprint) {
	s.Step(dispatch.Answered{Content: f})
}

// probe looks whether an upstream that broke an answer has ended.
func (s *RoutedController) probe(i routing.Instance) {
	if s.exchanges.Refuses(context.Background(), i.Address) {
		s.ConnRefused(i)
	}
}

// Quarantined implements request.Control.
func (d *AppController) Quarantined(org version.ID) map[fingerprint.Fingerprint]quarantine.State {
	return d.quarantined.forOrg(org)
}

// Broke implements request.Control.
func (d *AppController) Broke(b core.Broke) { d.Step(b) }

// ConnRefused implements request.Control.
func (d *AppController) ConnRefused(up version.ID) { d.Step(core.ConnRefused{Upstream: up}) }

// AnsweredWhole implements request.Control.
func (d *AppController) AnsweredWhole(f fingerprint.Fingerprint) { d.Step(core.Answered{Content: f}) }

// probe looks whether an upstream that broke an answer has ended.
func (d *AppController) probe(up version.ID) {
	v := d.version.Load()
	if v == nil || v.Upstreams[up] == nil {
		return // a new configuration has taken it away
	}
	if conn.Refuses(context.Background(), v.Upstreams[up].Address) {
		d.ConnRefused(up)
	}
}
