package process

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// turnsRouter models a router whose requests share its CPU by turns: what is let in is read, placed
// and sent in many short turns of the run queue, behind the turns of all other requests and of the
// refusals. Times are in milliseconds.
type turnsRouter struct {
	cores, now   float64
	rng          *rand.Rand
	decision     shedDecision
	queue        []turnsRequest
	undecided    int64
	maxUndecided int64
	used         float64 // CPU ms since the last sample
	lag, unread  float64 // of the last turn, of the last request that was read
	sampledAt    float64
	inTime       []int // requests sent within turnsPatience, by second
}

// turnsRequest is a request with turns left.
type turnsRequest struct {
	arrived, queued float64
	turns           int // 0: not read yet
}

const (
	turnsOfRequest     = 14
	turnsUntilDecision = 6
	turnsUntilSent     = 8 // the others pass its answer on
	turnMS             = 0.05
	turnsRefusalMS     = 0.075
	turnsPatience      = 250.0 // until a decision is made without the scheduler
	turnsTargetMS      = 400
	turnsFloodStart    = 1000.0
)

// run plays a duration, with so many requests a second from turnsFloodStart on.
func (r *turnsRouter) run(perSecond, duration float64) {
	budget := 0.0
	for ; r.now < duration; r.now++ {
		rate := 20.0
		if r.now >= turnsFloodStart {
			rate = perSecond
		}
		for n := rate / 1000; n > 0; n-- {
			if r.rng.Float64() < n {
				r.queue = append(r.queue, turnsRequest{arrived: r.now, queued: r.now})
			}
		}
		for budget = min(budget+r.cores, 1); budget > 0 && len(r.queue) > 0; {
			took := r.turn()
			budget -= took
			r.used += took
		}
		if r.now-r.sampledAt >= 100 {
			r.sample()
		}
	}
}

// turn gives the CPU to the first request of the run queue, and returns the time that it took.
func (r *turnsRouter) turn() float64 {
	q := r.queue[0]
	r.queue = r.queue[1:]
	r.lag = r.now - q.queued
	if q.turns == 0 {
		r.unread = r.now - q.arrived
		ratio, _ := r.decision.ratio()
		if r.maxUndecided > 0 && r.undecided >= r.maxUndecided {
			ratio = max(ratio, 0.98)
		}
		if r.rng.Float64() < ratio {
			return turnsRefusalMS
		}
		r.undecided++
	}
	switch q.turns++; q.turns {
	case turnsUntilDecision:
		r.undecided--
	case turnsUntilSent:
		second := int(r.now / 1000)
		for len(r.inTime) <= second {
			r.inTime = append(r.inTime, 0)
		}
		if r.now-q.arrived <= turnsPatience {
			r.inTime[second]++
		}
	}
	if q.turns < turnsOfRequest {
		q.queued = r.now
		r.queue = append(r.queue, q)
	}
	return turnMS
}

func (r *turnsRouter) sample() {
	s := loadSample{
		wall: time.Duration((r.now - r.sampledAt) * float64(time.Millisecond)), use: r.used / (r.now - r.sampledAt) / r.cores,
		lag: time.Duration(r.lag * float64(time.Millisecond)), unread: time.Duration(r.unread * float64(time.Millisecond)), target: turnsTargetMS * time.Millisecond,
	}
	r.decision.update(s)
	r.maxUndecided = r.decision.maxUndecided()
	r.used, r.sampledAt = 0, r.now
}

// Guards against a small router that a flood chokes: more requests are let in within the first
// tenths of a second than it can send, each takes its turns among all others, and none is sent
// before its decision is made without the scheduler or its caller leaves.
func TestFloodDoesNotChokeSmallRouter(t *testing.T) {
	for seed := range uint64(8) {
		r := &turnsRouter{cores: 0.192, rng: rand.New(rand.NewPCG(seed, 3)), decision: shedDecision{cores: 0.192}}
		r.run(1500, 8000)
		t.Logf("seed %d: sent in time by second %v", seed, r.inTime)
		for second := 2; second < 8; second++ {
			assert.Greater(t, r.inTime[second], 100, "seed %d, second %d", seed, second)
		}
	}
}
