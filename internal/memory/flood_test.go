package memory

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// emulatedCaller sends one request after the other, and comes back after a refusal when it is told.
type emulatedCaller struct {
	org, service  string
	bytes         int64
	hold          *Hold // nil between requests
	until         time.Time
	comesBack     bool
	served, tries int
	again, gotIn  int // tries after a refusal, and those that were admitted
}

// emulateFlood runs callers in virtual time before an account, each holding its memory for 0.9 to
// 2.7 s, and returns the mean part of the limit that was in use.
func emulateFlood(a *Account, callers []*emulatedCaller, d time.Duration) (inUse float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	a.now = func() time.Time { return now }
	steps := 0
	for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, c := range callers {
			if now.Before(c.until) {
				continue
			}
			if c.hold != nil {
				c.hold.Release()
				c.hold, c.until = nil, now.Add(time.Duration(rnd.IntN(200))*time.Millisecond)
				c.served++
				continue
			}
			c.try(a, now, rnd)
		}
		inUse += float64(a.Used()) / float64(a.Usage().Limit)
		steps++
	}
	return inUse / float64(steps)
}

func (c *emulatedCaller) try(a *Account, now time.Time, rnd *rand.Rand) {
	h := a.HoldFor(c.org, c.service)
	ok := h.Reserve(c.bytes)
	c.tries++
	if c.comesBack {
		c.again++
		if ok {
			c.gotIn++
		}
	}
	c.comesBack = !ok
	if !ok {
		c.until = now.Add(a.RetryDelay(c.org, c.bytes))
		return
	}
	c.hold, c.until = &h, now.Add(900*time.Millisecond+time.Duration(rnd.IntN(1800))*time.Millisecond)
}

func callersOf(org, service string, n int, bytes int64) (out []*emulatedCaller) {
	for range n {
		out = append(out, &emulatedCaller{org: org, service: service, bytes: bytes})
	}
	return out
}

// One service of an organisation has several times as many large bodies as the memory of a small VM holds. What
// the others lose and what of the memory is used are judged together: a bound that protects the
// others by leaving memory idle is no better than none.
func TestFloodOfLargeBodiesCostsOthersNothingAndUsesTheMemory(t *testing.T) {
	for _, vm := range []int{smallestVM, 134, 536} {
		a := NewAccount(limitFor(vm, 15*mb))
		flood := callersOf("flood", "flooded", 3*int(a.limit/largestBody), largestBody)
		others := append(callersOf("other", "own", 3, mb), callersOf("small", "own", 6, 24<<10)...)
		others = append(others, callersOf("flood", "sound", 8, 64<<10)...)
		inUse := emulateFlood(a, append(flood, others...), 60*time.Second)
		for _, c := range others {
			assert.Zero(t, c.again, "%d MB: no request of %s for %s is refused", vm, c.org, c.service)
			assert.Positive(t, c.served)
		}
		assert.Greater(t, inUse, 0.7, "%d MB: part of the limit in use", vm)
		served, again, gotIn := 0, 0, 0
		for _, c := range flood {
			served, again, gotIn = served+c.served, again+c.again, gotIn+c.gotIn
		}
		assert.Positive(t, served)
		t.Logf("%d MB: %.2f of the limit in use, %d large requests served, %d of %d came back in time", vm, inUse, served, gotIn, again)
	}
}
