package daemon

import (
	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/transport/tracing"
)

// maxHops bounds the spans that are open at once for other routers' requests;
// requests beyond it have no owner's span. A router carries far fewer.
const maxHops = 1 << 16

// hops keeps the open spans of the attempts that other routers have placed
// here. The core neither sees nor needs them. The runner's lock guards it.
type hops struct {
	tracer *tracing.Tracer
	open   map[fleet.Attempt]hop
}

// hop is one attempt's span and whom it is for.
type hop struct {
	span  tracing.Span
	trace string
	from  protocol.RouterID
}

// input opens a span for a peer's placement, whose headers then carry it on
// to the upstream, and ends the spans that nobody waits for any more.
func (h *hops) input(in node.Input) node.Input {
	if h.tracer == nil {
		return in
	}
	switch in := in.(type) {
	case node.PeerPlace:
		if len(h.open) >= maxHops {
			return in
		}
		h.end(in.Place.Attempt, tracing.Result{Reason: "placed anew"})
		span, headers := h.tracer.StartOwner(in.Place)
		in.Place.Headers = headers
		h.open[in.Place.Attempt] = hop{span, tracing.TraceID(headers), in.From}
		return in
	case node.PeerCancel:
		h.end(in.Cancel.Attempt, tracing.Result{Reason: "cancelled"})
	case node.PeerLost:
		h.lost(in.Peer)
	}
	return in
}

// lost ends the spans of a router that is gone.
func (h *hops) lost(peer protocol.RouterID) {
	for attempt, open := range h.open {
		if open.from == peer {
			h.end(attempt, tracing.Result{Reason: "entry lost", Failed: true})
		}
	}
}

// sent ends a span with the answer that goes to the entry.
func (h *hops) sent(payload any) {
	if len(h.open) == 0 {
		return
	}
	switch payload := payload.(type) {
	case fleet.End:
		h.end(payload.Attempt, tracing.Result{Reason: payload.Reason, Failed: !payload.Complete})
	case fleet.PlaceReply:
		if payload.Outcome != fleet.PlaceStarted && payload.Outcome != fleet.PlaceQueued {
			h.end(payload.Attempt, tracing.Result{Reason: payload.Reason})
		}
	}
}

func (h *hops) end(attempt fleet.Attempt, result tracing.Result) {
	if open, found := h.open[attempt]; found {
		open.span.End(result)
		delete(h.open, attempt)
	}
}

// traceOf returns the trace ID of an event's request, empty when none is
// known. The runner's lock is held.
func (r *runner) traceOf(event node.Event) string {
	if answer := r.answers[event.Request]; answer != nil {
		return answer.TraceID
	}
	return r.hops.open[fleet.Attempt{Request: event.Request, Number: event.Attempt}].trace
}
