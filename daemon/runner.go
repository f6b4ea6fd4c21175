package daemon

import (
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/explain"
	"endiveplank/coordination/limits"
	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/node"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/wire"
	"endiveplank/transport/callers"
	"endiveplank/transport/peer"
	"endiveplank/transport/upstream"
)

// eventRingSize is how many events of each kind a router keeps for operators' queries, about 2 MB.
const eventRingSize = 8192

// Proposer proposes commands of the node core to the replicated state.
type Proposer interface {
	// Journal proposes an order command. Its result returns to the core as an input.
	Journal(node.Journal)
	// RegisterUpstream and RemoveUpstream propose changes of the registry.
	RegisterUpstream(node.RegisterUpstream)
	RemoveUpstream(node.RemoveUpstream)
}

// runner drives the node core: it passes inputs to it one at a time, sends it ticks, and carries
// out its outputs. Nothing that it calls under its lock blocks.
type runner struct {
	startedAt time.Time
	mesh      *peer.Mesh
	client    *upstream.Client
	proposer  Proposer
	// broadcast sends a notice of a crash or a quarantine to all routers, and broadcastPart a
	// quarantined part of prompts.
	broadcast     func(quarantine.Notice)
	broadcastPart func(crashes.Quarantine)
	log           zerolog.Logger
	self          protocol.RouterID
	counters      *counters
	// sendEngineReply sends an owner's reply to the issuer of engine orders, without blocking.
	sendEngineReply func(node.ReplyIssuer)

	mu         sync.Mutex
	core       *node.Node
	answers    map[protocol.RequestID]*callers.Answer
	ownerSpans ownerSpans
	// pendingInputs holds inputs that arose while outputs were carried out.
	pendingInputs []node.Input

	eventsMu sync.Mutex
	events   *explain.Ring
}

// now returns the monotonic time since the process started.
func (r *runner) now() time.Duration { return time.Since(r.startedAt) }

// Input passes an input to the core and carries out the outputs, then does the same with the
// inputs that arose meanwhile.
func (r *runner) Input(in node.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(in)
	for len(r.pendingInputs) > 0 {
		next := r.pendingInputs[0]
		r.pendingInputs = r.pendingInputs[1:]
		r.step(next)
	}
}

func (r *runner) step(in node.Input) {
	for _, out := range r.core.Step(r.now(), r.ownerSpans.handleInput(in)) {
		r.perform(out)
	}
}

// perform carries out one output.
func (r *runner) perform(out node.Output) {
	switch out := out.(type) {
	case node.Send:
		r.ownerSpans.handleSend(out.Payload)
		r.mesh.Send(out.To, out.Kind, encodePayload(out.Payload), out.Reliable)
	case node.Broadcast:
		r.broadcast(out.Notice)
	case node.BroadcastPart:
		r.broadcastPart(out.Quarantine)
	case node.CallUpstream:
		r.client.Call(out)
	case node.ProbeUpstream:
		r.client.Probe(out)
	case node.CancelUpstream:
		r.client.Cancel(out.Attempt)
	case node.AnswerHead:
		r.sendToCaller(out.Request, out, false)
	case node.AnswerChunk:
		r.sendToCaller(out.Request, out, false)
	case node.AnswerEnd:
		r.sendToCaller(out.Request, out, true)
	case node.AnswerError:
		r.counters.countRefusal(out.Reason)
		r.sendToCaller(out.Request, out, true)
	case node.Journal:
		r.proposer.Journal(out)
	case node.RegisterUpstream:
		r.proposer.RegisterUpstream(out)
	case node.RemoveUpstream:
		r.proposer.RemoveUpstream(out)
	case node.OrderEngine:
		r.client.Order(out, out.NotAfter-r.now())
	case node.MoveCache:
		r.client.Move(out)
	case node.ReplyIssuer:
		r.sendEngineReply(out)
	case node.Event:
		r.recordEvent(out, r.traceOf(out))
	default:
		panic(fmt.Sprintf("daemon: the node core returned an output of the unknown type %T", out))
	}
}

// encodePayload encodes a message of the core. Load summaries are sent several times a second and
// have a compact encoding of their own.
func encodePayload(payload any) []byte {
	if summary, ok := payload.(loadbound.Summary); ok {
		return summary.AppendBinary(nil)
	}
	return wire.Encode(payload)
}

// sendToCaller passes a part of an answer to its caller. If the caller can't take it, the core
// receives CallerGone after the current step.
func (r *runner) sendToCaller(id protocol.RequestID, piece node.Output, last bool) {
	answer := r.answers[id]
	if answer == nil {
		return
	}
	if last {
		delete(r.answers, id)
	}
	if !answer.Put(piece) && !last {
		delete(r.answers, id)
		r.pendingInputs = append(r.pendingInputs, node.CallerGone{ID: id})
	}
}

// Submit passes a caller's request to the core. The parts of the answer go to answer.
func (r *runner) Submit(request node.CallerRequest, answer *callers.Answer) {
	r.counters.requests.Inc(1)
	r.mu.Lock()
	r.answers[request.ID] = answer
	r.mu.Unlock()
	r.Input(request)
}

// CallerGone tells the core that a caller has closed its connection.
func (r *runner) CallerGone(id protocol.RequestID) {
	r.mu.Lock()
	delete(r.answers, id)
	r.mu.Unlock()
	r.Input(node.CallerGone{ID: id})
}

// quarantined lists the requests that are refused because they crashed upstreams, and returns the
// time against which their expiry counts.
func (r *runner) quarantined() ([]quarantine.Entry, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.core.Quarantined(now), now
}

// Ready reports whether callers should send requests to this router.
func (r *runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Ready(r.now())
}

// inFlight returns the number of callers' requests and the number of attempts that this router
// relays as an owner.
func (r *runner) inFlight() (entries, relayed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.InFlight()
}

// recordEvent counts an event, keeps it for operators' queries, and logs it at debug level.
func (r *runner) recordEvent(event node.Event, trace string) {
	r.eventsMu.Lock()
	defer r.eventsMu.Unlock()
	r.counters.countDecision(event.Kind)
	r.events.Add(explain.Event{
		UnixMS:   time.Now().UnixMilli(),
		Router:   r.self,
		Request:  event.Request,
		Attempt:  event.Attempt,
		Customer: event.Customer,
		Upstream: event.Upstream,
		Peer:     event.Router,
		What:     event.Kind,
		Reason:   event.Reason,
		Detail:   event.Detail,
		Trace:    trace,
	})
	r.log.Debug().Str("request", string(event.Request)).Str("upstream", string(event.Upstream)).
		Str("reason", string(event.Reason)).Msg("node: " + event.Kind)
}

// recordEventWithoutRequest records an event that no request caused. Other parts call it from
// their own goroutines, so it must not read the core's requests.
func (r *runner) recordEventWithoutRequest(event node.Event) { r.recordEvent(event, "") }

// findEvents returns the events of this router that match an operator's query.
func (r *runner) findEvents(query explain.Query) []explain.Event {
	r.eventsMu.Lock()
	defer r.eventsMu.Unlock()
	return r.events.Find(query)
}

// tick sends ticks to the core until quit is closed.
func (r *runner) tick(quit <-chan struct{}) {
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return
		case <-ticker.C:
			r.Input(node.Tick{})
		}
	}
}

// decodeDataPath decodes a frame of the data path into an input. It returns nil for a frame of
// another kind.
func decodeDataPath(from protocol.RouterID, frame wire.Frame) (node.Input, error) {
	switch frame.Kind {
	case wire.KindPlace:
		return decodeInput[fleet.Place](from, frame)
	case wire.KindPlaceReply:
		return decodeInput[fleet.PlaceReply](from, frame)
	case wire.KindChunk:
		return decodeInput[fleet.Chunk](from, frame)
	case wire.KindEnd:
		return decodeInput[fleet.End](from, frame)
	case wire.KindCancel:
		return decodeInput[fleet.Cancel](from, frame)
	case wire.KindAttemptCheck:
		return decodeInput[fleet.AttemptCheck](from, frame)
	case wire.KindAttemptAlive:
		return decodeInput[fleet.AttemptAlive](from, frame)
	case wire.KindCreditRequest:
		return decodeInput[limits.CreditRequest](from, frame)
	case wire.KindCreditGrant:
		return decodeInput[limits.CreditGrant](from, frame)
	case wire.KindChatMoved:
		return decodeInput[fleet.ChatMoved](from, frame)
	case wire.KindOrderReport:
		return decodeInput[node.OrderReport](from, frame)
	case wire.KindCrash:
		return decodeInput[crashes.Crash](from, frame)
	case wire.KindSuspects:
		return decodeInput[crashes.Suspects](from, frame)
	case wire.KindSound:
		return decodeInput[crashes.Sound](from, frame)
	case wire.KindQuarantinesRead:
		return decodeInput[node.QuarantinesRead](from, frame)
	case wire.KindQuarantinesReply:
		return decodeInput[node.Quarantines](from, frame)
	}
	return nil, nil
}

func decodeInput[T any](from protocol.RouterID, frame wire.Frame) (node.Input, error) {
	var message T
	if err := wire.Decode(frame.Payload, &message); err != nil {
		return nil, err
	}
	return node.MessageInput(from, message), nil
}
