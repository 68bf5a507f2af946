package process

import (
	"sync"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// shedTotals sums what the door refused, by service and organisation, so that a
// flood of refusals costs the control goroutine nothing. It may be used by any
// goroutine.
type shedTotals struct {
	mu   sync.Mutex
	sums map[shedKey]float64
}

type shedKey struct{ service, org string }

func (t *shedTotals) add(w dispatch.TurnedWork) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sums == nil {
		t.sums = map[shedKey]float64{}
	}
	t.sums[shedKey{w.Service, w.Org}] += w.Tokens
}

// take returns the sums since the last time.
func (t *shedTotals) take() []dispatch.TurnedWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []dispatch.TurnedWork
	for k, tokens := range t.sums {
		out = append(out, dispatch.TurnedWork{Service: k.service, Org: k.org, Tokens: tokens})
	}
	clear(t.sums)
	return out
}
