// Package tracing makes a span for each hop of a request by OpenTelemetry's
// library: the entry router, the owner when it is another router, and the call
// to the upstream.
//
// The context travels in the request's own headers, traceparent and tracestate
// of the W3C. It is taken from the caller, replaced at each hop by that hop's
// span, and passed to the upstream. The node core carries the headers and
// knows nothing of traces.
//
// The entry decides by the sample ratio of its settings whether a request is
// traced, whatever the caller's flag says, so that callers can't make the
// fleet trace more than its operators want; later hops follow the entry. A
// router that sends to upstreams itself makes one span for the request and one
// for each attempt, which names it to the upstream. With
// the exporter none a Tracer is nil, and every method does nothing and
// allocates nothing; a caller's context then passes through as it came.
//
// Failure guarded: the collector is down or slow. Spans wait in a bounded
// queue and are dropped beyond it, and no request waits for it.
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

// fileMode lets only the process's user and group read a file of spans.
const fileMode = 0o640

// Tracer makes the spans of one process. Nil means that traces are off.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// New returns a tracer with the exporter of the settings, nil for none. The
// error is that of opening the file or reading the endpoint.
func New(s settings.Traces, router protocol.RouterID, dataCentre protocol.DataCentre) (*Tracer, error) {
	t := &Tracer{}
	exporter, err := t.exporter(s)
	if err != nil || exporter == nil {
		return nil, err
	}
	t.provide(sdktrace.WithBatcher(exporter), s.SampleRatio, router, dataCentre)
	return t, nil
}

// provide makes the provider around a processor of spans.
func (t *Tracer) provide(processor sdktrace.TracerProviderOption, ratio float64, router protocol.RouterID, dataCentre protocol.DataCentre) {
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

// exporter returns nil for the exporter none.
func (t *Tracer) exporter(s settings.Traces) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case "stdout":
		return stdouttrace.New()
	case "file":
		file, err := os.OpenFile(s.File, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
		if err != nil {
			return nil, eris.Wrap(err, "open the file for traces")
		}
		t.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case "otlp":
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.Endpoint))
		return exporter, eris.Wrap(err, "start the exporter for traces")
	}
	return nil, nil
}

// Close sends what waits and ends the exporter; the context bounds it.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return eris.Wrap(err, "stop traces")
}

// sampler lets the entry decide by ratio and later hops follow it.
type sampler struct {
	entry sdktrace.Sampler
	later sdktrace.Sampler
}

func newSampler(ratio float64) sampler {
	byRatio := sdktrace.TraceIDRatioBased(ratio)
	return sampler{entry: byRatio, later: sdktrace.ParentBased(byRatio)}
}

// ShouldSample implements the library's Sampler. Only the entry's spans are of
// the kind server.
func (s sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if p.Kind == trace.SpanKindServer {
		return s.entry.ShouldSample(p)
	}
	return s.later.ShouldSample(p)
}

// Description implements the library's Sampler.
func (s sampler) Description() string { return "entry by ratio: " + s.entry.Description() }
