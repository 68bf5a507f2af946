package process

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Operators see how much is shed, and for which reason. Guards against gauges that the
// metrics page leaves out.
func TestShedRatioAndReasonAreGauges(t *testing.T) {
	d := overloadDetector{cores: 0.192}
	reg := metrics.NewRegistry()
	d.observeCallers(newConnLimiter(0), reg)
	for range 3 {
		d.observe(loadSample{use: 1.1, lag: 2 * time.Millisecond, target: 400 * time.Millisecond})
	}
	var page strings.Builder
	writeRegistry(&page, reg, nil)
	for _, line := range []string{"silverswitch_overload_shed_ratio 0.24", "silverswitch_overload_shed_by_processor 0.24", "silverswitch_overload_shed_by_lag 0", "silverswitch_overload_shed_by_unread 0"} {
		assert.Contains(t, page.String(), line+"\n")
	}
}
