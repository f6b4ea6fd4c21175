package engineorders

import (
	"slices"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Timing holds the issuer's times.
type Timing struct {
	// Resend is after how long without an answer an ask is repeated.
	Resend time.Duration
	// ReadEvery is how often a load under way is read.
	ReadEvery time.Duration
	// Patience is how long an order may take after its first ask.
	Patience time.Duration
	// WaitOut is how long engines that ignore fencing numbers get no order
	// after the taking of office, and after the issuer first saw their
	// present tenure: the longest lease of an issuer or owner, and the
	// longest call to an engine.
	WaitOut time.Duration
	// BackOff is how long an engine that missed one order gets no other. It
	// doubles with each miss up to MaxBackOff.
	BackOff    time.Duration
	MaxBackOff time.Duration
}

// DefaultTiming returns the times for leases of 3 s and calls of 5 s.
func DefaultTiming() Timing {
	return Timing{
		Resend:     6 * time.Second,
		ReadEvery:  2 * time.Second,
		Patience:   10 * time.Minute,
		WaitOut:    9 * time.Second,
		BackOff:    10 * time.Second,
		MaxBackOff: 10 * time.Minute,
	}
}

// Owner is who owns an engine now, from the replicated state.
type Owner struct {
	Router protocol.RouterID
	Tenure protocol.Fence
	// ChecksFence is as the engine announced.
	ChecksFence bool
}

// Send is an ask to send to an owner.
type Send struct {
	To  protocol.RouterID
	Ask Ask
}

// Issuer sees open orders through while its process holds an office. Its
// driver steps it only while the consensus leader lease is valid, and commits
// the commands that it returns. What it forgets with its process is only how
// far an order got; its successor reads that from the engine.
type Issuer struct {
	timing  Timing
	office  Office
	tookAt  time.Duration
	flights map[protocol.UpstreamID]*flight
	misses  map[protocol.UpstreamID]time.Duration
	tenures map[protocol.UpstreamID]tenure
}

// tenure is an engine's ownership, and since when this issuer knows it.
type tenure struct {
	fence protocol.Fence
	since time.Duration
}

// flight is how far an open order got.
type flight struct {
	fence   protocol.Fence
	since   time.Duration
	askedAt time.Duration
	asked   bool
	// read says that the engine's state was read in this office before the
	// order is sent. An order issued in this office needs no such reading.
	read  bool
	state *upstreamapi.EngineState
	// ending is set once the order is to be settled.
	ending Ending
}

// NewIssuer returns the issuer of an office that was taken at now.
func NewIssuer(timing Timing, office Office, now time.Duration) *Issuer {
	return &Issuer{
		timing: timing, office: office, tookAt: now,
		flights: map[protocol.UpstreamID]*flight{},
		misses:  map[protocol.UpstreamID]time.Duration{},
		tenures: map[protocol.UpstreamID]tenure{},
	}
}

// Step returns the asks to send and the commands to commit for the open
// orders. Nothing comes of a state that names another office.
func (i *Issuer) Step(now time.Duration, state *State, owner func(protocol.UpstreamID) (Owner, bool)) ([]Send, []Command) {
	if office, _ := state.Office(); office != i.office {
		return nil, nil
	}
	var sends []Send
	var commands []Command
	open := state.Open()
	i.forgetSettled(state)
	for _, order := range open {
		f := i.flight(now, order)
		if f.ending == "" && now-f.since >= i.timing.Patience {
			f.ending = Overdue
		}
		if f.ending != "" {
			commands = append(commands, i.settling(order, f.ending))
			continue
		}
		if holder, known := owner(order.Upstream); known && i.due(now, order.Upstream, f, holder) {
			sends = append(sends, i.ask(now, order, f, holder))
		}
	}
	return sends, commands
}

func (i *Issuer) flight(now time.Duration, order Order) *flight {
	f := i.flights[order.Upstream]
	if f == nil || f.fence != order.Fence {
		f = &flight{fence: order.Fence, since: now, read: order.Office == i.office}
		i.flights[order.Upstream] = f
	}
	return f
}

func (i *Issuer) forgetSettled(state *State) {
	for upstream, f := range i.flights {
		if order, open := state.OpenOf(upstream); !open || order.Fence != f.fence {
			delete(i.flights, upstream)
		}
	}
}

// due says whether an ask should go out.
func (i *Issuer) due(now time.Duration, upstream protocol.UpstreamID, f *flight, holder Owner) bool {
	if !holder.ChecksFence && now-i.since(now, upstream, holder) < i.timing.WaitOut {
		// An order of a former issuer, or by way of a former owner, may still
		// be under way. The engine would carry out whichever comes last.
		return false
	}
	if !f.asked {
		return true
	}
	wait := i.timing.Resend
	if f.state != nil {
		wait = i.timing.ReadEvery
	}
	return now-f.askedAt >= wait
}

// since returns from when on only the present issuer and owner could begin a
// call to an engine.
func (i *Issuer) since(now time.Duration, upstream protocol.UpstreamID, holder Owner) time.Duration {
	known, seen := i.tenures[upstream]
	if !seen || known.fence != holder.Tenure {
		known = tenure{fence: holder.Tenure, since: now}
		i.tenures[upstream] = known
	}
	return known.since
}

func (i *Issuer) ask(now time.Duration, order Order, f *flight, holder Owner) Send {
	readOnly := !f.read || underWay(order.Intent, f.state)
	f.asked = true
	f.askedAt = now
	return Send{To: holder.Router, Ask: Ask{
		Upstream: order.Upstream, Tenure: holder.Tenure, Office: i.office,
		Fence: order.Fence, Intent: order.Intent, ReadOnly: readOnly,
	}}
}

func (i *Issuer) settling(order Order, ending Ending) Command {
	settle := &Settle{Office: i.office, Upstream: order.Upstream, Fence: order.Fence, Ending: ending}
	if ending == Carried {
		return Command{Confirm: settle}
	}
	return Command{Abandon: settle}
}

// Reply takes an owner's answer.
func (i *Issuer) Reply(now time.Duration, order Order, reply Reply) {
	f := i.flights[reply.Upstream]
	if f == nil || reply.Office != i.office || reply.Fence != f.fence || order.Fence != f.fence {
		return
	}
	switch {
	case reply.Verdict == CallBusy:
		// The call under way is short; the order needn't wait as for a lost
		// answer.
		f.askedAt = now - i.timing.Resend + i.timing.ReadEvery
	case reply.Verdict != Passed:
		// Asked again after Resend, of whoever is the owner then.
	case !reply.ReadOnly && upstreamapi.IsRefusal(reply.Status):
		f.ending = EngineRefused
		i.misses[reply.Upstream] = now
	case reply.State != nil:
		i.readBack(now, order, f, reply)
	}
}

// readBack judges an order by what its engine holds. An answer of "taken" is
// not believed: an engine that ignores numbers may since have taken another.
// An order that the state neither shows nor has under way is sent again.
func (i *Issuer) readBack(now time.Duration, order Order, f *flight, reply Reply) {
	f.read = true
	f.state = reply.State
	switch {
	case reply.State.Fence > order.Fence || !reply.ReadOnly && upstreamapi.IsConflict(reply.Status):
		f.ending = Overtaken
		i.misses[reply.Upstream] = now
	case reply.State.Fence == order.Fence && shows(order.Intent, reply.State):
		f.ending = Carried
	}
}

// Rested says whether an engine may get a new order: the back-off after
// missed ones is over. A new issuer counts it from its own taking of office.
func (i *Issuer) Rested(now time.Duration, state *State, upstream protocol.UpstreamID) bool {
	settled, known := state.SettledOf(upstream)
	if !known || settled.Misses == 0 {
		return true
	}
	since, seen := i.misses[upstream]
	if !seen {
		since = i.tookAt
	}
	wait := i.timing.BackOff
	for n := uint32(1); n < settled.Misses && wait < i.timing.MaxBackOff; n++ {
		wait *= 2
	}
	return now-since >= min(wait, i.timing.MaxBackOff)
}

// shows says whether a state is what an intent asks for.
func shows(intent Intent, state *upstreamapi.EngineState) bool {
	held := slices.IndexFunc(state.Models, func(m upstreamapi.LoadedModel) bool { return m.Model == intent.Model })
	switch intent.Action {
	case upstreamapi.ActionRole:
		return state.Role == intent.Role
	case upstreamapi.ActionUnload:
		return held < 0
	}
	return held >= 0 && state.Models[held].Ready && intent.means(state.Models[held].Version)
}

// means says whether a version is one that the intent asks for.
func (i Intent) means(version string) bool { return i.Version == "" || i.Version == version }

// underWay says whether a load has begun, so that sending it again is of no
// use.
func underWay(intent Intent, state *upstreamapi.EngineState) bool {
	return state != nil && intent.Action == upstreamapi.ActionLoad &&
		slices.ContainsFunc(state.Models, func(m upstreamapi.LoadedModel) bool {
			return m.Model == intent.Model && intent.means(m.Version) && !m.Ready
		})
}
