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

// Headers of the W3C trace context, in the canonical form of net/http.
const (
	parentHeader = "Traceparent"
	stateHeader  = "Tracestate"
)

// A traceparent header consists of version, trace ID, span ID and flags in
// hexadecimal. These are the positions of the trace ID.
const (
	traceIDStart = 3
	traceIDEnd   = traceIDStart + 32
)

// Span is the span of one hop. The methods of the zero Span do nothing.
type Span struct{ span trace.Span }

// Result is how a hop ended.
type Result struct {
	// Reason is a code of package reason; empty on success.
	Reason string
	// Status is the HTTP status; 0 if there is none.
	Status int
	Failed bool
}

// StartEntry starts the span of a caller's request at its entry router and returns
// the request's headers with the new span as trace context.
func (t *Tracer) StartEntry(id protocol.RequestID, headers []fleet.Header) (Span, []fleet.Header) {
	if t == nil {
		return Span{}, headers
	}
	return t.start("entry", trace.SpanKindServer, headers, attribute.String("endiveplank.request", string(id)))
}

// StartOwner starts the span of an attempt that the entry router sent to this
// router.
func (t *Tracer) StartOwner(place fleet.Place) (Span, []fleet.Header) {
	if t == nil {
		return Span{}, place.Headers
	}
	return t.startHop("owner", trace.SpanKindInternal, place)
}

// StartUpstream starts the span of a call to an upstream.
func (t *Tracer) StartUpstream(place fleet.Place) (Span, []fleet.Header) {
	if t == nil {
		return Span{}, place.Headers
	}
	return t.startHop("upstream", trace.SpanKindClient, place)
}

func (t *Tracer) startHop(name string, kind trace.SpanKind, place fleet.Place) (Span, []fleet.Header) {
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

// carrierOf returns the trace context in a request's headers.
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

// replaceContext returns a copy of headers with next as its trace context.
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

// End records how the hop ended and ends the span.
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

// TraceID returns the trace ID in a request's headers; empty if there is none.
// Events carry it even when this process makes no spans.
func TraceID(headers []fleet.Header) string {
	for _, header := range headers {
		if header.Name == parentHeader && len(header.Value) > traceIDEnd {
			return header.Value[traceIDStart:traceIDEnd]
		}
	}
	return ""
}
