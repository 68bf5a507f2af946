package process

import (
	"maps"
	"sync"
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// availability is published for request handlers: which instances may receive requests.
type availability struct {
	mu        sync.RWMutex
	instances map[string]routing.Instance // by start, without leaving ones; nil before the first publication
	evacuated map[string]bool             // evacuated places
	backoffs  map[string]time.Time        // by start: end of the backoff that it asked this router for
}

// publishAvailability replaces the list of instances and the evacuated places.
func (rc *RoutedController) publishAvailability(list []routing.Instance, evacuated []routing.Evacuation) {
	instances := make(map[string]routing.Instance, len(list))
	for _, i := range list {
		if !i.Draining {
			instances[i.StartID()] = i
		}
	}
	rc.availability.mu.Lock()
	defer rc.availability.mu.Unlock()
	rc.availability.instances, rc.availability.evacuated = instances, routing.EvacuatedPlaces(evacuated)
}

// updateAvailability applies changes to the list of instances and replaces the evacuated
// places.
func (rc *RoutedController) updateAvailability(c routing.Changes, evacuated []routing.Evacuation) {
	a := &rc.availability
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.instances == nil {
		a.instances = map[string]routing.Instance{}
	}
	for _, e := range c.Ended {
		delete(a.instances, e.Instance.StartID())
	}
	for _, i := range c.Put {
		if i.Draining {
			delete(a.instances, i.StartID())
			continue
		}
		a.instances[i.StartID()] = i
	}
	a.evacuated = routing.EvacuatedPlaces(evacuated)
}

// instanceStatus is the availability of one start of an instance.
type instanceStatus struct {
	instance  routing.Instance
	known     bool // a list was published
	listed    bool // in the list, and not leaving
	evacuated bool // its place is evacuated
	backsOff  bool // it has asked this router for backoff
}

func (a *availability) status(start string, now time.Time) instanceStatus {
	a.mu.RLock()
	defer a.mu.RUnlock()
	i, listed := a.instances[start]
	return instanceStatus{instance: i, known: a.instances != nil, listed: listed, evacuated: a.evacuated[i.Place], backsOff: now.Before(a.backoffs[start])}
}

// mayCall reports whether the instance may be called: it is not leaving or gone, and has not
// asked for backoff.
func (s instanceStatus) mayCall() bool { return (s.listed || !s.known) && !s.backsOff }

// backOff withholds requests from a start until a time. A shorter backoff does not end a
// longer one.
func (a *availability) backOff(start string, until, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.backoffs == nil {
		a.backoffs = map[string]time.Time{}
	}
	maps.DeleteFunc(a.backoffs, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until.After(a.backoffs[start]) {
		a.backoffs[start] = until
	}
}
