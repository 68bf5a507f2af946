package process

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// publishServiceStates publishes for request handlers which services cannot take requests.
func (rc *RoutedController) publishServiceStates(now time.Time) {
	states := rc.node.ServiceStates(now)
	rc.serviceStates.Store(&states)
}

// Unservable implements forward.Control. A service without a published state may be able to
// serve.
func (rc *RoutedController) Unservable(service string, allowed routing.Regions) (dispatch.Refuse, bool) {
	states := rc.serviceStates.Load()
	if states == nil {
		return dispatch.Refuse{}, false
	}
	s, known := (*states)[service]
	if !known {
		return dispatch.Refuse{}, false
	}
	return s.Refusal(allowed, rc.now())
}
