// Package node is the deterministic core of one router, written as a step
// function: Node.Step takes one Input (something that happened) and returns
// the Outputs that the driver must carry out. The package has no goroutine,
// socket, file, clock or random source of its own, so a recorded list of
// inputs replays byte for byte, and tests and benchmarks drive it by passing
// values.
//
// A router has two roles, and each request uses both, on the same router or on
// two. The entry router (entryRequest) holds the caller's request: it
// authorizes the caller, ranks the upstreams that can serve the request, sends
// a Place to the owner of each in turn, and assembles the answer from one or
// more attempts. The owner (ownedUpstream, relay) is the only router that
// admits work to an upstream, so it knows the upstream's load exactly; it
// queues requests and relays answers to the entry router. Both roles of one
// router exchange the same messages as two routers do.
//
// Comments of this package use these terms:
//
//   - The chain of a chat is the list of the hashes of its prompt's prefixes,
//     one for each message, with the prefixes' lengths in tokens (chat.Link).
//   - A walk is the sequence of queries to owners by which the entry router
//     finds an upstream for a chat (placement.Walk). Each query is a Place.
//   - An owner spills a request when it doesn't start it and doesn't keep it in
//     its queue, so that the entry router asks the owner of another upstream.
//
// The package guards against these failures:
//
//   - The router can't be sure of its configuration or its ownerships because
//     its process was frozen or its network is partitioned. Its lease expires,
//     and every admission checks the lease at that moment, so a router that
//     resumes after a freeze admits nothing.
//   - An owner or upstream fails in the middle of an answer. The entry router
//     starts a new attempt within the retry budget, and the attempt resumes
//     after the last chunk that the caller has.
//   - Messages of a cancelled attempt arrive late. They carry the number of
//     the attempt and are dropped.
//   - It becomes unknown whether a request that may run only once has run. No
//     other attempt follows, and the caller is told that the outcome is
//     unknown.
package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/limits"
	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/coordination/retry"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/wire"
)

// Config holds the settings of a Node.
type Config struct {
	Self       protocol.RouterID
	DataCentre protocol.DataCentre
	// Multiple is the load bound: an upstream's load may be at most this
	// multiple of the fleet's mean.
	Multiple float64
	// ReuseWeight weighs even load (0) against reuse of cached prefixes (1) in
	// placement.
	ReuseWeight float64
	// StallTimeout is how long an attempt may run without progress.
	StallTimeout time.Duration
	// DefaultDeadline is the time allowed for a request whose route sets no
	// deadline.
	DefaultDeadline time.Duration
	// Incarnation grows with each start of this router.
	Incarnation uint32
	// Random must be seeded by the creator of the Node.
	Random *rand.Rand
}

// Node is the core of one router.
type Node struct {
	config     Config
	view       *View
	leaseUntil time.Duration
	// leaseLostAt is when the previous lease ended, as of the last
	// LeaseChanged.
	leaseLostAt time.Duration
	parked      []parkedRequest
	// session identifies this router's lease in the journal of orders.
	session ownership.SessionID
	// unready makes the readiness endpoint tell the platform to send callers
	// to other routers. draining refuses the callers that still come here.
	unready  bool
	draining bool
	// lastToken is the last token given to an orders.Holder of this process.
	lastToken uint64
	entries   map[protocol.RequestID]*entryRequest
	owned     map[protocol.UpstreamID]*ownedUpstream
	// running maps each attempt that this router relays to its upstream.
	running map[fleet.Attempt]*ownedUpstream
	// placementSets ranks the upstreams of each model.
	placementSets map[protocol.Model]*placement.Set
	policy        placement.Policy
	placer        *placement.Owner
	ledger        *loadbound.Ledger
	loadExchange  *loadbound.Exchange
	// routers is the list that loadExchange was created with.
	routers   []protocol.RouterID
	limiter   *limits.Limiter
	limitHome *limits.Home
	budget    *retry.Budget
	// lastOverBudget is when a request last got an attempt that the retry
	// budget could not pay for.
	lastOverBudget time.Duration
	quarantine     *quarantine.Tracker
	crashParts     crashParts
	// orderGate and engineCalls control the orders that this router passes to
	// the engines it owns. engineCalls marks the engines with a call in flight.
	orderGate   *engineorders.Gate
	engineCalls map[protocol.UpstreamID]bool
	// activity holds the recent chats of the engines owned here.
	activity map[protocol.UpstreamID]*engineActivity
	// selfMessages holds the messages from this router to itself until the
	// current step has handled them.
	selfMessages []Input
	outputs      []Output
}

// maxMovedChats is the number of chats for which a router remembers that they
// ran on another upstream than their first choice.
const maxMovedChats = 16384

// New returns a Node that refuses all requests until it has a view and a lease.
func New(config Config) *Node {
	policy := placement.DefaultPolicy(config.ReuseWeight)
	policy.Multiple = config.Multiple
	bound := loadbound.DefaultConfig()
	bound.Multiple = config.Multiple
	ledger := loadbound.NewLedger(bound)
	return &Node{
		config:       config,
		view:         &View{},
		entries:      map[protocol.RequestID]*entryRequest{},
		owned:        map[protocol.UpstreamID]*ownedUpstream{},
		running:      map[fleet.Attempt]*ownedUpstream{},
		policy:       policy,
		ledger:       ledger,
		placer:       placement.NewOwner(ledger, policy, maxMovedChats),
		loadExchange: loadbound.NewExchange(config.Self, []protocol.RouterID{config.Self}, 0),
		limiter:      limits.NewLimiter(limits.DefaultConfig(), 1, config.Incarnation),
		limitHome:    limits.NewHome(limits.DefaultConfig(), nil),
		budget:       retry.New(retry.DefaultConfig()),
		quarantine:   quarantine.New(quarantine.DefaultConfig()),
		crashParts:   newCrashParts(config.Incarnation),

		orderGate:   engineorders.NewGate(),
		activity:    map[protocol.UpstreamID]*engineActivity{},
		engineCalls: map[protocol.UpstreamID]bool{},
	}
}

// Step handles one input at the time now, which must never decrease, and
// returns the outputs to carry out, in order. The returned slice is valid until
// the next call of Step.
func (n *Node) Step(now time.Duration, in Input) []Output {
	n.outputs = n.outputs[:0]
	n.handle(now, in)
	for len(n.selfMessages) > 0 {
		next := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.handle(now, next)
	}
	n.selfMessages = nil
	return n.outputs
}

// Ready reports whether callers should be sent to this router.
func (n *Node) Ready(now time.Duration) bool {
	return n.leaseValid(now) && !n.unready
}

// InFlight returns the number of callers' requests on this router and the
// number of attempts that it relays as an owner.
func (n *Node) InFlight() (entries, relayed int) {
	return len(n.entries) + len(n.parked), len(n.running)
}

// Quarantined lists the requests that are refused because they crashed engines.
func (n *Node) Quarantined(now time.Duration) []quarantine.Entry { return n.quarantine.List(now) }

// Revision returns the revision of the configuration in force on this router.
func (n *Node) Revision() uint64 { return n.view.Revision }

// leaseValid reports whether the lease is valid at the time now. Every
// admission checks it: a process that was frozen for an hour would otherwise
// act on an old configuration, or admit work to an upstream that has another
// owner by now.
func (n *Node) leaseValid(now time.Duration) bool { return now < n.leaseUntil }

func (n *Node) handle(now time.Duration, in Input) {
	switch in := in.(type) {
	case CallerRequest:
		n.handleCallerRequest(now, in)
	case CallerGone:
		n.dropParked(in)
		n.handleCallerGone(now, in)
	case PeerPlace:
		n.handlePlace(now, in)
	case PeerPlaceReply:
		n.handlePlaceReply(now, in)
	case PeerChunk:
		n.handlePeerChunk(now, in)
	case PeerEnd:
		n.handlePeerEnd(now, in)
	case PeerCancel:
		n.handleCancel(now, in)
	case PeerAttemptCheck:
		n.handleAttemptCheck(in)
	case PeerAttemptAlive:
		n.handleAttemptAlive(now, in)
	case PeerLoadTotals:
		n.ledger.Receive(now, in.From, in.Summary)
		n.loadExchange.RecordReceived(now, in.From)
		n.sendLoadTotals(now)
	case PeerCreditRequest:
		n.handleCreditRequest(now, in)
	case PeerCreditGrant:
		n.handleCreditGrant(now, in.Grant)
	case PeerChatMoved:
		n.handleChatMoved(now, in)
	case PeerQuarantineNotice:
		n.quarantine.Merge(now, in.Notice)
	case LiftQuarantine:
		n.handleLiftQuarantine(in)
	case PeerCrash:
		n.crashParts.detector.Report(now, in.Crash)
	case PeerSuspects:
		n.handleSuspects(now, in)
	case PeerSound:
		n.crashParts.detector.HandleSound(now, in.From, in.Sound)
	case PeerPartQuarantine:
		n.mergePartQuarantines(now, []crashes.Quarantine{in.Quarantine})
	case PeerQuarantinesRead:
		n.handleQuarantinesRead(now, in)
	case PeerQuarantines:
		n.handleQuarantines(now, in.Quarantines)
	case UpstreamProbed:
		n.handleUpstreamProbed(now, in)
	case PeerLost:
		n.handlePeerLost(now, in.Peer)
	case UpstreamChunk:
		n.handleUpstreamChunk(now, in)
	case UpstreamEnd:
		n.recordTurn(now, in)
		n.handleUpstreamEnd(now, in)
	case UpstreamAnnounced:
		n.handleAnnounced(now, in)
	case UpstreamLeaving:
		n.handleLeaving(now, in)
	case ViewChanged:
		n.handleViewChanged(now, in.View)
	case LeaseChanged:
		n.handleLeaseChanged(now, in)
	case JournalResult:
		n.handleJournalResult(now, in)
	case PeerOrderReport:
		n.handleOrderReport(now, in)
	case PeerEngineRequest:
		n.handleEngineRequest(now, in)
	case CacheMoved:
		n.handleCacheMoved(in)
	case EngineAnswered:
		n.handleEngineAnswered(in)
	case Tick:
		n.handleTick(now)
	case Drain:
		n.handleDrain(now, in)
	default:
		panic(fmt.Sprintf("node: Step does not handle inputs of type %T", in))
	}
}

// handleDrain starts a planned stop. With Refuse set it starts the second part
// of the stop, in which the router refuses new requests.
func (n *Node) handleDrain(now time.Duration, in Drain) {
	n.unready = true
	if !in.Refuse {
		return
	}
	n.draining = true
	for _, target := range n.ownedInOrder() {
		n.returnWaiting(now, target, reason.UpstreamLeaving)
	}
}

// handleTick acts on everything that is due.
func (n *Node) handleTick(now time.Duration) {
	n.retryParked(now)
	n.tickEntries(now)
	n.tickOwnedUpstreams(now)
	n.requestCredit(now)
	n.sendLoadTotals(now)
	n.tickMoves(now)
	n.tickCrashParts(now)
	n.askForQuarantines(now)
}

// handlePeerLost ends the attempts that depend on an unreachable peer, on the
// entry side and on the owner side.
func (n *Node) handlePeerLost(now time.Duration, peer protocol.RouterID) {
	n.handleOwnerLost(now, peer)
	n.handleEntryLost(now, peer)
}

func (n *Node) emit(out Output) { n.outputs = append(n.outputs, out) }

// send sends a message of the data path to a router, which may be this one.
func (n *Node) send(to protocol.RouterID, message any) {
	if to == n.config.Self {
		n.selfMessages = append(n.selfMessages, n.loopbackInput(message))
		return
	}
	n.emit(Send{To: to, Kind: kindOf(message), Payload: message, Reliable: true})
}

// loopbackInput converts a message from this router to itself into an input.
func (n *Node) loopbackInput(message any) Input {
	return MessageInput(n.config.Self, message)
}

// MessageInput converts a data path message from a peer into an input. It
// panics on a message of any other type, because that is a programming error.
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
	case fleet.ChatMoved:
		return PeerChatMoved{Moved: message}
	case fleet.AttemptCheck:
		return PeerAttemptCheck{From: from, Check: message}
	case fleet.AttemptAlive:
		return PeerAttemptAlive{Alive: message}
	case limits.CreditRequest:
		return PeerCreditRequest{From: from, Request: message}
	case limits.CreditGrant:
		return PeerCreditGrant{Grant: message}
	case crashes.Crash:
		return PeerCrash{Crash: message}
	case crashes.Suspects:
		return PeerSuspects{From: from, Suspects: message}
	case crashes.Sound:
		return PeerSound{From: from, Sound: message}
	case QuarantinesRead:
		return PeerQuarantinesRead{From: from}
	case Quarantines:
		return PeerQuarantines{Quarantines: message}
	}
	panic(fmt.Sprintf("node: %T is not a message of the data path", message))
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
	case fleet.ChatMoved:
		return wire.KindChatMoved
	case fleet.AttemptCheck:
		return wire.KindAttemptCheck
	case fleet.AttemptAlive:
		return wire.KindAttemptAlive
	case limits.CreditRequest:
		return wire.KindCreditRequest
	case limits.CreditGrant:
		return wire.KindCreditGrant
	case crashes.Crash:
		return wire.KindCrash
	case crashes.Suspects:
		return wire.KindSuspects
	case crashes.Sound:
		return wire.KindSound
	case QuarantinesRead:
		return wire.KindQuarantinesRead
	case Quarantines:
		return wire.KindQuarantinesReply
	}
	panic(fmt.Sprintf("node: %T is not a message of the data path", message))
}
