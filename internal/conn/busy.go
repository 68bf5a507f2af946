package conn

import "sync"

// busy holds the exchanges that wait for an answer or read one, by the start of the
// upstream that they are with. It may be used by any goroutine.
type busy struct {
	mu sync.Mutex
	of map[string]map[*Exchange]bool
}

func newBusy() busy { return busy{of: map[string]map[*Exchange]bool{}} }

func (b *busy) add(x *Exchange) {
	if x.owner == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.of[x.owner] == nil {
		b.of[x.owner] = map[*Exchange]bool{}
	}
	b.of[x.owner][x] = true
}

func (b *busy) remove(x *Exchange) {
	if x.owner == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.of[x.owner], x)
	if len(b.of[x.owner]) == 0 {
		delete(b.of, x.owner)
	}
}

// Abort closes the connections of all exchanges with a start of an upstream that has
// ended, and returns their number. Each then fails as after a reset: an upstream that has
// started again answers nothing that its former start was asked, and where the path was
// cut meanwhile no reset says so.
func (p *Exchanges) Abort(owner string) int {
	p.busy.mu.Lock()
	defer p.busy.mu.Unlock()
	for x := range p.busy.of[owner] {
		x.c.Close()
	}
	return len(p.busy.of[owner])
}
