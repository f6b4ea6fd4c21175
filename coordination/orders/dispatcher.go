package orders

import "time"

// ReportKind says how an attempt ended.
type ReportKind uint8

const (
	// Finished means that the record has the outcome of the order.
	Finished ReportKind = iota + 1
	// DispatchRefused means that this attempt got no right to send the order:
	// another attempt holds the order, the order is finished, or the session of
	// this router is closed. Report.Record is the order's record, if there is one.
	DispatchRefused
	// NotSent means that the order is reserved again and another attempt may
	// start.
	NotSent
)

type dispatchPhase uint8

const (
	// acquiring: OpDispatch is proposed.
	acquiring dispatchPhase = iota
	// calling: the order is sent and its answer is awaited.
	calling
	// recording: OpDone, OpUnknown, OpSeal or OpReturn is proposed. After OpUnknown
	// the Dispatcher stays in this phase, because the answer may still come.
	recording
	dispatchEnded
)

// Dispatcher runs one attempt of an order in the router that owns the
// upstream.
//
// The failure it guards against: the order runs twice because two routers, or
// two Dispatchers in one router, each consider it theirs to send. A Dispatcher
// therefore sends the order immediately after its own dispatched record is
// committed, and never a second time, whatever happens. It records the outcome
// and proposes a record again when the proposal may be lost, because every
// command is idempotent for its holder.
//
// It returns the order to state Reserved only if it knows that it sent no byte.
type Dispatcher struct {
	key      Key
	digest   Digest
	holder   Holder
	deadline time.Duration
	phase    dispatchPhase
	// lastProposed is the command that was proposed last.
	lastProposed Command
	// mayHaveSent is set before the call starts; only NotConnected clears it.
	mayHaveSent bool
}

// NewDispatcher returns the Dispatcher of one attempt. The holder's token must
// not be used for any other attempt in the session.
func NewDispatcher(key Key, digest Digest, holder Holder, deadline time.Duration) *Dispatcher {
	return &Dispatcher{key: key, digest: digest, holder: holder, deadline: deadline}
}

// Ended reports whether the Dispatcher has nothing more to do.
func (d *Dispatcher) Ended() bool { return d.phase == dispatchEnded }

// Step handles one input at now and returns the actions for the driver. leased
// says whether the router's lease is valid at now.
func (d *Dispatcher) Step(now time.Duration, leased bool, input Input) []Output {
	if d.phase == dispatchEnded {
		return nil
	}
	switch in := input.(type) {
	case Start:
		return d.propose(OpDispatch, nil)
	case Committed:
		return d.committed(now, leased, in)
	case ProposalUncertain:
		return d.proposalUncertain(now, in.Op)
	case NotConnected:
		if d.phase != calling {
			return nil
		}
		d.mayHaveSent = false
		return d.returnOrSeal(now)
	case Answered:
		return d.answered(in.Answer)
	case ConnectionBroken:
		return d.recordUnknown()
	case Tick:
		if now >= d.deadline {
			return d.recordUnknown()
		}
	}
	return nil
}

func (d *Dispatcher) propose(op Op, answer *Answer) []Output {
	d.lastProposed = Command{Op: op, Key: d.key, Digest: d.digest, Holder: d.holder, Answer: answer}
	return []Output{Propose{d.lastProposed}}
}

// proposalUncertain repeats a proposal that may not have been committed. After
// the deadline it seals the order instead of repeating OpDispatch; the seal is
// valid whether or not the lost proposal is committed later.
func (d *Dispatcher) proposalUncertain(now time.Duration, op Op) []Output {
	if op != d.lastProposed.Op {
		return nil
	}
	if op == OpDispatch && now >= d.deadline {
		return d.returnOrSeal(now)
	}
	return []Output{Propose{d.lastProposed}}
}

func (d *Dispatcher) committed(now time.Duration, leased bool, in Committed) []Output {
	if in.Op != d.lastProposed.Op {
		return nil
	}
	if d.phase == acquiring {
		return d.dispatchCommitted(now, leased, in.Result)
	}
	if d.phase != recording {
		return nil
	}
	return d.recordCommitted(in)
}

// dispatchCommitted sends the order if this attempt got the right to send it. A
// router whose lease has expired meanwhile returns the right, because it may no
// longer own the upstream.
func (d *Dispatcher) dispatchCommitted(now time.Duration, leased bool, result Result) []Output {
	if result.Outcome != Applied {
		return d.report(DispatchRefused, result.Record)
	}
	if !leased || now >= d.deadline {
		return d.returnOrSeal(now)
	}
	d.phase = calling
	d.mayHaveSent = true
	return []Output{Call{}}
}

// returnOrSeal returns the unused right to send before the deadline, so that
// another attempt can start, and seals the order after it.
func (d *Dispatcher) returnOrSeal(now time.Duration) []Output {
	d.phase = recording
	if now >= d.deadline {
		return d.propose(OpSeal, nil)
	}
	return d.propose(OpReturn, nil)
}

// answered records the answer, also when it comes after the deadline and the
// order is already Unknown.
func (d *Dispatcher) answered(answer Answer) []Output {
	if !d.mayHaveSent || d.lastProposed.Op == OpDone {
		return nil
	}
	d.phase = recording
	return d.propose(OpDone, &answer)
}

// recordUnknown records that nobody can tell whether the order ran. The
// Dispatcher does not end, because the answer may still come.
func (d *Dispatcher) recordUnknown() []Output {
	if d.phase != calling {
		return nil
	}
	d.phase = recording
	return d.propose(OpUnknown, nil)
}

func (d *Dispatcher) recordCommitted(in Committed) []Output {
	switch {
	case in.Op == OpReturn && in.Result.Outcome != Applied:
		// The session was closed meanwhile, so the order is Unknown. No byte was
		// sent, so the holder can seal the order.
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
