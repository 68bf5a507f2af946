package process

import (
	"maps"
	"sync"
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

// usable is what requests need to know of where they may be sent.
type usable struct {
	mu        sync.RWMutex
	starts    map[string]routing.Instance // by start, without those that leave; nil while nothing is known
	evacuated map[string]bool             // places
	rests     map[string]time.Time        // until when starts want nothing of this router
}

// publishUsable tells requests which instances may be sent work.
func (s *Steerer) publishUsable(list []routing.Instance, evacuated []routing.Evacuation) {
	starts := make(map[string]routing.Instance, len(list))
	for _, i := range list {
		if !i.Draining {
			starts[i.Start()] = i
		}
	}
	s.usable.mu.Lock()
	defer s.usable.mu.Unlock()
	s.usable.starts, s.usable.evacuated = starts, routing.EvacuatedPlaces(evacuated)
}

// updateUsable tells requests what has changed of that.
func (s *Steerer) updateUsable(c routing.Changes, evacuated []routing.Evacuation) {
	u := &s.usable
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.starts == nil {
		u.starts = map[string]routing.Instance{}
	}
	for _, e := range c.Ended {
		delete(u.starts, e.Instance.Start())
	}
	for _, i := range c.Put {
		if i.Draining {
			delete(u.starts, i.Start())
			continue
		}
		u.starts[i.Start()] = i
	}
	u.evacuated = routing.EvacuatedPlaces(evacuated)
}

// of returns an instance as it is listed now. known says that any list was published.
func (u *usable) of(start string) (i routing.Instance, listed, evacuated, known bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()
	i, listed = u.starts[start]
	return i, listed, u.evacuated[i.Place], u.starts != nil
}

// rest keeps requests from a start until a time.
func (u *usable) rest(start string, until, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rests == nil {
		u.rests = map[string]time.Time{}
	}
	maps.DeleteFunc(u.rests, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until.After(u.rests[start]) {
		u.rests[start] = until
	}
}

// resting reports whether a start wants nothing of this router now.
func (u *usable) resting(start string, now time.Time) bool {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return now.Before(u.rests[start])
}

// mayAsk reports whether a start may be asked anything: it neither leaves nor wants rest.
func (u *usable) mayAsk(start string, now time.Time) bool {
	_, listed, _, known := u.of(start)
	return (listed || !known) && !u.resting(start, now)
}

// Unusable implements forward.Control.
func (s *Steerer) Unusable(p *dispatch.Place) forward.Unusable {
	i, listed, evacuated, known := s.usable.of(p.Instance.Start())
	switch {
	case !known:
		return forward.MaySend
	case !listed:
		return forward.UpstreamLeft
	case evacuated:
		return forward.PlaceEvacuated
	case s.usable.resting(p.Instance.Start(), s.now()):
		return forward.UpstreamRests
	case !p.MaySend(i.ColdUntil, s.now()):
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
	i, listed, _, _ := s.usable.of(start)
	if !listed {
		return // it is known to leave, or to have ended
	}
	s.Step(dispatch.SaysLeaving{Instance: i})
}

// UpstreamRests implements forward.Control.
func (s *Steerer) UpstreamRests(start string, d time.Duration) {
	now := s.now()
	s.usable.rest(start, now.Add(d), now)
	if i, listed, _, _ := s.usable.of(start); listed {
		s.Step(dispatch.WantsRest{Instance: i, For: d})
	}
}

// drain takes an instance out of use that has said that it leaves.
func (s *Steerer) drain(o dispatch.Leaving) {
	s.log.Info().Str("upstream", o.Instance.ID).Str("address", o.Instance.Address).Str("peer", string(o.From)).Uint64("revision", s.view.Revision).Msg("upstream-says-it-leaves")
	if s.view.Drain(o.Instance) {
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
