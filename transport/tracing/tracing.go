// Package tracing creates OpenTelemetry spans for each hop of a request: the entry
// router, the owner if it is another router, and the call to the upstream. A router
// that calls upstreams itself creates one span for the request and one for each
// attempt, whose span the upstream gets as its parent. Tracer starts spans, Span
// ends them.
//
// The trace context is in the request's own headers, traceparent and tracestate of
// the W3C. It comes from the caller, each hop replaces it by its own span, and the
// upstream receives it. The node core passes the headers on and doesn't depend on
// tracing.
//
// The entry router decides by the sample ratio in its settings whether a request is
// traced, regardless of the caller's sampled flag, so that callers can't make the
// fleet trace more than its operators want. Later hops follow its decision. With
// the exporter "none" the Tracer is nil: its methods do nothing and allocate
// nothing, and a caller's trace context is passed on unchanged.
//
// The package guards against a collector that is down or slow: spans wait in a
// bounded queue, spans beyond it are dropped, and no request waits for it.
package tracing

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"endiveplank/protocol"
	"endiveplank/settings"
)

// fileMode lets only the process's user and group read the file of spans.
const fileMode = 0o640

// Tracer creates the spans of one process. Tracing is off for a nil Tracer.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// New returns a tracer with the exporter that the settings name, or nil for the
// exporter "none". It returns an error when it can't open the file or parse the
// endpoint.
func New(s settings.Traces, router protocol.RouterID, dataCentre protocol.DataCentre) (*Tracer, error) {
	t := &Tracer{}
	exporter, err := t.newExporter(s)
	if err != nil || exporter == nil {
		return nil, err
	}
	t.setUpProvider(sdktrace.WithBatcher(exporter), s.SampleRatio, router, dataCentre)
	return t, nil
}

// setUpProvider creates the tracer provider with a span processor.
func (t *Tracer) setUpProvider(processor sdktrace.TracerProviderOption, ratio float64, router protocol.RouterID, dataCentre protocol.DataCentre) {
	t.provider = sdktrace.NewTracerProvider(
		processor,
		sdktrace.WithSampler(newSampler(ratio)),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "endiveplankd"),
			attribute.String("service.instance.id", string(router)),
			attribute.String("cloud.availability_zone", string(dataCentre)),
		)),
	)
	t.tracer = t.provider.Tracer("endiveplank")
}

// newExporter returns the exporter that the settings name, or nil for "none".
func (t *Tracer) newExporter(s settings.Traces) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case "stdout":
		return stdouttrace.New()
	case "file":
		file, err := os.OpenFile(s.File, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
		if err != nil {
			return nil, eris.Wrapf(err, "open trace file %q", s.File)
		}
		t.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case "otlp":
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.Endpoint))
		return exporter, eris.Wrapf(err, "start the OTLP trace exporter for %q", s.Endpoint)
	}
	return nil, nil
}

// Close exports the spans that wait and stops the exporter. The context bounds how
// long this takes.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return eris.Wrap(err, "stop the trace exporter")
}

// sampler decides by ratio at the entry router. Later hops follow that decision.
type sampler struct {
	entry sdktrace.Sampler
	later sdktrace.Sampler
}

func newSampler(ratio float64) sampler {
	byRatio := sdktrace.TraceIDRatioBased(ratio)
	return sampler{entry: byRatio, later: sdktrace.ParentBased(byRatio)}
}

// ShouldSample implements sdktrace.Sampler. Only the entry router's spans have the
// kind server.
func (s sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if p.Kind == trace.SpanKindServer {
		return s.entry.ShouldSample(p)
	}
	return s.later.ShouldSample(p)
}

// Description implements sdktrace.Sampler.
func (s sampler) Description() string { return "entry by ratio: " + s.entry.Description() }
