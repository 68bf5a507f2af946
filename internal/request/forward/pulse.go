package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// pulses records when each upstream was last heard by this router, in any of its answers. An upstream
// whose other answers go on has lost the one that is silent; one that is silent in all of them may be
// pausing; where that holds for all upstreams of a service, another one is no better.
type pulses struct {
	began     time.Time // times are kept as durations since then, by the monotonic clock
	mu        sync.Mutex
	byService map[string]map[string]*pulse // by the upstream's start
}

// pulse is one upstream's. A nil pulse records nothing.
type pulse struct {
	instance routing.Instance
	began    time.Time
	running  atomic.Int32 // attempts under way
	since    atomic.Int64 // since when there are any
	last     atomic.Int64 // when it was last heard, 0 for never
}

// forgetPulse is how long the pulse of an upstream without attempts is kept.
const forgetPulse = 10 * time.Second

func newPulses() *pulses {
	return &pulses{began: time.Now(), byService: map[string]map[string]*pulse{}}
}

// begin counts an attempt at an upstream until the end of the returned pulse.
func (ps *pulses) begin(service string, i routing.Instance, now time.Time) *pulse {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	byStart := ps.byService[service]
	if byStart == nil {
		byStart = map[string]*pulse{}
		ps.byService[service] = byStart
	}
	start := i.StartID()
	p := byStart[start]
	if p == nil {
		for id, old := range byStart {
			if old.running.Load() == 0 && now.Sub(ps.began)-time.Duration(max(old.since.Load(), old.last.Load())) > forgetPulse {
				delete(byStart, id)
			}
		}
		p = &pulse{instance: i, began: ps.began}
		byStart[start] = p
	}
	if p.running.Add(1) == 1 {
		p.since.Store(int64(now.Sub(ps.began)))
	}
	return p
}

// heard records that bytes of the upstream were read.
func (p *pulse) heard(now time.Time) {
	if p != nil {
		p.last.Store(int64(now.Sub(p.began)))
	}
}

// wasHeard reports whether the upstream was heard after a time.
func (p *pulse) wasHeard(after time.Time) bool {
	return p != nil && p.last.Load() > int64(after.Sub(p.began))
}

func (p *pulse) end() {
	if p != nil {
		p.running.Add(-1)
	}
}

// during returns how many upstreams of a service were heard in the second half of a silence that began
// at since, and those that were not, though attempts at them were under way all the while. Upstreams that
// pause together were heard last at about the same time, hence the half.
func (ps *pulses) during(service string, since, now time.Time) (heard int, silent []routing.Instance) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	from := int64(since.Sub(ps.began))
	half := from + int64(now.Sub(since)/2)
	for _, p := range ps.byService[service] {
		switch {
		case p.last.Load() > half:
			heard++
		case p.running.Load() > 0 && p.since.Load() <= half:
			silent = append(silent, p.instance)
		}
	}
	return heard, silent
}
