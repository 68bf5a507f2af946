package forward

import (
	"context"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Control is the router's control state as the request path uses it. Its methods are safe
// for concurrent use.
type Control interface {
	// Table returns the routing table in force, or nil.
	Table() *routing.Table
	// MaxBodyBytes returns the limit on a request's body. It is that of the table in force, or for
	// a while that of the table before if it was higher.
	MaxBodyBytes() int64
	// Submit requests a placement. The decision is delivered on the ticket.
	Submit(r dispatch.Request) *Ticket
	// PlaceAgain requests another placement. note says how the last one ended (wire.ProgressFailed
	// and so on). The decision is delivered on the ticket.
	PlaceAgain(t *Ticket, note uint8)
	// PlaceBeside requests a second placement for a placed request, at none of the upstreams to avoid;
	// the first one goes on. The second one has a ticket of its own, which ends by itself. A refusal
	// changes nothing for the first.
	PlaceBeside(t *Ticket, avoid []routing.Instance) *Ticket
	// FirstEvent reports that the answer has begun, and how long after the request was sent.
	FirstEvent(t *Ticket, after time.Duration)
	// StreamPace reports the events of the answer's stream, before End; p.ID is not used.
	StreamPace(t *Ticket, p dispatch.StreamPace)
	// End releases the ticket; note says how its last placement ended. It does nothing
	// after a refusal.
	End(t *Ticket, note uint8)
	// ShedRatio returns the fraction of all arriving requests that this router should
	// refuse because it is overloaded (short of CPU).
	ShedRatio() float64
	// MaxUndecided returns how many requests for engines may have no decision at the same time, 0
	// for no limit.
	MaxUndecided() int64
	// RequestArrived reports the target latency of each request whose headers are
	// acceptable, whether or not it is then shed.
	RequestArrived(target time.Duration)
	// AdmitRatio returns the fraction of an organisation's requests for a service that are
	// admitted while this router is, or was just, overloaded: 1 unless the organisation has
	// used up its share.
	AdmitRatio(service, org string) float64
	// Unservable returns the refusal of a request for a service that certainly cannot be
	// placed now, restricted to regions, and false for any other request.
	Unservable(service string, allowed routing.Regions) (dispatch.Refuse, bool)
	// RequestShed reports work that was refused without Submit, because of overload or
	// because it is unservable.
	RequestShed(w dispatch.ShedWork)
	// Unusable returns why a request may no longer be sent to the upstream it was placed
	// at, or MaySend when it still may. It uses the latest control state.
	Unusable(*dispatch.Placement) Unusable
	// Quarantined returns the state of an organisation's requests during which upstreams
	// have crashed. The map must not be modified.
	Quarantined(org string) map[fingerprint.Fingerprint]quarantine.State
	// HeldParts returns the parts of prompts that are held at a service because upstreams have
	// crashed while they ran requests with them, and whether any part is suspected there. The map
	// must not be modified.
	HeldParts(service string) (held map[uint64]quarantine.PartState, suspected bool)
	// PromptAnswered reports a whole answer to a request with a prompt: each one while parts are
	// suspected, and each that was unframed.
	PromptAnswered(dispatch.PromptAnswered)
	// AttemptIncomplete reports an attempt that may have run and ended without a whole answer.
	AttemptIncomplete(dispatch.AttemptIncomplete)
	// ConnRefused reports that an instance's address refuses connections.
	ConnRefused(routing.Instance)
	// AnsweredWhole reports that a request listed by Quarantined got a whole answer.
	AnsweredWhole(fingerprint.Fingerprint)
	// HealthCheckFailed reports a failed health check: the upstream is cold for coldFor, or could not
	// be reached when coldFor is 0.
	HealthCheckFailed(i routing.Instance, coldFor time.Duration)
	// UpstreamLeaving reports that an upstream has announced that it is leaving. start
	// identifies the upstream's process (routing.Instance.StartID).
	UpstreamLeaving(start string)
	// UpstreamBacksOff reports that an upstream has asked this router to send it nothing
	// for the duration d.
	UpstreamBacksOff(start string, d time.Duration)
	// Leaving reports whether a planned stop of this router has begun.
	Leaving() bool
}

// Unusable is the reason why a request is not sent to the upstream it was placed at. The
// text is the name of the log event.
type Unusable string

// Reasons not to send; MaySend is none.
const (
	MaySend          Unusable = ""
	UpstreamLeft     Unusable = "upstream-left-before-send"
	PlaceEvacuated   Unusable = "place-evacuated-before-send"
	UpstreamBacksOff Unusable = "upstream-backs-off-before-send"
	UpstreamCold     Unusable = "upstream-cold-before-send"
	UpstreamNotReady Unusable = "upstream-not-ready-by-its-health"
)

// Decision is the result of a placement request: a placement or a refusal.
type Decision struct {
	Placement *dispatch.Placement // nil for a refusal
	Refusal   dispatch.Refuse
}

// Ticket is the handle of a submitted request, on which its decisions are delivered.
type Ticket struct {
	ID      uint64
	decided chan Decision
}

// NewTicket returns a ticket without a decision.
func NewTicket(id uint64) *Ticket { return &Ticket{ID: id, decided: make(chan Decision, 1)} }

// Decide delivers a decision. It is called once for each Submit or PlaceAgain, so it never
// blocks.
func (t *Ticket) Decide(d Decision) { t.decided <- d }

func (t *Ticket) wait(ctx context.Context) (Decision, bool) {
	select {
	case d := <-t.decided:
		return d, true
	case <-ctx.Done():
		return Decision{}, false
	}
}
