package engineorders

import (
	"cmp"
	"maps"
	"slices"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Limits of the replicated state.
const (
	// MaxOpenLoads is how many loads may be open in the whole fleet. The weight
	// store serves a few transfers at a time; with more loads at once, every load
	// would finish as late as the last one. Four keep the store busy while one of
	// them is being confirmed.
	MaxOpenLoads = 4
	// maxEngines bounds the state if an issuer is faulty. It is far above the
	// 790 engines of a fleet.
	maxEngines = 20_000
	// maxText bounds each text of a command, in bytes.
	maxText = 256
)

// Term identifies the period in which one process is the issuer. It is the log
// index of the StartTerm command, not the consensus term.
type Term uint64

// Intent is what an order asks an engine to do.
type Intent struct {
	Action  upstreamapi.EngineAction `msgpack:"a"`
	Model   protocol.Model           `msgpack:"m,omitempty"`
	Version string                   `msgpack:"v,omitempty"`
	Role    string                   `msgpack:"r,omitempty"`
}

// Order is one open order.
type Order struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Fence is the order's fencing number, the log index of the Issue command.
	Fence  protocol.Fence `msgpack:"f"`
	Term   Term           `msgpack:"o"`
	Intent Intent         `msgpack:"i"`
}

// Resolution says how an order was settled.
type Resolution string

const (
	// Executed means that the engine's state was read and shows that the order
	// took effect.
	Executed Resolution = "carried"
	// EngineRefused means that the engine answered with a refusal.
	EngineRefused Resolution = "engine-refused"
	// TimedOut means that the order didn't take effect within
	// Timing.OrderTimeout.
	TimedOut Resolution = "overdue"
	// Superseded means that the engine has received a higher fencing number.
	Superseded Resolution = "overtaken"
)

// Settled is the last settled order of an engine.
type Settled struct {
	Order      Order      `msgpack:"o"`
	Resolution Resolution `msgpack:"e"`
	// Failures counts the engine's latest orders in a row that were settled
	// otherwise than Executed.
	Failures uint32 `msgpack:"m,omitempty"`
}

// StartTerm makes a router the issuer in a new term.
type StartTerm struct {
	Router protocol.RouterID `msgpack:"r"`
}

// Issue opens an order.
type Issue struct {
	Term     Term                `msgpack:"o"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	Intent   Intent              `msgpack:"i"`
}

// Settle is the content of Confirm and Abandon: it settles an open order. Apply
// sets Resolution to Executed for Confirm.
type Settle struct {
	Term       Term                `msgpack:"o"`
	Upstream   protocol.UpstreamID `msgpack:"u"`
	Fence      protocol.Fence      `msgpack:"f"`
	Resolution Resolution          `msgpack:"e,omitempty"`
}

// Command is one change of the state. Exactly one field is set.
type Command struct {
	StartTerm *StartTerm `msgpack:"t,omitempty"`
	Issue     *Issue     `msgpack:"i,omitempty"`
	Confirm   *Settle    `msgpack:"c,omitempty"`
	Abandon   *Settle    `msgpack:"a,omitempty"`
}

// Outcome is the outcome of a command.
type Outcome string

const (
	// Done means that the command took effect.
	Done Outcome = "done"
	// OldTerm means that another issuer has started a term since.
	OldTerm Outcome = "old-office"
	// EngineBusy means that the engine has an open order.
	EngineBusy Outcome = "engine-busy"
	// WeightStoreBusy means that MaxOpenLoads loads are open.
	WeightStoreBusy Outcome = "store-busy"
	// NoSuchOrder means that the order to settle is not open.
	NoSuchOrder Outcome = "no-such-order"
	// Malformed means that the command is invalid, or that the state already holds
	// maxEngines orders. The command changed nothing.
	Malformed Outcome = "malformed"
)

// Answer is the result of a command.
type Answer struct {
	Outcome Outcome `msgpack:"o"`
	Term    Term    `msgpack:"f,omitempty"`
	Order   *Order  `msgpack:"r,omitempty"`
}

// State is the replicated part: the current term with its issuer and, for each
// engine, the open order and the last settled one. It isn't safe for concurrent
// use.
type State struct {
	term    Term
	issuer  protocol.RouterID
	open    map[protocol.UpstreamID]Order
	settled map[protocol.UpstreamID]Settled
}

// NewState returns a state with no issuer and no orders.
func NewState() *State {
	return &State{open: map[protocol.UpstreamID]Order{}, settled: map[protocol.UpstreamID]Settled{}}
}

// Term returns the current term and its issuer.
func (s *State) Term() (Term, protocol.RouterID) { return s.term, s.issuer }

// Open returns the open orders, sorted by fencing number.
func (s *State) Open() []Order {
	return slices.SortedFunc(maps.Values(s.open), func(a, b Order) int { return cmp.Compare(a.Fence, b.Fence) })
}

// OpenOf returns the open order of an engine.
func (s *State) OpenOf(upstream protocol.UpstreamID) (Order, bool) {
	order, ok := s.open[upstream]
	return order, ok
}

// SettledOf returns the last settled order of an engine.
func (s *State) SettledOf(upstream protocol.UpstreamID) (Settled, bool) {
	settled, ok := s.settled[upstream]
	return settled, ok
}

// OpenLoads returns the number of open loads.
func (s *State) OpenLoads() int {
	count := 0
	for _, order := range s.open {
		if order.Intent.Action == upstreamapi.ActionLoad {
			count++
		}
	}
	return count
}

// Apply applies a command at its log index.
func (s *State) Apply(index uint64, command Command) Answer {
	switch {
	case command.StartTerm != nil:
		return s.startTerm(index, *command.StartTerm)
	case command.Issue != nil:
		return s.issue(index, *command.Issue)
	case command.Confirm != nil:
		confirm := *command.Confirm
		confirm.Resolution = Executed
		return s.settle(confirm)
	case command.Abandon != nil:
		if command.Abandon.Resolution == Executed || command.Abandon.Resolution == "" {
			return Answer{Outcome: Malformed}
		}
		return s.settle(*command.Abandon)
	}
	return Answer{Outcome: Malformed}
}

func (s *State) startTerm(index uint64, start StartTerm) Answer {
	if start.Router == "" || len(start.Router) > maxText {
		return Answer{Outcome: Malformed}
	}
	s.term = Term(index)
	s.issuer = start.Router
	return Answer{Outcome: Done, Term: s.term}
}

func (s *State) issue(index uint64, issue Issue) Answer {
	if !issue.valid() {
		return Answer{Outcome: Malformed}
	}
	if issue.Term != s.term {
		// A proposal of a former issuer was committed late. If it took
		// effect, it would undo what the next issuer decided.
		return Answer{Outcome: OldTerm, Term: s.term}
	}
	if _, busy := s.open[issue.Upstream]; busy {
		return Answer{Outcome: EngineBusy}
	}
	if issue.Intent.Action == upstreamapi.ActionLoad && s.OpenLoads() >= MaxOpenLoads {
		return Answer{Outcome: WeightStoreBusy}
	}
	if len(s.open)+len(s.settled) >= maxEngines {
		return Answer{Outcome: Malformed}
	}
	order := Order{Upstream: issue.Upstream, Fence: protocol.Fence(index), Term: issue.Term, Intent: issue.Intent}
	s.open[issue.Upstream] = order
	return Answer{Outcome: Done, Order: &order}
}

func (i Issue) valid() bool {
	texts := []string{string(i.Upstream), string(i.Intent.Model), i.Intent.Version, i.Intent.Role}
	if slices.ContainsFunc(texts, func(text string) bool { return len(text) > maxText }) || i.Upstream == "" {
		return false
	}
	switch i.Intent.Action {
	case upstreamapi.ActionLoad, upstreamapi.ActionUnload:
		return i.Intent.Model != ""
	case upstreamapi.ActionRole:
		return i.Intent.Role != ""
	}
	return false
}

func (s *State) settle(settle Settle) Answer {
	if settle.Term != s.term {
		return Answer{Outcome: OldTerm, Term: s.term}
	}
	order, open := s.open[settle.Upstream]
	if !open || order.Fence != settle.Fence {
		return Answer{Outcome: NoSuchOrder}
	}
	delete(s.open, settle.Upstream)
	settled := Settled{Order: order, Resolution: settle.Resolution}
	if settle.Resolution != Executed {
		settled.Failures = s.settled[settle.Upstream].Failures + 1
	}
	s.settled[settle.Upstream] = settled
	return Answer{Outcome: Done, Order: &order}
}

// Remove removes the orders of an engine that has left the fleet. Its open load no
// longer counts towards MaxOpenLoads, because the engine will never finish it.
func (s *State) Remove(upstream protocol.UpstreamID) {
	delete(s.open, upstream)
	delete(s.settled, upstream)
}

// Snapshot is a State as a value, for storage.
type Snapshot struct {
	Term    Term              `msgpack:"o"`
	Issuer  protocol.RouterID `msgpack:"h"`
	Open    []Order           `msgpack:"p,omitempty"`
	Settled []Settled         `msgpack:"s,omitempty"`
}

// Snapshot returns a snapshot of the state, with the orders sorted by fencing
// number.
func (s *State) Snapshot() Snapshot {
	settled := slices.SortedFunc(maps.Values(s.settled), func(a, b Settled) int { return cmp.Compare(a.Order.Fence, b.Order.Fence) })
	return Snapshot{Term: s.term, Issuer: s.issuer, Open: s.Open(), Settled: settled}
}

// FromSnapshot restores a state from its snapshot.
func FromSnapshot(snapshot Snapshot) *State {
	s := NewState()
	s.term = snapshot.Term
	s.issuer = snapshot.Issuer
	for _, order := range snapshot.Open {
		s.open[order.Upstream] = order
	}
	for _, settled := range snapshot.Settled {
		s.settled[settled.Order.Upstream] = settled
	}
	return s
}
