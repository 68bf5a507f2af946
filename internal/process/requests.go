package process

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/request/forward"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// What requests ask of the control state. Every method may be called by any goroutine.

// Excess implements forward.Control.
func (s *Steerer) Excess() float64 { return s.strain.excess() }

// TurnedAway implements forward.Control.
func (s *Steerer) TurnedAway(w dispatch.TurnedWork) { s.turned.add(w) }

// Unusable implements forward.Control.
func (s *Steerer) Unusable(p *dispatch.Place) forward.Unusable {
	now := s.now()
	up := s.usable.of(p.Instance.StartID(), now)
	switch {
	case !up.known:
		return forward.MaySend
	case !up.listed:
		return forward.UpstreamLeft
	case up.evacuated:
		return forward.PlaceEvacuated
	case up.backsOff:
		return forward.UpstreamBacksOff
	case !p.MaySend(up.inst.ColdUntil, now):
		return forward.UpstreamCold
	}
	return forward.MaySend
}

// Looked implements forward.Control.
func (s *Steerer) Looked(i routing.Instance, coldFor time.Duration) {
	s.Step(dispatch.Looked{Instance: i, ColdFor: coldFor})
}

// UpstreamLeaves implements forward.Control.
func (s *Steerer) UpstreamLeaves(start string) {
	up := s.usable.of(start, s.now())
	if !up.listed {
		return // it is known to leave, or to have ended
	}
	s.Step(dispatch.SaysLeaving{Instance: up.inst})
}

// UpstreamBacksOff implements forward.Control.
func (s *Steerer) UpstreamBacksOff(start string, d time.Duration) {
	now := s.now()
	s.usable.backOff(start, now.Add(d), now)
	if up := s.usable.of(start, now); up.listed {
		s.Step(dispatch.RetryAfter{Instance: up.inst, For: d})
	}
}

// drain takes an instance out of use that has said that it leaves.
func (s *Steerer) drain(o dispatch.Leaving) {
	s.log.Info().Str("upstream", o.Instance.ID).Str("address", o.Instance.Address).Str("peer", string(o.From)).Uint64("revision", s.view.Revision).Msg("upstream-says-it-leaves")
	if s.view.MarkDraining(o.Instance) {
		s.publish(s.now())
	}
}

// Table implements forward.Control.
func (s *Steerer) Table() *routing.Table { return s.table.Load() }

// Leaving implements forward.Control.
func (s *Steerer) Leaving() bool { return s.leaving.Load() }

// Submit implements forward.Control.
func (s *Steerer) Submit(r dispatch.Request) *forward.Ticket {
	t := forward.NewTicket(s.nextID.Add(1))
	r.ID = t.ID
	r.Aim = s.base.Add(r.Aim.Sub(s.base))
	r.Deadline = s.base.Add(r.Deadline.Sub(s.base))
	s.do(func(now time.Time) {
		s.tickets[t.ID] = t
		s.node.Step(dispatch.Arrive{Request: r}, now)
	})
	return t
}

// Again implements forward.Control.
func (s *Steerer) Again(t *forward.Ticket, note uint8) {
	s.do(func(now time.Time) { s.node.Step(dispatch.Again{ID: t.ID, Event: note}, now) })
}

// First implements forward.Control.
func (s *Steerer) First(t *forward.Ticket, after time.Duration) {
	s.do(func(now time.Time) { s.node.Step(dispatch.First{ID: t.ID, After: after}, now) })
}

// End implements forward.Control.
func (s *Steerer) End(t *forward.Ticket, note uint8) {
	s.do(func(now time.Time) {
		delete(s.tickets, t.ID)
		s.node.Step(dispatch.End{ID: t.ID, Event: note}, now)
	})
}
