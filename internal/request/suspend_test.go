package request

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/memory"
	"github.com/silverswitch/silverswitch/internal/request/caller"
	"github.com/silverswitch/silverswitch/internal/version"
)

// slotControl grants one slot. When the slot is returned, it refuses the request.
type slotControl struct {
	Control
	returned int
	at       time.Time
}

func (c *slotControl) Quarantined(version.ID) map[fingerprint.Fingerprint]quarantine.State {
	return nil
}

func (c *slotControl) Return(t *Ticket, _ bool) {
	c.returned++
	t.Decide(Decision{At: c.at, Refusal: core.Refuse{Reason: entry.ReasonNoUpstream, RetryAfter: time.Second}})
}

// The VM is suspended after a request was granted a slot and before the request uses it.
// Meanwhile the lease has expired for the other routers, and another request may run in the
// slot, so it must be returned unused.
func TestSlotGrantedBeforeSuspensionIsReturned(t *testing.T) {
	var total atomic.Int64
	stepped := clock.New(func() (time.Duration, bool) { return time.Duration(total.Load()), true })
	ctrl := &slotControl{at: stepped.Now()}
	fingerprintKey, err := fingerprint.NewKey("a secret of the fleet")
	require.NoError(t, err)
	s := NewServer(ctrl, conn.NewUpstreams(conn.DefaultLimits), fingerprintKey, DefaultLimits, memory.NewAccount(1<<20), metrics.NewRegistry())
	s.clock = stepped
	ticket := NewTicket(1)
	ticket.Decide(Decision{Upstream: &version.Upstream{Name: "u", Address: "127.0.0.1:1"}, At: stepped.Now()})
	total.Add(int64(5 * time.Second))

	w, req := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil)
	v := &callerRequest{w: w, r: req, org: &version.Organisation{}, terms: caller.Terms{ID: "r1"}, span: trace.SpanFromContext(req.Context())}
	r := &run{s: s, v: v, app: &version.Application{}, ticket: ticket, ctx: req.Context(), waitCtx: req.Context()}
	r.loop()
	assert.Equal(t, 1, ctrl.returned)
	assert.Zero(t, r.attempts, "nothing was sent")
}
