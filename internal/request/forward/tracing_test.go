package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace/noop"
)

// Where tracing is switched on, a request still has its spans; where it is off, none are
// created. Guards against losing the spans together with their cost.
func TestSpansOnlyWhileTracingIsOn(t *testing.T) {
	t.Cleanup(func() { otel.SetTracerProvider(noop.NewTracerProvider()) })
	otel.SetTracerProvider(noop.NewTracerProvider())
	assert.False(t, newTracing().on)
	rec := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(rec)))
	addr, _ := scriptedUpstream(t, okHelloAnswer)
	h := newHarness(t, addr)
	res, _, err := h.do(t, http.MethodPost, "/once/x", "{}")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Eventually(t, func() bool { return len(rec.Ended()) == 2 }, 20*time.Second, time.Millisecond)
	assert.Equal(t, "upstream", rec.Ended()[0].Name())
	assert.Equal(t, "entry", rec.Ended()[1].Name())
}

// A provider that samples nothing still counts as tracing: the context of a caller's sampled
// span may arrive with any request.
func TestTracingIsOnAtSampleRatioZero(t *testing.T) {
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(0)))))
	t.Cleanup(func() { otel.SetTracerProvider(noop.NewTracerProvider()) })
	assert.True(t, newTracing().on)
}
