// Package request is the HTTP request path for applications: it reads a caller's request,
// waits for a slot, sends the request to an upstream and returns the outcome. Its state
// lives as long as one request.
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

// Control is the router's control state as the request path uses it. Its methods are safe
// for concurrent use.
type Control interface {
	// Version returns the configuration version in force, or nil.
	Version() *version.Version
	// Place returns the place (failure domain) of this router.
	Place() string
	// Redirect returns the public address of a live router in one of the places, or "".
	Redirect(places map[string]bool) string
	// Submit requests a slot. The decision is delivered on the ticket. key is nil unless
	// the request runs at most once and has an idempotency key.
	Submit(r entry.Request, key *claim.Key) *Ticket
	// Cancel gives up a ticket. A slot that was granted in the meantime is returned unused.
	Cancel(t *Ticket)
	// Return gives a slot back and requests another one; the next decision is delivered on
	// the ticket. failed says that the upstream was at fault.
	Return(t *Ticket, failed bool)
	// Finish releases a ticket that has a slot. answered says that the caller got a whole
	// answer.
	Finish(t *Ticket, s wire.Sample, answered bool)
	// Quarantined returns the state of an organisation's requests during which upstreams
	// have crashed. The map must not be modified.
	Quarantined(org version.ID) map[fingerprint.Fingerprint]quarantine.State
	// AttemptIncomplete reports an attempt that may have run and ended without a whole answer.
	AttemptIncomplete(core.AttemptIncomplete)
	// ConnRefused reports that an upstream's address refuses connections.
	ConnRefused(version.ID)
	// AnsweredWhole reports that a request listed by Quarantined got a whole answer.
	AnsweredWhole(fingerprint.Fingerprint)
	// UpstreamLeaving reports that an upstream has announced that it is leaving.
	UpstreamLeaving(id version.ID)
}

// Decision is the result of a request for a slot: a slot or a refusal.
type Decision struct {
	Upstream *version.Upstream // nil for a refusal
	At       time.Time         // when it was made
	Refusal  core.Refuse
}

// Ticket is the handle of a submitted request, on which its decisions are delivered.
type Ticket struct {
	ID      uint64
	decided chan Decision
	units   atomic.Uint64 // bits of a float64
}

// NewTicket returns a ticket without a decision.
func NewTicket(id uint64) *Ticket {
	return &Ticket{ID: id, decided: make(chan Decision, 1)}
}

// Decide delivers a decision. It is called at most once for each Submit or Return, so it
// never blocks.
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
