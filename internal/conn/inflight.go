package conn

import "sync"

// inFlight holds the exchanges that wait for an answer or read one, by the start of their
// upstream. It may be used by any goroutine.
type inFlight struct {
	mu      sync.Mutex
	byStart map[string]map[*Exchange]bool
}

func newInFlight() inFlight { return inFlight{byStart: map[string]map[*Exchange]bool{}} }

func (f *inFlight) add(x *Exchange) {
	if x.upstreamStart == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byStart[x.upstreamStart] == nil {
		f.byStart[x.upstreamStart] = map[*Exchange]bool{}
	}
	f.byStart[x.upstreamStart][x] = true
}

func (f *inFlight) remove(x *Exchange) {
	if x.upstreamStart == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byStart[x.upstreamStart], x)
	if len(f.byStart[x.upstreamStart]) == 0 {
		delete(f.byStart, x.upstreamStart)
	}
}

// Abort closes the connections of all exchanges with a start of an upstream that has ended,
// and returns their number. Each then fails as after a connection reset: a restarted
// upstream never answers the requests of its previous start, and no reset arrives if the
// network path was interrupted meanwhile.
func (p *Exchanges) Abort(start string) int {
	p.inFlight.mu.Lock()
	defer p.inFlight.mu.Unlock()
	for x := range p.inFlight.byStart[start] {
		x.c.Close()
	}
	return len(p.inFlight.byStart[start])
}
