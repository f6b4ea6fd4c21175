package tracing

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"endiveplank/protocol"
)

// The spans in this file are made by routers that call upstreams themselves: one
// for the request and one for each of its attempts.

// StartRequest starts the span of a caller's request. Its parent is the caller's
// span if the headers carry a trace context.
func (t *Tracer) StartRequest(id protocol.RequestID, header http.Header) Span {
	if t == nil {
		return Span{}
	}
	parent := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(header))
	return t.startSpan(parent, "request", trace.SpanKindServer, attribute.String("endiveplank.request", string(id)))
}

// StartAttempt starts the span of one attempt of a request and writes its trace
// context to the headers that go to the upstream.
func (t *Tracer) StartAttempt(request Span, number int, upstream protocol.UpstreamID, header http.Header) Span {
	if t == nil {
		return Span{}
	}
	parent := trace.ContextWithSpan(context.Background(), request.span)
	span := t.startSpan(parent, "attempt", trace.SpanKindClient,
		attribute.Int("endiveplank.attempt", number), attribute.String("endiveplank.upstream", string(upstream)))
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), span.span), propagation.HeaderCarrier(header))
	return span
}

// startSpan starts a span whose parent is the span in the context parent, if any.
func (t *Tracer) startSpan(parent context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue) Span {
	_, span := t.tracer.Start(parent, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
	return Span{span}
}
