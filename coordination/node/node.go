// Package node is the deterministic core of one router: Step takes what
// happened and returns what to do. It holds no goroutine, socket, file, clock
// or random source of its own, so a recorded list of inputs replays byte for
// byte, and tests and benchmarks drive it by passing values.
//
// A router has two sides. The entry side keeps callers: it checks who calls,
// orders the upstreams that could serve the request, asks the owner of each
// in turn, and puts the answer together from one or more attempts. The owner
// side keeps upstreams: it alone admits work to the upstreams it owns, so it
// counts their load exactly, queues, and relays answers to the entry. Both
// sides of one router talk through the same messages as two routers do.
//
// Failures guarded here:
//
//   - This router can't be sure of its configuration or ownership (frozen, cut
//     off): its lease runs out, and every admission checks the lease at that
//     moment, so a thawed router admits nothing.
//   - An owner or upstream fails in mid-answer: the entry starts a new attempt
//     that resumes after the pieces the caller has, within the retry budget.
//   - Messages of an abandoned attempt come late: they carry the attempt's
//     number and are dropped.
//   - The run of a request that may not be repeated becomes unknown: no
//     attempt follows, and the caller is told so.
package node

import (
	"math/rand/v2"
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/limits"
	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/retry"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/wire"
)

// Config holds a node's own settings.
type Config struct {
	Self       protocol.RouterID
	DataCentre protocol.DataCentre
	// Multiple bounds an upstream's load by this multiple of the fleet's mean.
	Multiple float64
	// ReuseWeight moves placement from skew first (0) to reuse first (1).
	ReuseWeight float64
	// Stall is how long work may go without progress.
	Stall time.Duration
	// Deadline is the time a request has when its route names none.
	Deadline time.Duration
	// Incarnation is higher than at any earlier start of this router.
	Incarnation uint32
	// Random is seeded by the caller.
	Random *rand.Rand
}

// Node is the core of one router.
type Node struct {
	config     Config
	view       *View
	leaseUntil time.Duration
	// leaseLost is when the last lease ended, as far as it was known.
	leaseLost      time.Duration
	parkedRequests []parked
	// session names this router's lease in the journal of orders.
	session ownership.SessionID
	// unready tells the platform to send callers elsewhere; draining refuses
	// those that still come.
	unready  bool
	draining bool
	// token numbers the journal holders of this process.
	token   uint64
	entries map[protocol.RequestID]*entry
	owned   map[protocol.UpstreamID]*owned
	// running finds the upstream of an attempt this router relays.
	running map[fleet.Attempt]*owned
	// sets orders the upstreams of each model.
	sets     map[protocol.Model]*placement.Set
	policy   placement.Policy
	placer   *placement.Owner
	ledger   *loadbound.Ledger
	exchange *loadbound.Exchange
	// routers are those that the exchange was made for.
	routers []protocol.RouterID
	limiter *limits.Limiter
	home    *limits.Home
	budget  *retry.Budget
	// lastLoan is when a begun answer last went on beyond the budget.
	lastLoan time.Duration
	crashes  *quarantine.Tracker
	// orderGate and engineCalls see to orders to the engines owned here.
	orderGate   *engineorders.Gate
	engineCalls map[protocol.UpstreamID]bool
	// heats knows the chats of the engines owned here.
	heats map[protocol.UpstreamID]*heat
	// local holds messages to itself until the current step has handled them.
	local   []Input
	outputs []Output
}

// movedChats is for how many chats a router remembers that they ran elsewhere
// than at their first choice.
const movedChats = 16384

// New returns a node that serves nobody until it has a view and a lease.
func New(config Config) *Node {
	policy := placement.DefaultPolicy(config.ReuseWeight)
	policy.Multiple = config.Multiple
	bound := loadbound.DefaultConfig()
	bound.Multiple = config.Multiple
	ledger := loadbound.NewLedger(bound)
	return &Node{
		config:   config,
		view:     &View{},
		entries:  map[protocol.RequestID]*entry{},
		owned:    map[protocol.UpstreamID]*owned{},
		running:  map[fleet.Attempt]*owned{},
		policy:   policy,
		ledger:   ledger,
		placer:   placement.NewOwner(ledger, policy, movedChats),
		exchange: loadbound.NewExchange(config.Self, []protocol.RouterID{config.Self}, 0),
		limiter:  limits.NewLimiter(limits.DefaultConfig(), 1, config.Incarnation),
		home:     limits.NewHome(limits.DefaultConfig(), nil),
		budget:   retry.New(retry.DefaultConfig()),
		crashes:  quarantine.New(quarantine.DefaultConfig()),

		orderGate:   engineorders.NewGate(),
		heats:       map[protocol.UpstreamID]*heat{},
		engineCalls: map[protocol.UpstreamID]bool{},
	}
}

// Step takes one input at a moment, which never goes back, and returns what
// to do, in order. The returned slice is valid until the next Step.
func (n *Node) Step(now time.Duration, in Input) []Output {
	n.outputs = n.outputs[:0]
	n.handle(now, in)
	for len(n.local) > 0 {
		next := n.local[0]
		n.local = n.local[1:]
		n.handle(now, next)
	}
	n.local = nil
	return n.outputs
}

// Ready says whether this router should be sent callers.
func (n *Node) Ready(now time.Duration) bool {
	return n.mayServe(now) && !n.unready
}

// InFlight returns the number of callers' requests and of relayed attempts.
func (n *Node) InFlight() (entries, relayed int) {
	return len(n.entries) + len(n.parkedRequests), len(n.running)
}

// Quarantined lists the requests that are refused for crashes.
func (n *Node) Quarantined(now time.Duration) []quarantine.Entry { return n.crashes.List(now) }

// Revision returns the revision of the configuration in force here.
func (n *Node) Revision() uint64 { return n.view.Revision }

// mayServe says whether the lease is valid at this moment. It is asked at
// every admission: a process that was frozen for an hour would otherwise act
// on an old configuration, or admit to an upstream that has another owner.
func (n *Node) mayServe(now time.Duration) bool { return now < n.leaseUntil }

func (n *Node) handle(now time.Duration, in Input) {
	switch in := in.(type) {
	case CallerRequest:
		n.callerRequest(now, in)
	case CallerGone:
		n.unparkGone(in)
		n.callerGone(now, in)
	case PeerPlace:
		n.ownerPlace(now, in)
	case PeerPlaceReply:
		n.entryReply(now, in)
	case PeerChunk:
		n.entryChunk(now, in)
	case PeerEnd:
		n.entryEnd(now, in)
	case PeerCancel:
		n.ownerCancel(now, in)
	case PeerCheck:
		n.ownerChecked(in)
	case PeerAlive:
		n.entryAlive(now, in)
	case PeerTotals:
		n.ledger.Receive(now, in.From, in.Summary)
		n.exchange.Heard(now, in.From)
		n.shareTotals(now)
	case PeerLimitAsk:
		n.limitAsked(now, in)
	case PeerLimitAnswer:
		n.limitAnswered(now, in.Answer)
	case PeerMoved:
		n.moved(now, in)
	case PeerNotice:
		n.crashes.Merge(now, in.Notice)
	case LiftQuarantine:
		n.liftQuarantine(in)
	case UpstreamProbed:
		n.probed(now, in)
	case PeerLost:
		n.peerLost(now, in.Peer)
	case UpstreamChunk:
		n.ownerChunk(now, in)
	case UpstreamEnd:
		n.noteTurn(now, in)
		n.ownerEnd(now, in)
	case Announced:
		n.announced(now, in)
	case Leaving:
		n.leaving(now, in)
	case ViewChanged:
		n.viewChanged(now, in.View)
	case LeaseChanged:
		n.leaseChanged(now, in)
	case JournalResult:
		n.journalResult(now, in)
	case PeerOrderReport:
		n.orderReport(now, in)
	case PeerEngineRequest:
		n.engineAsked(now, in)
	case CacheMoved:
		n.cacheMoved(in)
	case EngineAnswered:
		n.engineAnswered(in)
	case Tick:
		n.tick(now)
	case Drain:
		n.drain(now, in)
	default:
		panic("node: input of a type that Step doesn't know")
	}
}

// drain begins a planned stop, or its second part.
func (n *Node) drain(now time.Duration, in Drain) {
	n.unready = true
	if !in.Refuse {
		return
	}
	n.draining = true
	for _, target := range n.ownedInOrder() {
		n.handBack(now, target)
	}
}

// tick meets deadlines.
func (n *Node) tick(now time.Duration) {
	n.unpark(now)
	n.tickEntries(now)
	n.tickOwned(now)
	n.askLimits(now)
	n.shareTotals(now)
	n.tickMoves(now)
}

// peerLost repairs what hung on a peer that can't be reached.
func (n *Node) peerLost(now time.Duration, peer protocol.RouterID) {
	n.entriesLostOwner(now, peer)
	n.ownedLostEntry(now, peer)
}

func (n *Node) emit(out Output) { n.outputs = append(n.outputs, out) }

// send passes a data path message to a router, which may be this one.
func (n *Node) send(to protocol.RouterID, message any) {
	if to == n.config.Self {
		n.local = append(n.local, n.loopback(message))
		return
	}
	n.emit(Send{To: to, Kind: kindOf(message), Payload: message, Reliable: true})
}

// loopback is the input that a peer's message becomes.
func (n *Node) loopback(message any) Input {
	return MessageInput(n.config.Self, message)
}

// MessageInput turns a data path message from a peer into an input. A message
// of another type is a broken invariant.
func MessageInput(from protocol.RouterID, message any) Input {
	switch message := message.(type) {
	case fleet.Place:
		return PeerPlace{From: from, Place: message}
	case fleet.PlaceReply:
		return PeerPlaceReply{From: from, Reply: message}
	case fleet.Chunk:
		return PeerChunk{From: from, Chunk: message}
	case fleet.End:
		return PeerEnd{From: from, End: message}
	case fleet.Cancel:
		return PeerCancel{From: from, Cancel: message}
	case OrderReport:
		return PeerOrderReport{From: from, Report: message}
	case fleet.Moved:
		return PeerMoved{Moved: message}
	case fleet.Check:
		return PeerCheck{From: from, Check: message}
	case fleet.Alive:
		return PeerAlive{Alive: message}
	case limits.Ask:
		return PeerLimitAsk{From: from, Ask: message}
	case limits.Answer:
		return PeerLimitAnswer{Answer: message}
	}
	panic("node: message of a type that isn't on the data path")
}

func kindOf(message any) wire.Kind {
	switch message.(type) {
	case fleet.Place:
		return wire.KindPlace
	case fleet.PlaceReply:
		return wire.KindPlaceReply
	case fleet.Chunk:
		return wire.KindChunk
	case fleet.End:
		return wire.KindEnd
	case fleet.Cancel:
		return wire.KindCancel
	case OrderReport:
		return wire.KindOrderReport
	case fleet.Moved:
		return wire.KindMoved
	case fleet.Check:
		return wire.KindCheck
	case fleet.Alive:
		return wire.KindAlive
	case limits.Ask:
		return wire.KindLimitAsk
	case limits.Answer:
		return wire.KindLimitAnswer
	}
	panic("node: message of a type that isn't on the data path")
}
