package orders

import (
	"time"

	"endiveplank/protocol"
)

// sealMargin is how long before its caller's deadline an entry stops hoping
// and asks for a forced outcome. It covers a commit over the widest region
// several times.
const sealMargin = 500 * time.Millisecond

// lookGap is the time between two looks at an order that another flow runs.
const lookGap = 100 * time.Millisecond

// Input is something that happened to a flow.
type Input interface{ input() }

// Inputs of Entry and Dispatcher.
type (
	// Start begins the flow.
	Start struct{}
	// Committed is the result of a proposed command.
	Committed struct {
		Op     Op
		Result Result
	}
	// ProposalLost means that nobody knows whether a command was committed:
	// the leader is gone, or its answer.
	ProposalLost struct{ Op Op }
	// Tick is the passing of time; the driver gives one at NextTick.
	Tick struct{}
	// Looked is the record that a look found, zero if there was none.
	Looked struct{ Record Record }
	// CallerGone means that the caller's connection is cut.
	CallerGone struct{}
	// Reported is the dispatcher's report.
	Reported struct{ Report Report }
	// DispatcherLost means that the connection to the dispatcher broke.
	DispatcherLost struct{}
	// Refused means that every owner is too busy to take the order soon.
	Refused struct{}
	// NotConnected means that the service could not be reached and that no
	// byte of the order was sent.
	NotConnected struct{}
	// Answered is the service's answer.
	Answered struct{ Answer Answer }
	// Broken means that the connection broke after bytes were sent.
	Broken struct{}
)

func (Start) input()          {}
func (Committed) input()      {}
func (ProposalLost) input()   {}
func (Tick) input()           {}
func (Looked) input()         {}
func (CallerGone) input()     {}
func (Reported) input()       {}
func (DispatcherLost) input() {}
func (Refused) input()        {}
func (NotConnected) input()   {}
func (Answered) input()       {}
func (Broken) input()         {}

// Output is something that a flow wants done.
type Output interface{ output() }

// Outputs of Entry and Dispatcher.
type (
	// Propose asks for a command to be committed. The leader sets its stamp.
	Propose struct{ Command Command }
	// Dispatch asks the owner of an upstream of the service to run the order
	// as the given attempt.
	Dispatch struct{ Attempt uint32 }
	// Look asks for the record after a pause; any voter's will do.
	Look struct{ After time.Duration }
	// Reply answers the caller. It comes once.
	Reply struct {
		Outcome protocol.RunOutcome
		Reason  Reason
		Answer  *Answer
	}
	// Call sends the order to the service.
	Call struct{}
	// Report tells the entry how the attempt ended.
	Report struct {
		Kind   ReportKind
		Record *Record
	}
)

func (Propose) output()  {}
func (Dispatch) output() {}
func (Look) output()     {}
func (Reply) output()    {}
func (Call) output()     {}
func (Report) output()   {}

// Reason says why a caller got its reply.
type Reason string

const (
	// ReasonAnswered: the service answered, now or to an earlier send.
	ReasonAnswered Reason = "answered"
	// ReasonSealed: the order did not run and this key never will.
	ReasonSealed Reason = "order-sealed"
	// ReasonUnsettled: it was sent, or may have been, and nothing settled it.
	// The same key asks again.
	ReasonUnsettled Reason = "order-unsettled"
	// ReasonDigestConflict: the key was used for another request.
	ReasonDigestConflict Reason = "idempotency-key-reused"
	// ReasonFull: the journal is full; nothing was recorded.
	ReasonFull Reason = "journal-full"
	// ReasonMalformed: the key is not valid.
	ReasonMalformed Reason = "idempotency-key-invalid"
)

type entryPhase uint8

const (
	reserving entryPhase = iota
	dispatching
	waiting
	sealing
	entryEnded
)

// Entry handles one order in the router that the caller is connected to. It
// reserves the order, has an owner dispatch it, and answers the caller by its
// deadline with what is known for certain.
//
// It is made for 1,000 orders a second over the fleet, so it holds no more
// than a key, a digest and two times. The harm it prevents: a caller who is
// told "not run" while the order still runs somewhere sends a second truck. So
// it says not-run only after a sealed record is committed, and when it cannot
// get one it says unknown.
//
// A caller who goes away does not stop the order. The answer is recorded, and
// the caller gets it with the same key.
type Entry struct {
	key      Key
	digest   Digest
	deadline time.Duration
	phase    entryPhase
	gone     bool
}

// NewEntry returns the flow of one request whose caller waits until deadline.
func NewEntry(key Key, digest Digest, deadline time.Duration) *Entry {
	return &Entry{key: key, digest: digest, deadline: deadline}
}

// Ended reports whether the flow has nothing more to do.
func (e *Entry) Ended() bool { return e.phase == entryEnded }

// NextTick returns when the flow next needs a Tick.
func (e *Entry) NextTick() time.Duration {
	if e.phase == sealing || e.phase == waiting {
		return e.deadline
	}
	return e.deadline - sealMargin
}

// Step takes one input at now and returns what to do.
func (e *Entry) Step(now time.Duration, input Input) []Output {
	if e.phase == entryEnded {
		return nil
	}
	switch in := input.(type) {
	case Start:
		return e.propose(OpReserve)
	case Tick:
		return e.tick(now)
	case CallerGone:
		e.gone = true
	case ProposalLost:
		return e.lost(in.Op)
	case Committed:
		return e.committed(now, in)
	case Looked:
		return e.looked(now, in.Record)
	case Reported:
		return e.reported(now, in.Report)
	case DispatcherLost:
		return e.dispatcherLost()
	case Refused:
		return e.refused()
	}
	return nil
}

func (e *Entry) propose(op Op) []Output {
	return []Output{Propose{Command{Op: op, Key: e.key, Digest: e.digest}}}
}

// tick asks for the forced outcome shortly before the deadline. Without it a
// caller whose order waits for a dead dispatcher could only be told unknown,
// although nothing was sent.
func (e *Entry) tick(now time.Duration) []Output {
	if now >= e.deadline {
		return e.reply(protocol.UnknownRun, ReasonUnsettled, nil)
	}
	if now < e.deadline-sealMargin || e.phase == sealing || e.phase == waiting || e.gone {
		return nil
	}
	e.phase = sealing
	return e.propose(OpSeal)
}

// lost repeats a proposal whose fate is unknown; both are idempotent.
func (e *Entry) lost(op Op) []Output {
	if op == OpReserve && e.phase == reserving || op == OpSeal && e.phase == sealing {
		return e.propose(op)
	}
	return nil
}

func (e *Entry) committed(now time.Duration, in Committed) []Output {
	switch in.Result.Outcome {
	case DigestConflict:
		return e.reply(protocol.NotRun, ReasonDigestConflict, nil)
	case Full:
		return e.reply(protocol.NotRun, ReasonFull, nil)
	case Malformed:
		return e.reply(protocol.NotRun, ReasonMalformed, nil)
	}
	if in.Result.Record == nil {
		return nil
	}
	return e.looked(now, *in.Result.Record)
}

// looked goes on from a committed record, whoever wrote it. A voter that lags
// may not have the record yet.
func (e *Entry) looked(now time.Duration, record Record) []Output {
	if record.State == Absent {
		return []Output{Look{After: lookGap}}
	}
	if record.Digest != e.digest {
		return e.reply(protocol.NotRun, ReasonDigestConflict, nil)
	}
	switch record.State {
	case Done:
		return e.reply(protocol.Ran, ReasonAnswered, record.Answer)
	case Sealed:
		return e.reply(protocol.NotRun, ReasonSealed, nil)
	case Unknown:
		return e.reply(protocol.UnknownRun, ReasonUnsettled, nil)
	case Dispatched:
		if e.phase == dispatching {
			return nil
		}
		e.phase = waiting
		return []Output{Look{After: lookGap}}
	}
	return e.fromReserved(now, record)
}

func (e *Entry) fromReserved(now time.Duration, record Record) []Output {
	switch {
	case e.phase == dispatching || e.phase == sealing:
		return nil
	case now >= e.deadline-sealMargin:
		e.phase = sealing
		return e.propose(OpSeal)
	}
	e.phase = dispatching
	return []Output{Dispatch{Attempt: record.Attempts + 1}}
}

// reported goes on from the record that an attempt left. An order that is
// still reserved gets another attempt after a pause, so that a service that
// nobody reaches is not asked without end.
func (e *Entry) reported(now time.Duration, report Report) []Output {
	if e.phase != dispatching {
		return nil
	}
	e.phase = reserving
	if report.Record == nil || report.Record.State == Reserved {
		return []Output{Look{After: lookGap}}
	}
	return e.looked(now, *report.Record)
}

// dispatcherLost reads the record again. If the dispatcher got no dispatched
// record, another may try, and the journal lets one of them win.
func (e *Entry) dispatcherLost() []Output {
	if e.phase != dispatching {
		return nil
	}
	e.phase = reserving
	return []Output{Look{After: lookGap}}
}

// refused asks for the forced outcome at once. An overloaded fleet gives up on
// the order now; holding the caller until its deadline would only keep it from
// coming back when there is room.
func (e *Entry) refused() []Output {
	if e.phase != dispatching {
		return nil
	}
	e.phase = sealing
	return e.propose(OpSeal)
}

func (e *Entry) reply(outcome protocol.RunOutcome, reason Reason, answer *Answer) []Output {
	e.phase = entryEnded
	if e.gone {
		return nil
	}
	return []Output{Reply{Outcome: outcome, Reason: reason, Answer: answer}}
}
