// Package request holds what lives as long as one caller's request: reading it,
// waiting for its slot, carrying it to an upstream, and telling the outcome.
package request

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Control is the router's control state as requests see it. Every method may be
// called by any goroutine.
type Control interface {
	// Version returns the version in force, or nil.
	Version() *version.Version
	// Place returns the place this router stands in.
	Place() string
	// Redirect returns a live router's public address in one of the places, or "".
	Redirect(places map[string]bool) string
	// Submit asks for a slot. The decision comes on the ticket.
	Submit(r entry.Request, key *claim.Key) *Ticket
	// Cancel gives up a ticket that has no slot yet.
	Cancel(t *Ticket)
	// Return gives a slot back unused; the next decision comes on the ticket.
	Return(t *Ticket, failed bool)
	// Finish ends a ticket that has a slot.
	Finish(t *Ticket, s wire.Sample, answered bool)
	// Quarantined returns what is known of an organisation's requests under which
	// upstreams have crashed; it is not changed.
	Quarantined(org version.ID) map[fingerprint.Fingerprint]quarantine.State
	// Broke says that an attempt ended without a whole answer though it may have run.
	Broke(core.Broke)
	// ConnRefused says that an upstream's address refuses connections.
	ConnRefused(version.ID)
	// AnsweredWhole says that a request of those in Quarantined has been answered.
	AnsweredWhole(fingerprint.Fingerprint)
	// Leaving says that an upstream told this router it is leaving.
	UpstreamLeaving(id version.ID)
}

// Decision is the core's word on a ticket: a slot, or a refusal.
type Decision struct {
	Upstream *version.Upstream // nil for a refusal
	At       time.Time
	Refusal  core.Refuse
}

// Ticket is one request's place in the control state.
type Ticket struct {
	ID      uint64
	decided chan Decision
	units   atomic.Uint64 // bits of a float64
}

// NewTicket returns a ticket without a decision.
func NewTicket(id uint64) *Ticket {
	return &Ticket{ID: id, decided: make(chan Decision, 1)}
}

// Decide sets the decision; the driver calls it at most once for each Submit or
// Return, so it never blocks.
func (t *Ticket) Decide(d Decision) { t.decided <- d }

// Wait returns the decision, or false when the caller went away first.
func (t *Ticket) Wait(ctx context.Context) (Decision, bool) {
	select {
	case d := <-t.decided:
		return d, true
	case <-ctx.Done():
		return Decision{}, false
	}
}

// SetUnits sets the service received so far, in the application's unit.
func (t *Ticket) SetUnits(u float64) { t.units.Store(math.Float64bits(u)) }

// Units returns the service received so far.
func (t *Ticket) Units() float64 { return math.Float64frombits(t.units.Load()) }
