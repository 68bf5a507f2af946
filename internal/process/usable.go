package process

import (
	"maps"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// usable is what requests need to know of where they may be sent.
type usable struct {
	mu        sync.RWMutex
	starts    map[string]routing.Instance // by start, without those that leave; nil while nothing is known
	evacuated map[string]bool             // places
	backoffs  map[string]time.Time        // until when starts want nothing of this router
}

// publishUsable tells requests which instances may be sent work.
func (s *Steerer) publishUsable(list []routing.Instance, evacuated []routing.Evacuation) {
	starts := make(map[string]routing.Instance, len(list))
	for _, i := range list {
		if !i.Draining {
			starts[i.StartID()] = i
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
		delete(u.starts, e.Instance.StartID())
	}
	for _, i := range c.Put {
		if i.Draining {
			delete(u.starts, i.StartID())
			continue
		}
		u.starts[i.StartID()] = i
	}
	u.evacuated = routing.EvacuatedPlaces(evacuated)
}

// standing is what requests know of one start.
type standing struct {
	inst      routing.Instance
	known     bool // any list was published
	listed    bool
	evacuated bool // its place
	backsOff  bool // it wants nothing of this router now
}

func (u *usable) of(start string, now time.Time) standing {
	u.mu.RLock()
	defer u.mu.RUnlock()
	i, listed := u.starts[start]
	return standing{inst: i, known: u.starts != nil, listed: listed, evacuated: u.evacuated[i.Place], backsOff: now.Before(u.backoffs[start])}
}

// mayAsk reports whether a start may be asked anything: it neither leaves nor wants nothing
// of this router for a while.
func (s standing) mayAsk() bool { return (s.listed || !s.known) && !s.backsOff }

// backOff keeps requests from a start until a time.
func (u *usable) backOff(start string, until, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.backoffs == nil {
		u.backoffs = map[string]time.Time{}
	}
	maps.DeleteFunc(u.backoffs, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until.After(u.backoffs[start]) {
		u.backoffs[start] = until
	}
}
