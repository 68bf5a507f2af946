package process

import (
	"sync"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// turnedWork sums what the door refused, by service and organisation, so that a
// flood of refusals costs the control goroutine nothing. It may be used by any
// goroutine.
type turnedWork struct {
	mu   sync.Mutex
	sums map[turnedKey]float64
}

type turnedKey struct{ service, org string }

func (t *turnedWork) add(w dispatch.ShedWork) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sums == nil {
		t.sums = map[turnedKey]float64{}
	}
	t.sums[turnedKey{w.Service, w.Org}] += w.Tokens
}

// take returns the sums since the last time.
func (t *turnedWork) take() []dispatch.ShedWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []dispatch.ShedWork
	for k, tokens := range t.sums {
		out = append(out, dispatch.ShedWork{Service: k.service, Org: k.org, Tokens: tokens})
	}
	clear(t.sums)
	return out
}
