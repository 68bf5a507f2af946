package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// One organisation's flood overloaded a router, and
// the router refused everyone there alike.
func TestFloodIsRefusedBeforeOthers(t *testing.T) {
	d := newDoor()
	now := time.Unix(1_800_000_000, 0)
	const part = 0.5 // of everything is to go
	refused, sent := map[string]int{}, map[string]int{}
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		org := "flood"
		if i%10 == 0 {
			org = "small"
		}
		sent[org]++
		if d.refuses(org, part, now) {
			refused[org]++
		}
	}
	assert.Less(t, refused["small"], sent["small"]/20)
	all := float64(refused["flood"]+refused["small"]) / 20_000
	assert.InDelta(t, 0.5, all, 0.05)
	assert.False(t, d.refuses("flood", 0, now), "a router that keeps up refuses nobody")
	late := 0
	for range 100 {
		if d.refuses("flood", 0.9, now) {
			late++
		}
	}
	assert.Greater(t, late, 70)
}
