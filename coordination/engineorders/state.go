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
	// MaxLoads is how many loads may be open in the whole fleet. Load: a
	// weight store that serves a few transfers at a time. Harm prevented: a
	// stampede, in which every load is as late as the last one. Four keep the
	// store busy while one of them is being confirmed.
	MaxLoads = 4
	// maxEngines bounds the state against a faulty issuer; it is far above
	// 790 engines.
	maxEngines = 20_000
	maxText    = 256
)

// Office is the log index of the Take that made a process the issuer.
type Office uint64

// Intent is what an order asks of an engine.
type Intent struct {
	Action  upstreamapi.EngineAction `msgpack:"a"`
	Model   protocol.Model           `msgpack:"m,omitempty"`
	Version string                   `msgpack:"v,omitempty"`
	Role    string                   `msgpack:"r,omitempty"`
}

// Order is one open order.
type Order struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Fence is the log index of the Issue.
	Fence  protocol.Fence `msgpack:"f"`
	Office Office         `msgpack:"o"`
	Intent Intent         `msgpack:"i"`
}

// Ending says how an order was settled.
type Ending string

const (
	// Carried means that the engine's state was read and shows the order.
	Carried Ending = "carried"
	// EngineRefused means that the engine answered that it won't.
	EngineRefused Ending = "engine-refused"
	// Overdue means that the engine didn't get there in time.
	Overdue Ending = "overdue"
	// Overtaken means that the engine has seen a higher number.
	Overtaken Ending = "overtaken"
)

// Settled is the last settled order of an engine.
type Settled struct {
	Order  Order  `msgpack:"o"`
	Ending Ending `msgpack:"e"`
	// Misses counts the orders in a row that ended otherwise than Carried.
	Misses uint32 `msgpack:"m,omitempty"`
}

// Take makes a router the issuer, under a new office each time.
type Take struct {
	Router protocol.RouterID `msgpack:"r"`
}

// Issue opens an order.
type Issue struct {
	Office   Office              `msgpack:"o"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	Intent   Intent              `msgpack:"i"`
}

// Settle ends an order. Confirm and Abandon carry one.
type Settle struct {
	Office   Office              `msgpack:"o"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	Fence    protocol.Fence      `msgpack:"f"`
	Ending   Ending              `msgpack:"e,omitempty"`
}

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Take    *Take   `msgpack:"t,omitempty"`
	Issue   *Issue  `msgpack:"i,omitempty"`
	Confirm *Settle `msgpack:"c,omitempty"`
	Abandon *Settle `msgpack:"a,omitempty"`
}

// Outcome says what became of a command.
type Outcome string

const (
	// Done means that it took effect.
	Done Outcome = "done"
	// OldOffice means that another issuer has taken office since.
	OldOffice Outcome = "old-office"
	// EngineBusy means that the engine has an open order.
	EngineBusy Outcome = "engine-busy"
	// StoreBusy means that MaxLoads loads are open.
	StoreBusy Outcome = "store-busy"
	// NoSuchOrder means that the order to settle is not open.
	NoSuchOrder Outcome = "no-such-order"
	// Malformed means that the command can't be right. It changed nothing.
	Malformed Outcome = "malformed"
)

// Answer is the result of a command.
type Answer struct {
	Outcome Outcome `msgpack:"o"`
	Office  Office  `msgpack:"f,omitempty"`
	Order   *Order  `msgpack:"r,omitempty"`
}

// State is the replicated part: the office in force and, for each engine, the
// open order and the last settled one. It isn't safe for concurrent use.
type State struct {
	office  Office
	holder  protocol.RouterID
	open    map[protocol.UpstreamID]Order
	settled map[protocol.UpstreamID]Settled
}

// NewState returns a state without issuer and orders.
func NewState() *State {
	return &State{open: map[protocol.UpstreamID]Order{}, settled: map[protocol.UpstreamID]Settled{}}
}

// Office returns the office in force and its holder.
func (s *State) Office() (Office, protocol.RouterID) { return s.office, s.holder }

// Open returns the open orders by fencing number.
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

// Loads is the number of open loads.
func (s *State) Loads() int {
	count := 0
	for _, order := range s.open {
		if order.Intent.Action == upstreamapi.ActionLoad {
			count++
		}
	}
	return count
}

// Apply runs the command at a log index.
func (s *State) Apply(index uint64, command Command) Answer {
	switch {
	case command.Take != nil:
		return s.take(index, *command.Take)
	case command.Issue != nil:
		return s.issue(index, *command.Issue)
	case command.Confirm != nil:
		confirm := *command.Confirm
		confirm.Ending = Carried
		return s.settle(confirm)
	case command.Abandon != nil:
		if command.Abandon.Ending == Carried || command.Abandon.Ending == "" {
			return Answer{Outcome: Malformed}
		}
		return s.settle(*command.Abandon)
	}
	return Answer{Outcome: Malformed}
}

func (s *State) take(index uint64, take Take) Answer {
	if take.Router == "" || len(take.Router) > maxText {
		return Answer{Outcome: Malformed}
	}
	s.office = Office(index)
	s.holder = take.Router
	return Answer{Outcome: Done, Office: s.office}
}

func (s *State) issue(index uint64, issue Issue) Answer {
	if !issue.valid() {
		return Answer{Outcome: Malformed}
	}
	if issue.Office != s.office {
		// A proposal of a former issuer that the log took in late. In force,
		// it would undo what its successor decided.
		return Answer{Outcome: OldOffice, Office: s.office}
	}
	if _, busy := s.open[issue.Upstream]; busy {
		return Answer{Outcome: EngineBusy}
	}
	if issue.Intent.Action == upstreamapi.ActionLoad && s.Loads() >= MaxLoads {
		return Answer{Outcome: StoreBusy}
	}
	if len(s.open)+len(s.settled) >= maxEngines {
		return Answer{Outcome: Malformed}
	}
	order := Order{Upstream: issue.Upstream, Fence: protocol.Fence(index), Office: issue.Office, Intent: issue.Intent}
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
	if settle.Office != s.office {
		return Answer{Outcome: OldOffice, Office: s.office}
	}
	order, open := s.open[settle.Upstream]
	if !open || order.Fence != settle.Fence {
		return Answer{Outcome: NoSuchOrder}
	}
	delete(s.open, settle.Upstream)
	settled := Settled{Order: order, Ending: settle.Ending}
	if settle.Ending != Carried {
		settled.Misses = s.settled[settle.Upstream].Misses + 1
	}
	s.settled[settle.Upstream] = settled
	return Answer{Outcome: Done, Order: &order}
}

// Removed forgets an engine that is gone from the fleet. It frees the load
// that the engine will never finish.
func (s *State) Removed(upstream protocol.UpstreamID) {
	delete(s.open, upstream)
	delete(s.settled, upstream)
}

// Snapshot is the whole state, for storing.
type Snapshot struct {
	Office  Office            `msgpack:"o"`
	Holder  protocol.RouterID `msgpack:"h"`
	Open    []Order           `msgpack:"p,omitempty"`
	Settled []Settled         `msgpack:"s,omitempty"`
}

// Snapshot returns the whole state in a fixed order.
func (s *State) Snapshot() Snapshot {
	settled := slices.SortedFunc(maps.Values(s.settled), func(a, b Settled) int { return cmp.Compare(a.Order.Fence, b.Order.Fence) })
	return Snapshot{Office: s.office, Holder: s.holder, Open: s.Open(), Settled: settled}
}

// FromSnapshot returns the state that a snapshot was taken of.
func FromSnapshot(snapshot Snapshot) *State {
	s := NewState()
	s.office = snapshot.Office
	s.holder = snapshot.Holder
	for _, order := range snapshot.Open {
		s.open[order.Upstream] = order
	}
	for _, settled := range snapshot.Settled {
		s.settled[settled.Order.Upstream] = settled
	}
	return s
}
