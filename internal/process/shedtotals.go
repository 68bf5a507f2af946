package process

import (
	"sync"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// shedTotals sums the work refused by load shedding per service and organisation, so that a
// flood of refusals does not load the control goroutine. It may be used by any goroutine.
type shedTotals struct {
	mu   sync.Mutex
	sums map[shedKey]float64
}

type shedKey struct{ service, org string }

func (t *shedTotals) add(w dispatch.ShedWork) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sums == nil {
		t.sums = map[shedKey]float64{}
	}
	t.sums[shedKey{w.Service, w.Org}] += w.Tokens
}

// take returns the sums since the last call and resets them.
func (t *shedTotals) take() []dispatch.ShedWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []dispatch.ShedWork
	for k, tokens := range t.sums {
		out = append(out, dispatch.ShedWork{Service: k.service, Org: k.org, Tokens: tokens})
	}
	clear(t.sums)
	return out
}
