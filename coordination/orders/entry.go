package orders

import (
	"time"

	"endiveplank/protocol"
)

// sealMargin is how long before the caller's deadline an Entry proposes to seal
// the order, so that it can still tell the caller "not run". It is several times
// as long as a commit takes in the region with the highest latency.
const sealMargin = 500 * time.Millisecond

// pollInterval is the time between two reads of the record of an order that
// another attempt runs.
const pollInterval = 100 * time.Millisecond

// Input is an event that a driver passes to Entry.Step or Dispatcher.Step.
type Input interface{ input() }

// Inputs of Entry and Dispatcher.
type (
	// Start is the first input.
	Start struct{}
	// Committed is the result of a proposed command.
	Committed struct {
		Op     Op
		Result Result
	}
	// ProposalUncertain means that the router cannot tell whether a command was
	// committed, because the leader or its reply was lost.
	ProposalUncertain struct{ Op Op }
	// Tick tells that time has passed. The driver of an Entry sends one at
	// NextTick, the driver of a Dispatcher one at the deadline.
	Tick struct{}
	// RecordRead is the result of ReadRecord; Record is zero if there is none.
	RecordRead struct{ Record Record }
	// CallerGone means that the caller's connection is closed.
	CallerGone struct{}
	// Reported is a report from the dispatcher.
	Reported struct{ Report Report }
	// DispatcherLost means that the connection to the dispatcher broke.
	DispatcherLost struct{}
	// OwnersBusy means that the routers that own upstreams of the service are all
	// too busy to take the order soon.
	OwnersBusy struct{}
	// NotConnected means that the service could not be reached and that no
	// byte of the order was sent.
	NotConnected struct{}
	// Answered is the service's answer.
	Answered struct{ Answer Answer }
	// ConnectionBroken means that the connection broke after bytes were sent.
	ConnectionBroken struct{}
)

func (Start) input()             {}
func (Committed) input()         {}
func (ProposalUncertain) input() {}
func (Tick) input()              {}
func (RecordRead) input()        {}
func (CallerGone) input()        {}
func (Reported) input()          {}
func (DispatcherLost) input()    {}
func (OwnersBusy) input()        {}
func (NotConnected) input()      {}
func (Answered) input()          {}
func (ConnectionBroken) input()  {}

// Output is an action that Entry.Step or Dispatcher.Step asks its driver for.
type Output interface{ output() }

// Outputs of Entry and Dispatcher.
type (
	// Propose asks for a command to be committed. The leader sets Command.At.
	Propose struct{ Command Command }
	// Dispatch asks a router that owns an upstream of the service to run the
	// order as the given attempt.
	Dispatch struct{ Attempt uint32 }
	// ReadRecord asks for the order's record from any voter, after a pause.
	ReadRecord struct{ After time.Duration }
	// Reply is the reply to the caller. There is at most one.
	Reply struct {
		Outcome protocol.RunOutcome
		Reason  Reason
		Answer  *Answer
	}
	// Call asks to send the order to the service.
	Call struct{}
	// Report tells the Entry how the attempt ended.
	Report struct {
		Kind   ReportKind
		Record *Record
	}
)

func (Propose) output()    {}
func (Dispatch) output()   {}
func (ReadRecord) output() {}
func (Reply) output()      {}
func (Call) output()       {}
func (Report) output()     {}

// Reason is the reason for a reply to a caller.
type Reason string

const (
	// ReasonAnswered: the service answered this request or an earlier one with
	// the same key.
	ReasonAnswered Reason = "answered"
	// ReasonSealed: the order did not run and never will under this key.
	ReasonSealed Reason = "order-sealed"
	// ReasonUnsettled: the order was sent or may have been, and its outcome is
	// not known. The caller can ask again with the same key.
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
	// reserving: OpReserve is proposed, or the record is read after an attempt
	// ended or was lost.
	reserving entryPhase = iota
	// dispatching: an attempt of this Entry is running.
	dispatching
	// waiting: an attempt that doesn't report to this Entry holds the order. The
	// Entry reads the record until the order's state changes.
	waiting
	// sealing: OpSeal is proposed.
	sealing
	entryEnded
)

// Entry handles one order in the router that the caller is connected to. It
// reserves the order, has the owner of an upstream dispatch it, and replies to
// the caller by its deadline with what is known for certain.
//
// The fleet handles 1,000 orders a second, so an Entry holds little more than a
// key, a digest and the deadline. The failure it guards against: a caller who is
// told "not run" while the order still runs somewhere orders again, and a second
// truck is sent. An Entry therefore says "not run" to a recorded order only
// after a sealed record is committed, and says "unknown" when it cannot get one.
//
// A caller who disconnects does not stop the order. The answer is recorded, and
// the caller gets it by sending the same key again.
type Entry struct {
	key        Key
	digest     Digest
	deadline   time.Duration
	phase      entryPhase
	callerGone bool
}

// NewEntry returns the Entry of one request whose caller waits until deadline.
func NewEntry(key Key, digest Digest, deadline time.Duration) *Entry {
	return &Entry{key: key, digest: digest, deadline: deadline}
}

// Ended reports whether the Entry has nothing more to do.
func (e *Entry) Ended() bool { return e.phase == entryEnded }

// NextTick returns when the Entry next needs a Tick.
func (e *Entry) NextTick() time.Duration {
	if e.phase == sealing || e.phase == waiting {
		return e.deadline
	}
	return e.deadline - sealMargin
}

// Step handles one input at now and returns the actions for the driver.
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
		e.callerGone = true
	case ProposalUncertain:
		return e.proposalUncertain(in.Op)
	case Committed:
		return e.committed(now, in)
	case RecordRead:
		return e.recordRead(now, in.Record)
	case Reported:
		return e.reported(now, in.Report)
	case DispatcherLost:
		return e.dispatcherLost()
	case OwnersBusy:
		return e.ownersBusy()
	}
	return nil
}

func (e *Entry) propose(op Op) []Output {
	return []Output{Propose{Command{Op: op, Key: e.key, Digest: e.digest}}}
}

// tick proposes to seal the order shortly before the deadline. Without that, a
// caller whose order waits for a dispatcher that has failed would get "unknown"
// although nothing was sent.
func (e *Entry) tick(now time.Duration) []Output {
	if now >= e.deadline {
		return e.reply(protocol.UnknownRun, ReasonUnsettled, nil)
	}
	if now < e.deadline-sealMargin || e.phase == sealing || e.phase == waiting || e.callerGone {
		return nil
	}
	e.phase = sealing
	return e.propose(OpSeal)
}

// proposalUncertain repeats a proposal that may not have been committed. Both
// OpReserve and OpSeal are idempotent.
func (e *Entry) proposalUncertain(op Op) []Output {
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
	return e.recordRead(now, *in.Result.Record)
}

// recordRead continues from the state of a committed record, whichever router
// wrote it. A voter that lags may not have the record yet.
func (e *Entry) recordRead(now time.Duration, record Record) []Output {
	if record.State == Absent {
		return []Output{ReadRecord{After: pollInterval}}
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
		return []Output{ReadRecord{After: pollInterval}}
	}
	return e.reservedRead(now, record)
}

func (e *Entry) reservedRead(now time.Duration, record Record) []Output {
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

// reported continues from the record at the end of an attempt. An order that is
// still reserved gets another attempt after a pause, so that the routers do not
// retry in a tight loop while nobody can reach the service.
func (e *Entry) reported(now time.Duration, report Report) []Output {
	if e.phase != dispatching {
		return nil
	}
	e.phase = reserving
	if report.Record == nil || report.Record.State == Reserved {
		return []Output{ReadRecord{After: pollInterval}}
	}
	return e.recordRead(now, *report.Record)
}

// dispatcherLost reads the record again. If the lost dispatcher got no
// dispatched record, another attempt may start; the journal lets only one
// attempt win.
func (e *Entry) dispatcherLost() []Output {
	if e.phase != dispatching {
		return nil
	}
	e.phase = reserving
	return []Output{ReadRecord{After: pollInterval}}
}

// ownersBusy proposes to seal the order at once, because the fleet is overloaded.
// A caller that is told now can try again later; if the Entry held it until the
// deadline, it would lose that time.
func (e *Entry) ownersBusy() []Output {
	if e.phase != dispatching {
		return nil
	}
	e.phase = sealing
	return e.propose(OpSeal)
}

func (e *Entry) reply(outcome protocol.RunOutcome, reason Reason, answer *Answer) []Output {
	e.phase = entryEnded
	if e.callerGone {
		return nil
	}
	return []Output{Reply{Outcome: outcome, Reason: reason, Answer: answer}}
}
