package daemon

import (
	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/transport/tracing"
)

// maxOwnerSpans bounds the spans that are open at once for other routers' requests. Requests
// beyond it get no owner's span. A router has far fewer requests in flight.
const maxOwnerSpans = 1 << 16

// ownerSpans holds the open spans of the attempts that other routers have placed on this one. The
// core neither sees nor needs them. The runner's lock guards it.
type ownerSpans struct {
	tracer *tracing.Tracer
	open   map[fleet.Attempt]ownerSpan
}

// ownerSpan is the span of one attempt, and the entry router that placed it.
type ownerSpan struct {
	span  tracing.Span
	trace string
	from  protocol.RouterID
}

// handleInput opens a span for an attempt that a peer places, and sets headers that carry its
// context to the upstream. It ends the spans of attempts that are cancelled or whose peer is lost.
func (s *ownerSpans) handleInput(in node.Input) node.Input {
	if s.tracer == nil {
		return in
	}
	switch in := in.(type) {
	case node.PeerPlace:
		if len(s.open) >= maxOwnerSpans {
			return in
		}
		s.end(in.Place.Attempt, tracing.Result{Reason: "placed anew"})
		span, headers := s.tracer.StartOwner(in.Place)
		in.Place.Headers = headers
		s.open[in.Place.Attempt] = ownerSpan{span, tracing.TraceID(headers), in.From}
		return in
	case node.PeerCancel:
		s.end(in.Cancel.Attempt, tracing.Result{Reason: "cancelled"})
	case node.PeerLost:
		s.endFrom(in.Peer)
	}
	return in
}

// endFrom ends the spans of attempts from a router that is lost.
func (s *ownerSpans) endFrom(peer protocol.RouterID) {
	for attempt, open := range s.open {
		if open.from == peer {
			s.end(attempt, tracing.Result{Reason: "entry lost", Failed: true})
		}
	}
}

// handleSend ends the span of an attempt with the final message that goes to its entry router.
func (s *ownerSpans) handleSend(payload any) {
	if len(s.open) == 0 {
		return
	}
	switch payload := payload.(type) {
	case fleet.End:
		s.end(payload.Attempt, tracing.Result{Reason: payload.Reason, Failed: !payload.Complete})
	case fleet.PlaceReply:
		if payload.Outcome != fleet.PlaceStarted && payload.Outcome != fleet.PlaceQueued {
			s.end(payload.Attempt, tracing.Result{Reason: payload.Reason})
		}
	}
}

func (s *ownerSpans) end(attempt fleet.Attempt, result tracing.Result) {
	if open, found := s.open[attempt]; found {
		open.span.End(result)
		delete(s.open, attempt)
	}
}

// traceOf returns the trace ID of an event's request, empty if none is known. The caller holds the
// runner's lock.
func (r *runner) traceOf(event node.Event) string {
	if answer := r.answers[event.Request]; answer != nil {
		return answer.TraceID
	}
	return r.ownerSpans.open[fleet.Attempt{Request: event.Request, Number: event.Attempt}].trace
}
