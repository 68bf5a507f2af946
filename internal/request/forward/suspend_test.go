package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/clock"
)

// The VM is suspended for 1.5 s while a request with a deadline of 2 s waits for a second
// upstream. The upstream must get the time that is really left. If none is left, the request
// must end at once rather than when Go's timers, which stop during a suspension, run out.
func TestTimeSuspendedIsDeductedFromDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		status    int
		sent      int
	}{
		"some is left":    {1500 * time.Millisecond, http.StatusOK, 1},
		"nothing is left": {5 * time.Second, http.StatusGatewayTimeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var total atomic.Int64
			stepped := clock.New(func() (time.Duration, bool) { return time.Duration(total.Load()), true })
			first, _ := scriptedUpstream(t, "\x00")
			second, got := scriptedUpstream(t, okHelloAnswer)
			r := newHarness(t, first, second)
			r.server.clock = stepped
			r.control.onPlaceAgain = func() {
				total.Add(int64(c.suspended))
				stepped.Refresh()
			}
			r.control.neverPlaceAgain = c.sent == 0
			began := time.Now()
			res, _, err := r.do(t, "GET", "/safe/x", "", "X-Left-Ms", "2000")
			require.NoError(t, err)
			assert.Equal(t, c.status, res.StatusCode)
			assert.Less(t, time.Since(began), 1900*time.Millisecond, "must not wait for Go's timers")
			require.Len(t, got(), c.sent)
			for _, sent := range got() {
				left, err := strconv.Atoi(sent.Header.Get("X-Left-Ms"))
				require.NoError(t, err)
				assert.LessOrEqual(t, left, 500)
			}
		})
	}
}

func TestClockDeadlineEndsWithCaller(t *testing.T) {
	ctx, gone := context.WithCancel(context.Background())
	held, stop := clock.System.WithDeadline(ctx, clock.System.Now().Add(time.Hour))
	defer stop()
	gone()
	<-held.Done()
}
