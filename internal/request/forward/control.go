package forward

import (
	"context"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Control is the router's control state as requests see it. Every method may be
// called by any goroutine.
type Control interface {
	// Table returns the routing table in force, or nil.
	Table() *routing.Table
	// Submit asks where to run a request. The decision comes on the ticket.
	Submit(r dispatch.Request) *Ticket
	// Again asks for another upstream, after the last one's end as a note of
	// package wire. The decision comes on the ticket.
	Again(t *Ticket, note uint8)
	// First says that the first event came, so long after sending.
	First(t *Ticket, after time.Duration)
	// End ends the ticket. After a refusal it does nothing.
	End(t *Ticket, note uint8)
	// Excess returns the part of all arrivals that this router should refuse for
	// want of processor.
	ShedRatio() float64
	// Covered returns the part of an organisation's requests for a service that is to be
	// let in while this router is short of processor: 1 unless it has had its share.
	AdmitRatio(service, org string) float64
	// RequestShed says that work was refused for that reason, without Submit.
	RequestShed(w dispatch.TurnedWork)
	// Unusable says why a request may no longer be sent where it was placed, by what is
	// known now; MaySend when it may.
	Unusable(*dispatch.Place) Unusable
	// Quarantined returns what is known of an organisation's requests under which
	// upstreams have crashed; it is not changed.
	Quarantined(org string) map[fingerprint.Fingerprint]quarantine.State
	// Broke says that an attempt ended without a whole answer though it may have run.
	Broke(dispatch.Broke)
	// ConnRefused says that an instance's address refuses connections.
	ConnRefused(routing.Instance)
	// AnsweredWhole says that a request of those in Quarantined has been answered.
	AnsweredWhole(fingerprint.Fingerprint)
	// Looked says that an upstream does not take a request now, by its health: it is cold
	// for a time, or cannot be reached when that is 0.
	Looked(i routing.Instance, coldFor time.Duration)
	// UpstreamLeaves says that a start of an upstream has told that it leaves.
	UpstreamLeaves(start string)
	// UpstreamBacksOff says that a start of an upstream wants nothing of this router for a time.
	UpstreamBacksOff(start string, d time.Duration)
	// Leaving reports whether a planned stop has begun.
	Leaving() bool
}

// Unusable is why a request is not sent where it was placed. Its text names the line in the
// log.
type Unusable string

// The reasons.
const (
	MaySend          Unusable = ""
	UpstreamLeft     Unusable = "upstream-left-before-send"
	PlaceEvacuated   Unusable = "place-evacuated-before-send"
	UpstreamBacksOff Unusable = "upstream-backs-off-before-send"
	UpstreamCold     Unusable = "upstream-cold-before-send"
	UpstreamNotReady Unusable = "upstream-not-ready-by-its-health"
)

// Decision is where a request runs, or why it does not.
type Decision struct {
	Placement *dispatch.Place // nil for a refusal
	Refusal   dispatch.Refuse
}

// Ticket is one request's place in the control state.
type Ticket struct {
	ID      uint64
	decided chan Decision
}

// NewTicket returns a ticket without a decision.
func NewTicket(id uint64) *Ticket { return &Ticket{ID: id, decided: make(chan Decision, 1)} }

// Decide sets the decision; it is called once for each Submit or Again, so it
// never blocks.
func (t *Ticket) Decide(d Decision) { t.decided <- d }

func (t *Ticket) wait(ctx context.Context) (Decision, bool) {
	select {
	case d := <-t.decided:
		return d, true
	case <-ctx.Done():
		return Decision{}, false
	}
}
