package forward

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Callers give each attempt an ID of its own, so nothing told whether they come back to the router
// that refused them, and what asked for more than it was granted was counted twice.
func TestSecondTriesAreCountedByOrganisationAndGate(t *testing.T) {
	var out bytes.Buffer
	log := newRequestLog(zerolog.New(&out))
	s := newSecondTries(metrics.NewRegistry())
	d := &Dialect{PromptParts: "X-Parts"}
	now := time.Unix(1_800_000_000, 0)
	try := func(org string, no int) followed {
		return s.arrived(d, http.Header{"X-Parts": {fmt.Sprintf("ab:100,%x:7", no)}}, org, now, log)
	}
	const requests = 400
	for no := range requests {
		s.refuse(try("flood", no), "flood", "router-overloaded")
		s.refuse(try("other", no), "other", "share-used")
	}
	now = now.Add(time.Second)
	again := 0
	for no := range requests {
		f := try("flood", no)
		if f.first == (tryKey{"flood", "router-overloaded"}) {
			again++
		}
		s.refuse(f, "flood", "share-used")
	}
	assert.InDelta(t, requests/secondTrySample, again, requests/8)
	for no := range requests {
		assert.Empty(t, try("flood", no).first, "it was a second try already")
	}
	assert.Empty(t, s.arrived(d, http.Header{}, "flood", now, log), "without a prompt")
	out.Reset()
	now = now.Add(secondTryPeriod)
	for no := range 8 * secondTrySample {
		try("flood", requests+no)
	}
	lines := out.String()
	require.Contains(t, lines, fmt.Sprintf(`"organisation":"flood","gate":"router-overloaded","refused":%d,"came_back":%d,"refused_again":%d`, secondTrySample*again, secondTrySample*again, secondTrySample*again))
	assert.Contains(t, lines, `"organisation":"other","gate":"share-used"`)
	assert.NotContains(t, lines, `"gate":"share-used","refused":0`, "a second refusal counts for the first one's gate")
	now = now.Add(2 * secondTryPeriod)
	for no := range requests {
		assert.Empty(t, try("other", no).first, "forgotten")
	}
}
