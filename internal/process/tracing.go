package process

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// startTracing installs the tracer provider of the settings. The returned function exports
// the remaining spans and shuts the provider down.
func startTracing(ctx context.Context, s Settings) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var exp trace.SpanExporter
	var err error
	switch s.Exporter {
	case "off":
		return func(context.Context) error { return nil }, nil
	case "stdout":
		exp, err = stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case "otlp":
		exp, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Collect+"/v1/traces"))
	}
	if err != nil {
		return nil, ErrSettings.Wrap(err, "create trace exporter")
	}
	res := resource.NewSchemaless(attribute.String("service.name", "silverswitchd"), attribute.String("service.instance.id", s.Peer))
	p := trace.NewTracerProvider(
		trace.WithBatcher(exp),
		trace.WithResource(res),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(s.Sample))),
	)
	otel.SetTracerProvider(p)
	return p.Shutdown, nil
}

// traceFlushTimeout bounds the export of the last spans at the end of the process.
const traceFlushTimeout = time.Second

// flushTraces exports the remaining spans at the end of the process.
func flushTraces(flush func(context.Context) error, log zerolog.Logger) {
	ctx, stop := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer stop()
	if err := flush(ctx); err != nil {
		log.Debug().Err(err).Msg("trace-flush-failed")
	}
}
