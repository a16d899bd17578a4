// Package tracer sets up OpenTelemetry spans and carries their context in the
// W3C traceparent format.
package tracer

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
)

const (
	instrumentation = "plantaincleat"
	header          = "traceparent"
)

// Configure installs a provider that samples a fraction of root spans and appends
// them to a file as JSON. An empty file exports nothing. The returned function
// flushes what is left.
func Configure(service, file string, sample float64) (func(context.Context) error, error) {
	opts := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(sample))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", service))),
	}
	var closer io.Closer
	if file != "" {
		f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, eris.Wrap(err, "trace.file")
		}
		closer = f
		exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, eris.Wrap(err, "trace exporter")
		}
		opts = append(opts, trace.WithBatcher(exp))
	}
	p := trace.NewTracerProvider(opts...)
	otel.SetTracerProvider(p)
	return func(ctx context.Context) error {
		err := p.Shutdown(ctx)
		if closer != nil {
			_ = closer.Close()
		}
		return err
	}, nil
}

// StartSpan starts a span as a child of the one in ctx.
func StartSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, api.Span) {
	return otel.Tracer(instrumentation).Start(ctx, name, api.WithAttributes(attrs...))
}

// Sampled reports whether the span in ctx is exported.
func Sampled(ctx context.Context) bool { return api.SpanContextFromContext(ctx).IsSampled() }

// RecordSpan adds a span of the past as a child of the one in ctx.
func RecordSpan(ctx context.Context, name string, start, end time.Time, attrs ...attribute.KeyValue) {
	_, span := otel.Tracer(instrumentation).Start(ctx, name, api.WithTimestamp(start), api.WithAttributes(attrs...))
	span.End(api.WithTimestamp(end))
}

// Inject returns the traceparent of the span in ctx, or an empty string.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[header]
}

// Extract returns ctx with the remote span that a traceparent names.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{header: traceparent})
}

// TraceID returns the trace id of the span in ctx in hex.
func TraceID(ctx context.Context) string {
	return api.SpanContextFromContext(ctx).TraceID().String()
}
