package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// tracing creates the spans of requests. While tracing is off it creates none: a span that
// records nothing still costs ten allocations per request.
type tracing struct {
	tracer trace.Tracer
	on     bool
}

// newTracing returns tracing by the provider that is installed. A provider that records
// gives every span a valid context, also one that is not sampled. The span that shows it is
// not ended, so it is not exported.
func newTracing() tracing {
	t := otel.Tracer("silverswitch")
	_, span := t.Start(context.Background(), "probe", trace.WithNewRoot())
	return tracing{tracer: t, on: span.SpanContext().IsValid()}
}

func noSpan() {}

// entry starts the span of a request that arrived, as a child of the caller's span. The
// returned function ends it.
func (t *tracing) entry(r *http.Request) (*http.Request, func()) {
	if !t.on {
		return r, noSpan
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := t.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	return r.WithContext(ctx), func() { span.End() }
}

// attempt starts the span of an attempt at an upstream. The returned function ends it.
func (t *tracing) attempt(ctx context.Context, p *dispatch.Placement) (context.Context, func()) {
	if !t.on {
		return ctx, noSpan
	}
	ctx, span := t.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", p.Instance.ID), attribute.String("place", p.Instance.Place)))
	return ctx, func() { span.End() }
}
