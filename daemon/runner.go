package daemon

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

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

// eventRingSize is how many explained events of each sort a router keeps:
// about 2 MB.
const eventRingSize = 8192

// Proposer carries the node core's wishes to the replicated state.
type Proposer interface {
	// Journal proposes an order command; its result comes back as an input.
	Journal(node.Journal)
	// RegisterUpstream and RemoveUpstream propose changes of the registry.
	RegisterUpstream(node.RegisterUpstream)
	RemoveUpstream(node.RemoveUpstream)
}

// runner drives the node core: it serializes inputs, passes time, and carries
// out outputs. Nothing it calls under its lock blocks.
type runner struct {
	epoch    time.Time
	mesh     *peer.Mesh
	client   *upstream.Client
	proposer Proposer
	// spread tells all routers of a crash or quarantine.
	spread   func(quarantine.Notice)
	log      zerolog.Logger
	self     protocol.RouterID
	counters *counters
	// replyIssuer carries an owner's answer to the issuer without blocking.
	replyIssuer func(node.ReplyIssuer)

	mu      sync.Mutex
	core    *node.Node
	answers map[protocol.RequestID]*callers.Answer
	hops    hops
	// after holds inputs that came up while outputs were carried out.
	after []node.Input

	eventsMu sync.Mutex
	events   *explain.Ring
}

// now is the monotonic time since the process's epoch.
func (r *runner) now() time.Duration { return time.Since(r.epoch) }

// Input steps the core and carries out what it wants.
func (r *runner) Input(in node.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(in)
	for len(r.after) > 0 {
		next := r.after[0]
		r.after = r.after[1:]
		r.step(next)
	}
}

func (r *runner) step(in node.Input) {
	for _, out := range r.core.Step(r.now(), r.hops.input(in)) {
		r.perform(out)
	}
}

// perform carries out one output.
func (r *runner) perform(out node.Output) {
	switch out := out.(type) {
	case node.Send:
		r.hops.sent(out.Payload)
		r.mesh.Send(out.To, out.Kind, encodePayload(out.Payload), out.Reliable)
	case node.Broadcast:
		r.spread(out.Notice)
	case node.CallUpstream:
		r.client.Call(out)
	case node.ProbeUpstream:
		r.client.Probe(out)
	case node.CancelUpstream:
		r.client.Cancel(out.Attempt)
	case node.AnswerHead:
		r.answer(out.Request, out, false)
	case node.AnswerChunk:
		r.answer(out.Request, out, false)
	case node.AnswerEnd:
		r.answer(out.Request, out, true)
	case node.AnswerError:
		r.counters.refused(out.Reason)
		r.answer(out.Request, out, true)
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
		r.replyIssuer(out)
	case node.Event:
		r.explain(out, r.traceOf(out))
	default:
		panic("daemon: output of a type that the runner doesn't know")
	}
}

// encodePayload puts a message of the core into its wire form. Load summaries
// go out several times a second and have a compact one of their own.
func encodePayload(payload any) []byte {
	if summary, ok := payload.(loadbound.Summary); ok {
		return summary.AppendBinary(nil)
	}
	return wire.Encode(payload)
}

// answer passes a piece to its caller. A caller that can't take it is given
// up once the current step is done.
func (r *runner) answer(id protocol.RequestID, piece node.Output, last bool) {
	answer := r.answers[id]
	if answer == nil {
		return
	}
	if last {
		delete(r.answers, id)
	}
	if !answer.Put(piece) && !last {
		delete(r.answers, id)
		r.after = append(r.after, node.CallerGone{ID: id})
	}
}

// Submit hands a caller's request to the core.
func (r *runner) Submit(request node.CallerRequest, answer *callers.Answer) {
	r.counters.requests.Inc(1)
	r.mu.Lock()
	r.answers[request.ID] = answer
	r.mu.Unlock()
	r.Input(request)
}

// CallerGone tells the core that a caller went away.
func (r *runner) CallerGone(id protocol.RequestID) {
	r.mu.Lock()
	delete(r.answers, id)
	r.mu.Unlock()
	r.Input(node.CallerGone{ID: id})
}

// quarantined lists the requests that are refused for crashes, with the time
// that is left.
func (r *runner) quarantined() ([]quarantine.Entry, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.core.Quarantined(now), now
}

// Ready says whether callers should come here.
func (r *runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Ready(r.now())
}

// inFlight returns the requests kept and the attempts relayed.
func (r *runner) inFlight() (entries, relayed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.InFlight()
}

// explain keeps an event and logs the notable ones.
func (r *runner) explain(event node.Event, trace string) {
	r.eventsMu.Lock()
	defer r.eventsMu.Unlock()
	r.counters.decision(event.Kind)
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

// explainApart keeps an event that no request caused. Other parts call it from
// their own goroutines, so it must not look at the core's requests.
func (r *runner) explainApart(event node.Event) { r.explain(event, "") }

// find answers an operator's query from this router's events.
func (r *runner) find(query explain.Query) []explain.Event {
	r.eventsMu.Lock()
	defer r.eventsMu.Unlock()
	return r.events.Find(query)
}

// tick passes time to the core until quit is closed.
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

// dataPath decodes a data path frame into an input. It returns nil for a
// frame of another kind.
func dataPath(from protocol.RouterID, frame wire.Frame) (node.Input, error) {
	switch frame.Kind {
	case wire.KindPlace:
		return decoded[fleet.Place](from, frame)
	case wire.KindPlaceReply:
		return decoded[fleet.PlaceReply](from, frame)
	case wire.KindChunk:
		return decoded[fleet.Chunk](from, frame)
	case wire.KindEnd:
		return decoded[fleet.End](from, frame)
	case wire.KindCancel:
		return decoded[fleet.Cancel](from, frame)
	case wire.KindAttemptCheck:
		return decoded[fleet.AttemptCheck](from, frame)
	case wire.KindAttemptAlive:
		return decoded[fleet.AttemptAlive](from, frame)
	case wire.KindCreditRequest:
		return decoded[limits.CreditRequest](from, frame)
	case wire.KindCreditGrant:
		return decoded[limits.CreditGrant](from, frame)
	case wire.KindChatMoved:
		return decoded[fleet.ChatMoved](from, frame)
	case wire.KindOrderReport:
		return decoded[node.OrderReport](from, frame)
	}
	return nil, nil
}

func decoded[T any](from protocol.RouterID, frame wire.Frame) (node.Input, error) {
	var message T
	if err := wire.Decode(frame.Payload, &message); err != nil {
		return nil, err
	}
	return node.MessageInput(from, message), nil
}
