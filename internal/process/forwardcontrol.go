package process

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// The methods by which request handlers use the control state. Each may be called by any
// goroutine.

// MaxBodyBytes implements forward.Control.
func (rc *RoutedController) MaxBodyBytes() int64 { return rc.limits.get().BodyBytes }

// ShedRatio implements forward.Control.
func (rc *RoutedController) ShedRatio() float64 { return rc.overload.shedRatio() }

// MaxUndecided implements forward.Control.
func (rc *RoutedController) MaxUndecided() int64 { return rc.overload.current().maxUndecided }

// RequestArrived implements forward.Control.
func (rc *RoutedController) RequestArrived(target time.Duration) {
	rc.overload.arrivals.addTarget(target)
}

// RequestShed implements forward.Control.
func (rc *RoutedController) RequestShed(w dispatch.ShedWork) { rc.shed.add(w) }

// Unusable implements forward.Control.
func (rc *RoutedController) Unusable(p *dispatch.Placement) forward.Unusable {
	now := rc.now()
	up := rc.availability.status(p.Instance.StartID(), now)
	switch {
	case !up.known:
		return forward.MaySend
	case !up.listed:
		return forward.UpstreamLeft
	case up.evacuated:
		return forward.PlaceEvacuated
	case up.backsOff:
		return forward.UpstreamBacksOff
	case !p.MaySend(up.instance.ColdUntil, now):
		return forward.UpstreamCold
	}
	return forward.MaySend
}

// HealthCheckFailed implements forward.Control.
func (rc *RoutedController) HealthCheckFailed(i routing.Instance, coldFor time.Duration) {
	rc.Step(dispatch.HealthCheckFailed{Instance: i, ColdFor: coldFor})
}

// UpstreamLeaving implements forward.Control.
func (rc *RoutedController) UpstreamLeaving(start string) {
	up := rc.availability.status(start, rc.now())
	if !up.listed {
		return // already known to be leaving or gone
	}
	rc.Step(dispatch.LeaveNotice{Instance: up.instance})
}

// UpstreamBacksOff implements forward.Control.
func (rc *RoutedController) UpstreamBacksOff(start string, d time.Duration) {
	now := rc.now()
	rc.availability.backOff(start, now.Add(d), now)
	if up := rc.availability.status(start, now); up.listed {
		rc.Step(dispatch.RetryAfter{Instance: up.instance, For: d})
	}
}

// drainUpstream takes an instance out of use after it has announced that it leaves.
func (rc *RoutedController) drainUpstream(o dispatch.UpstreamLeaving) {
	rc.log.Info().Str("upstream", o.Instance.ID).Str("address", o.Instance.Address).Str("peer", string(o.From)).Uint64("revision", rc.view.Revision).Msg("upstream-says-it-leaves")
	if rc.view.MarkDraining(o.Instance) {
		rc.publish(rc.now())
	}
}

// Table implements forward.Control.
func (rc *RoutedController) Table() *routing.Table { return rc.table.Load() }

// Leaving implements forward.Control.
func (rc *RoutedController) Leaving() bool { return rc.leaving.Load() }

// Submit implements forward.Control.
func (rc *RoutedController) Submit(r dispatch.Request) *forward.Ticket {
	t := forward.NewTicket(rc.nextID.Add(1))
	r.ID = t.ID
	r.TargetTime = rc.startTime.Add(r.TargetTime.Sub(rc.startTime))
	r.Deadline = rc.startTime.Add(r.Deadline.Sub(rc.startTime))
	rc.enqueue(func(now time.Time) {
		rc.tickets[t.ID] = t
		rc.node.Step(dispatch.Arrive{Request: r}, now)
	})
	return t
}

// PlaceAgain implements forward.Control.
func (rc *RoutedController) PlaceAgain(t *forward.Ticket, note uint8) {
	rc.enqueue(func(now time.Time) { rc.node.Step(dispatch.PlaceAgain{ID: t.ID, Event: note}, now) })
}

// PlaceBeside implements forward.Control.
func (rc *RoutedController) PlaceBeside(t *forward.Ticket, avoid []routing.Instance) *forward.Ticket {
	second := forward.NewTicket(rc.nextID.Add(1))
	rc.enqueue(func(now time.Time) {
		rc.tickets[second.ID] = second
		rc.node.Step(dispatch.PlaceBeside{ID: t.ID, NewID: second.ID, Avoid: avoid}, now)
	})
	return second
}

// FirstEvent implements forward.Control.
func (rc *RoutedController) FirstEvent(t *forward.Ticket, after time.Duration) {
	rc.enqueue(func(now time.Time) { rc.node.Step(dispatch.FirstEvent{ID: t.ID, After: after}, now) })
}

// StreamPace implements forward.Control.
func (rc *RoutedController) StreamPace(t *forward.Ticket, p dispatch.StreamPace) {
	p.ID = t.ID
	rc.enqueue(func(now time.Time) { rc.node.Step(p, now) })
}

// End implements forward.Control.
func (rc *RoutedController) End(t *forward.Ticket, note uint8) {
	rc.enqueue(func(now time.Time) {
		delete(rc.tickets, t.ID)
		rc.node.Step(dispatch.End{ID: t.ID, Event: note}, now)
	})
}
