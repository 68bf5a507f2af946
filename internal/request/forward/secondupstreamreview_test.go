package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A second upstream turned the request down, and the next second attempt was free to go there again.
func TestUpstreamThatRejectedASecondAttemptIsAvoided(t *testing.T) {
	rejects, _ := scriptedUpstream(t, notRunAnswer)
	sound := newPausingUpstream(t, 0, 0, 0)
	sound.status = http.StatusOK
	r := newHarness(t, darkUpstream(t), rejects, sound.addr)
	for _, route := range r.control.table.Routes {
		route.MaxAttempts, route.Timeout = 3, 6*time.Second
	}
	res, _, err := r.do(t, "GET", "/safe/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	var avoided []string
	for _, i := range r.control.avoided {
		avoided = append(avoided, i.ID)
	}
	assert.Contains(t, avoided, "i-1")
}
