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

// quarantineSnapshot is the published copy of the control state's list of requests that
// crash upstreams. Any goroutine may read it.
type quarantineSnapshot struct {
	view  atomic.Pointer[quarantine.View]
	parts atomic.Pointer[quarantine.PartView]
}

// publishParts stores a copy of the held parts of prompts if they have changed.
func (q *quarantineSnapshot) publishParts(view quarantine.PartView, changed bool) {
	if changed {
		q.parts.Store(&view)
	}
}

// publish stores a copy of the list if it has changed.
func (q *quarantineSnapshot) publish(view quarantine.View, changed bool) {
	if changed {
		q.view.Store(&view)
	}
}

// forOrg returns the state of an organisation's requests on the list, by fingerprint.
func (q *quarantineSnapshot) forOrg(org version.ID) map[fingerprint.Fingerprint]quarantine.State {
	view := q.view.Load()
	if view == nil || len(*view) == 0 {
		return nil
	}
	return (*view)[org]
}

// Quarantined implements forward.Control.
func (rc *RoutedController) Quarantined(org string) map[fingerprint.Fingerprint]quarantine.State {
	return rc.quarantined.forOrg(version.IDOf(org))
}

// HeldParts implements forward.Control.
func (rc *RoutedController) HeldParts(service string) (map[uint64]quarantine.PartState, bool) {
	view := rc.quarantined.parts.Load()
	if view == nil {
		return nil, false
	}
	held, suspected := (*view)[version.IDOf(service)]
	return held, suspected
}

// PromptAnswered implements forward.Control.
func (rc *RoutedController) PromptAnswered(a dispatch.PromptAnswered) { rc.Step(a) }

// AttemptIncomplete implements forward.Control.
func (rc *RoutedController) AttemptIncomplete(b dispatch.AttemptIncomplete) { rc.Step(b) }

// ConnRefused implements forward.Control.
func (rc *RoutedController) ConnRefused(i routing.Instance) {
	rc.Step(dispatch.ConnRefused{Instance: i})
}

// AnsweredWhole implements forward.Control.
func (rc *RoutedController) AnsweredWhole(f fingerprint.Fingerprint) {
	rc.Step(dispatch.Answered{Content: f})
}

// probe checks whether an upstream that broke off an answer has ended: its address then
// refuses connections.
func (rc *RoutedController) probe(i routing.Instance) {
	if rc.exchanges.Refuses(context.Background(), i.Address) {
		rc.ConnRefused(i)
	}
}

// Quarantined implements request.Control.
func (ac *AppController) Quarantined(org version.ID) map[fingerprint.Fingerprint]quarantine.State {
	return ac.quarantined.forOrg(org)
}

// AttemptIncomplete implements request.Control.
func (ac *AppController) AttemptIncomplete(b core.AttemptIncomplete) { ac.Step(b) }

// ConnRefused implements request.Control.
func (ac *AppController) ConnRefused(up version.ID) { ac.Step(core.ConnRefused{Upstream: up}) }

// AnsweredWhole implements request.Control.
func (ac *AppController) AnsweredWhole(f fingerprint.Fingerprint) { ac.Step(core.Answered{Content: f}) }

// probe checks whether an upstream that broke off an answer has ended: its address then
// refuses connections.
func (ac *AppController) probe(up version.ID) {
	v := ac.version.Load()
	if v == nil || v.Upstreams[up] == nil {
		return // removed by a new configuration
	}
	if conn.Refuses(context.Background(), v.Upstreams[up].Address) {
		ac.ConnRefused(up)
	}
}
