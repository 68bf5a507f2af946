package process

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// Guards against operators who cannot see why requests of plain services wait or are refused.
func TestSlotsAreLoggedAndMeasured(t *testing.T) {
	var out bytes.Buffer
	counts := dispatch.SlotCounts{Queued: 5, WaitedMS: 70, Refused: 4, Displaced: 3, Expired: 2, Rejected: 1}
	logReport(zerolog.New(&out), dispatch.SlotReport{Service: "s", Waiting: 6, InFlight: 18, Allowed: 24, Upstreams: 3, Silent: 1, ServiceMS: 60, HeldMS: 75, Since: counts})
	assert.JSONEq(t, `{"level":"info","message":"plain-slots","service":"s","waiting":6,"in_flight":18,"allowed":24,"upstreams":3,"silent":1,"service_ms":60,"held_ms":75,
		"queued":5,"waited_ms":70,"refused":4,"displaced":3,"expired":2,"rejected":1}`, out.String())
	lines := statusMetrics(&Status{Slots: dispatch.SlotStatus{Waiting: 6, SlotCounts: counts}, Counts: dispatch.Counts{Rejected: 8}})
	for name, want := range map[string]string{"slots_waiting": "6", "slots_queued": "5", "slots_waited_ms": "70", "slots_refused_wait": "4", "slots_refused_displaced": "3",
		"slots_refused_expired": "2", "slots_rejected": "1", "rejected_by_upstreams": "8"} {
		assert.Equal(t, want, lines[promName("dispatch."+name)], name)
	}
}
