package tracing

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"endiveplank/protocol"
)

// Hops of routers that send to upstreams themselves: the request, and each of its
// attempts.

// Request starts the span of a caller's request, under the caller's own span if
// its headers name one.
func (t *Tracer) Request(id protocol.RequestID, header http.Header) Span {
	if t == nil {
		return Span{}
	}
	parent := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(header))
	return t.open(parent, "request", trace.SpanKindServer, attribute.String("endiveplank.request", string(id)))
}

// Attempt starts the span of one attempt of a request and puts it into the
// headers towards the upstream.
func (t *Tracer) Attempt(request Span, number int, upstream protocol.UpstreamID, header http.Header) Span {
	if t == nil {
		return Span{}
	}
	parent := trace.ContextWithSpan(context.Background(), request.span)
	span := t.open(parent, "attempt", trace.SpanKindClient,
		attribute.Int("endiveplank.attempt", number), attribute.String("endiveplank.upstream", string(upstream)))
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), span.span), propagation.HeaderCarrier(header))
	return span
}

// open starts a span.
func (t *Tracer) open(parent context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue) Span {
	_, span := t.tracer.Start(parent, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
	return Span{span}
}
