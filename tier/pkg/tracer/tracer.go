// Package tracer records OpenTelemetry spans and passes their context between
// processes in the W3C traceparent format.
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
	instrumentation   = "plantaincleat"
	traceparentHeader = "traceparent"
)

// Configure installs the global tracer provider. It samples a fraction of root
// spans, in [0,1], and appends sampled spans to a file as JSON. If file is empty,
// spans are not exported. The returned function exports the remaining spans and
// closes the file.
func Configure(service, file string, sample float64) (func(context.Context) error, error) {
	opts := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(sample))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", service))),
	}
	var closer io.Closer
	if file != "" {
		f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, eris.Wrap(err, "open trace.file")
		}
		closer = f
		exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, eris.Wrap(err, "create trace exporter")
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

// Sampled reports whether the span in ctx is sampled for export.
func Sampled(ctx context.Context) bool { return api.SpanContextFromContext(ctx).IsSampled() }

// RecordSpan adds a span that has already ended, as a child of the one in ctx.
func RecordSpan(ctx context.Context, name string, start, end time.Time, attrs ...attribute.KeyValue) {
	_, span := otel.Tracer(instrumentation).Start(ctx, name, api.WithTimestamp(start), api.WithAttributes(attrs...))
	span.End(api.WithTimestamp(end))
}

// Inject returns the traceparent of the span in ctx, or an empty string if there is
// no span.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceparentHeader]
}

// Extract returns ctx with the remote span that a traceparent identifies. An empty
// traceparent leaves ctx unchanged.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// TraceID returns the trace id of the span in ctx in hex, all zeros if there is no
// span.
func TraceID(ctx context.Context) string {
	return api.SpanContextFromContext(ctx).TraceID().String()
}
