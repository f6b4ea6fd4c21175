package tracing

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// Headers of the W3C trace context, in Go's canonical form.
const (
	parentHeader = "Traceparent"
	stateHeader  = "Tracestate"
)

// A traceparent is version, trace ID, span ID and flags in hexadecimal; the
// trace ID stands at these positions.
const (
	traceIDStart = 3
	traceIDEnd   = traceIDStart + 32
)

// Span is one hop's span. The zero Span does nothing.
type Span struct{ span trace.Span }

// Result is how a hop ended.
type Result struct {
	// Reason is a code of package reason; empty when all went well.
	Reason string
	// Status is the HTTP status; 0 for none.
	Status int
	Failed bool
}

// Entry starts the span of a caller's request and returns the headers that
// carry it on.
func (t *Tracer) Entry(id protocol.RequestID, headers []fleet.Header) (Span, []fleet.Header) {
	if t == nil {
		return Span{}, headers
	}
	return t.start("entry", trace.SpanKindServer, headers, attribute.String("endiveplank.request", string(id)))
}

// Owner starts the span of an attempt that came from its entry router.
func (t *Tracer) Owner(place fleet.Place) (Span, []fleet.Header) {
	if t == nil {
		return Span{}, place.Headers
	}
	return t.attempt("owner", trace.SpanKindInternal, place)
}

// Upstream starts the span of a call to an upstream.
func (t *Tracer) Upstream(place fleet.Place) (Span, []fleet.Header) {
	if t == nil {
		return Span{}, place.Headers
	}
	return t.attempt("upstream", trace.SpanKindClient, place)
}

func (t *Tracer) attempt(name string, kind trace.SpanKind, place fleet.Place) (Span, []fleet.Header) {
	return t.start(name, kind, place.Headers,
		attribute.String("endiveplank.request", string(place.Attempt.Request)),
		attribute.Int64("endiveplank.attempt", int64(place.Attempt.Number)),
		attribute.String("endiveplank.upstream", string(place.Upstream)),
		attribute.Int("endiveplank.class", place.Class),
	)
}

func (t *Tracer) start(name string, kind trace.SpanKind, headers []fleet.Header, attributes ...attribute.KeyValue) (Span, []fleet.Header) {
	w3c := propagation.TraceContext{}
	parent := w3c.Extract(context.Background(), carrierOf(headers))
	ctx, span := t.tracer.Start(parent, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
	next := propagation.MapCarrier{}
	w3c.Inject(ctx, next)
	return Span{span}, replaceContext(headers, next)
}

// carrierOf finds the context in a request's headers.
func carrierOf(headers []fleet.Header) propagation.MapCarrier {
	carrier := propagation.MapCarrier{}
	for _, header := range headers {
		switch header.Name {
		case parentHeader:
			carrier["traceparent"] = header.Value
		case stateHeader:
			carrier["tracestate"] = header.Value
		}
	}
	return carrier
}

// replaceContext returns a copy of headers with another context.
func replaceContext(headers []fleet.Header, next propagation.MapCarrier) []fleet.Header {
	replaced := make([]fleet.Header, 0, len(headers)+2)
	for _, header := range headers {
		if header.Name != parentHeader && header.Name != stateHeader {
			replaced = append(replaced, header)
		}
	}
	replaced = append(replaced, fleet.Header{Name: parentHeader, Value: next["traceparent"]})
	if state := next["tracestate"]; state != "" {
		replaced = append(replaced, fleet.Header{Name: stateHeader, Value: state})
	}
	return replaced
}

// End closes the span with how the hop ended.
func (s Span) End(result Result) {
	if s.span == nil {
		return
	}
	if result.Status != 0 {
		s.span.SetAttributes(attribute.Int("http.response.status_code", result.Status))
	}
	if result.Reason != "" {
		s.span.SetAttributes(attribute.String("endiveplank.reason", result.Reason))
	}
	if result.Failed {
		s.span.SetStatus(codes.Error, result.Reason)
	}
	s.span.End()
}

// ID returns the trace ID in a request's headers, empty without one. It is
// what events carry, also when this process makes no spans.
func ID(headers []fleet.Header) string {
	for _, header := range headers {
		if header.Name == parentHeader && len(header.Value) > traceIDEnd {
			return header.Value[traceIDStart:traceIDEnd]
		}
	}
	return ""
}
