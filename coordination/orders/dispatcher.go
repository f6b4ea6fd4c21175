package orders

import "time"

// ReportKind says how an attempt ended.
type ReportKind uint8

const (
	// Finished means that the record holds the outcome.
	Finished ReportKind = iota + 1
	// RefusedDispatch means that another attempt holds the order, or that it
	// is over; Record says which.
	RefusedDispatch
	// NotSent means that the order is reserved again; another attempt may run.
	NotSent
)

type dispatchPhase uint8

const (
	asking dispatchPhase = iota
	calling
	recording
	dispatchEnded
)

// Dispatcher runs one attempt of an order in the router that owns the
// upstream.
//
// The harm it prevents: the order runs twice because two routers, or two flows
// in one router, each believed that it was theirs to send. So it sends only
// after its own dispatched record is committed, at once and only once, and
// never sends after the first call, whatever happens. What it learns it
// records; a record whose proposal was lost is proposed again, because every
// command is idempotent for its holder.
//
// It gives the order back only while it knows that it sent no byte.
type Dispatcher struct {
	key      Key
	digest   Digest
	holder   Holder
	deadline time.Duration
	phase    dispatchPhase
	// last is the command that is being recorded.
	last Command
	// mayHaveSent is set before the call goes out and never cleared but by
	// NotConnected.
	mayHaveSent bool
}

// NewDispatcher returns the flow of one attempt. The holder's token must not
// be used for any other attempt in the session.
func NewDispatcher(key Key, digest Digest, holder Holder, deadline time.Duration) *Dispatcher {
	return &Dispatcher{key: key, digest: digest, holder: holder, deadline: deadline}
}

// Ended reports whether the flow has nothing more to do.
func (d *Dispatcher) Ended() bool { return d.phase == dispatchEnded }

// Step takes one input at now and returns what to do. leased says whether the
// router's lease is valid at now.
func (d *Dispatcher) Step(now time.Duration, leased bool, input Input) []Output {
	if d.phase == dispatchEnded {
		return nil
	}
	switch in := input.(type) {
	case Start:
		return d.propose(OpDispatch, nil)
	case Committed:
		return d.committed(now, leased, in)
	case ProposalLost:
		return d.lost(now, in.Op)
	case NotConnected:
		if d.phase != calling {
			return nil
		}
		d.mayHaveSent = false
		return d.giveUp(now)
	case Answered:
		return d.answered(in.Answer)
	case Broken:
		return d.inDoubt()
	case Tick:
		if now >= d.deadline {
			return d.inDoubt()
		}
	}
	return nil
}

func (d *Dispatcher) propose(op Op, answer *Answer) []Output {
	d.last = Command{Op: op, Key: d.key, Digest: d.digest, Holder: d.holder, Answer: answer}
	return []Output{Propose{d.last}}
}

// lost proposes again what may not be committed. A dispatch is not asked for
// again past the deadline: it is sealed, which holds whether or not the lost
// proposal is committed later.
func (d *Dispatcher) lost(now time.Duration, op Op) []Output {
	if op != d.last.Op {
		return nil
	}
	if op == OpDispatch && now >= d.deadline {
		return d.giveUp(now)
	}
	return []Output{Propose{d.last}}
}

func (d *Dispatcher) committed(now time.Duration, leased bool, in Committed) []Output {
	if in.Op != d.last.Op {
		return nil
	}
	if d.phase == asking {
		return d.dispatched(now, leased, in.Result)
	}
	if d.phase != recording {
		return nil
	}
	return d.recorded(in)
}

// dispatched sends the order if the right to is this attempt's. A router whose
// lease ran out meanwhile gives it back: it no longer owns the upstream.
func (d *Dispatcher) dispatched(now time.Duration, leased bool, result Result) []Output {
	if result.Outcome != Applied {
		return d.report(RefusedDispatch, result.Record)
	}
	if !leased || now >= d.deadline {
		return d.giveUp(now)
	}
	d.phase = calling
	d.mayHaveSent = true
	return []Output{Call{}}
}

// giveUp returns the unused right while there is time for another attempt, or
// else seals the order.
func (d *Dispatcher) giveUp(now time.Duration) []Output {
	d.phase = recording
	if now >= d.deadline {
		return d.propose(OpSeal, nil)
	}
	return d.propose(OpReturn, nil)
}

// answered records the answer, also when it comes after the deadline and the
// order already counts as unknown.
func (d *Dispatcher) answered(answer Answer) []Output {
	if !d.mayHaveSent || d.last.Op == OpDone {
		return nil
	}
	d.phase = recording
	return d.propose(OpDone, &answer)
}

// inDoubt records that nobody can tell whether the order ran. The flow stays,
// because the answer may still come.
func (d *Dispatcher) inDoubt() []Output {
	if d.phase != calling {
		return nil
	}
	d.phase = recording
	return d.propose(OpUnknown, nil)
}

func (d *Dispatcher) recorded(in Committed) []Output {
	switch {
	case in.Op == OpReturn && in.Result.Outcome != Applied:
		// The session was closed between, so the order counts as unknown. No
		// byte was sent: say so.
		return d.propose(OpSeal, nil)
	case in.Op == OpReturn:
		return d.report(NotSent, in.Result.Record)
	case in.Op == OpUnknown:
		return []Output{Report{Finished, in.Result.Record}}
	}
	return d.report(Finished, in.Result.Record)
}

func (d *Dispatcher) report(kind ReportKind, record *Record) []Output {
	d.phase = dispatchEnded
	return []Output{Report{kind, record}}
}
