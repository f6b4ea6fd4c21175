// Package orders keeps the journal of requests that may not be repeated, as a
// part of the replicated state, and the pure step functions of the routers
// that handle one such order.
//
// An order goes reserved, dispatched(holder), done(answer). Every step is a
// command that a quorum of disk VMs has synced before it has any effect:
//
//   - A router sends the order to the service only after the dispatched record
//     that names its own attempt (session and token) is committed. The first
//     dispatched record wins; every other flow of the key gets NotAllowed.
//   - A caller is told "not run" only after a sealed record is committed. It
//     blocks every later dispatch, so the answer stays true for ever. An order
//     that was only reserved can be sealed by anyone; a dispatched one only by
//     its holder, which knows that it sent no byte.
//   - A holder whose session ends leaves the order unknown. It never runs
//     again. A late answer of the holder, or an operator who asked the
//     service, settles it.
//   - Done records the answer, so a resend through any router after any crash
//     gets the same one.
//
// Retention: a record lives for Settings.Retention after its reservation, and
// the journal refuses new orders when it is full instead of forgetting old
// ones early, because a forgotten order could run twice. Its clock is taken
// from commands and moves at most maxClockStep for each, so a leader with a
// clock far ahead cannot make the fleet forget its orders.
package orders

import (
	"endiveplank/coordination/ownership"
)

// Bounds of one order, and of the journal's clock.
const (
	maxKey         = 128
	maxContentType = 128
	maxWho         = 128
	// maxClockStep is in milliseconds. One command a minute suffices for the
	// clock to follow real time.
	maxClockStep = 60_000
	// maxClock keeps sums of times far from overflow.
	maxClock = 1 << 53
	// maxExpiries bounds the work of one command.
	maxExpiries = 64
	// recordOverhead is the memory of a record beside its texts, in bytes:
	// record, map slot and queue slot, as measured by BenchmarkRecordBytes.
	recordOverhead = 320
)

// Journal is the state. It is not safe for concurrent use.
type Journal struct {
	settings Settings
	records  map[Key]*Record
	// queue holds the keys by time of reservation.
	queue []queued
	// bySession holds the orders in state Dispatched, to find those that the
	// end of a session leaves unknown.
	bySession map[ownership.SessionID]map[Key]struct{}
	bytes     int
	clock     int64
}

type queued struct {
	key Key
	at  int64
}

// NewJournal returns an empty journal.
func NewJournal(settings Settings) *Journal {
	return &Journal{
		settings:  settings,
		records:   map[Key]*Record{},
		bySession: map[ownership.SessionID]map[Key]struct{}{},
	}
}

// Len returns the number of records, Bytes their memory as counted against
// Settings.MaxBytes.
func (j *Journal) Len() int { return len(j.records) }

// Bytes returns the memory of all records.
func (j *Journal) Bytes() int { return j.bytes }

// Lookup returns a copy of an order's record; its answer must not be modified.
func (j *Journal) Lookup(key Key) (Record, bool) {
	record, ok := j.records[key]
	if !ok {
		return Record{}, false
	}
	return *record, true
}

// Apply runs one command. open says whether the holder's session is open.
func (j *Journal) Apply(command Command, open func(ownership.SessionID) bool) Result {
	if !command.valid() {
		return Result{Outcome: Malformed}
	}
	j.advance(command.At)
	record := j.records[command.Key]
	if command.Op == OpReserve {
		return j.reserve(command, record)
	}
	if record == nil && command.Op == OpSeal {
		return j.sealAbsent(command)
	}
	if record == nil {
		return Result{Outcome: NoRecord}
	}
	outcome := j.step(command, record, open)
	return Result{Outcome: outcome, Record: record.clone()}
}

func (c Command) valid() bool {
	return c.Key.Customer != "" && len(c.Key.Customer) <= maxKey &&
		c.Key.Key != "" && len(c.Key.Key) <= maxKey && len(c.Who) <= maxWho &&
		c.At >= 0 && c.At <= maxClock &&
		(c.Answer == nil || len(c.Answer.ContentType) <= maxContentType)
}

func (r *Record) clone() *Record {
	copied := *r
	return &copied
}

func (j *Journal) reserve(command Command, record *Record) Result {
	if record != nil {
		if record.Digest != command.Digest {
			return Result{Outcome: DigestConflict}
		}
		return Result{Outcome: Exists, Record: record.clone()}
	}
	if j.bytes >= j.settings.MaxBytes {
		return Result{Outcome: Full}
	}
	record = &Record{Key: command.Key, Digest: command.Digest, State: Reserved, ReservedAt: j.clock}
	j.insert(record)
	return Result{Outcome: Applied, Record: record.clone()}
}

func (j *Journal) insert(record *Record) {
	j.records[record.Key] = record
	j.queue = append(j.queue, queued{record.Key, record.ReservedAt})
	j.bytes += record.size()
	if record.State == Dispatched {
		j.hold(record)
	}
}

func (r *Record) size() int {
	size := recordOverhead + 2*(len(r.Key.Customer)+len(r.Key.Key))
	if r.Answer != nil {
		size += len(r.Answer.Body) + len(r.Answer.ContentType) + 64
	}
	return size
}

func (j *Journal) step(command Command, record *Record, open func(ownership.SessionID) bool) Outcome {
	if command.Op != OpSettle && record.Digest != command.Digest {
		return DigestConflict
	}
	switch command.Op {
	case OpDispatch:
		return j.dispatch(command, record, open)
	case OpReturn:
		return j.giveBack(command, record)
	case OpDone:
		return j.done(command, record)
	case OpSeal:
		return j.seal(command, record)
	case OpUnknown:
		return j.unknown(command, record)
	case OpSettle:
		return j.settle(command, record)
	}
	return Malformed
}

// dispatch gives the right to send an order to the first that asks. The same
// holder asking again (its answer was lost) still has it.
//
// It refuses a closed session: its router may be long gone from the fleet's
// point of view, and nobody would mark the order unknown after it.
func (j *Journal) dispatch(command Command, record *Record, open func(ownership.SessionID) bool) Outcome {
	if record.State == Dispatched && record.Holder == command.Holder {
		return Applied
	}
	if record.State != Reserved || command.Holder.Attempt != record.Attempts+1 {
		return NotAllowed
	}
	if !open(command.Holder.Session) {
		return NoSession
	}
	record.State = Dispatched
	record.Attempts++
	record.Holder = command.Holder
	j.hold(record)
	return Applied
}

// giveBack returns a right that was not used: the service could not be
// reached and no byte was sent, so another attempt may follow.
func (j *Journal) giveBack(command Command, record *Record) Outcome {
	if record.State != Dispatched || record.Holder != command.Holder {
		return NotAllowed
	}
	j.letGo(record)
	record.State = Reserved
	record.Holder = Holder{}
	return Applied
}

// done records the answer. It may come late, when the order already counts as
// unknown: the answer of the only attempt settles it.
func (j *Journal) done(command Command, record *Record) Outcome {
	if command.Answer == nil {
		return Malformed
	}
	if record.Holder != command.Holder {
		return NotAllowed
	}
	switch record.State {
	case Done:
		return Applied
	case Dispatched, Unknown:
		j.finish(record, Done, command.Answer)
		return Applied
	}
	return NotAllowed
}

// seal makes "not run" true for ever. An order that nobody dispatched can be
// sealed by anyone. One that was dispatched can be sealed only by its holder,
// which knows that it sent nothing: anyone else would call an order not run
// whose bytes may be at the service.
func (j *Journal) seal(command Command, record *Record) Outcome {
	switch record.State {
	case Sealed:
		return Applied
	case Reserved:
		j.finish(record, Sealed, nil)
		return Applied
	case Dispatched, Unknown:
		if record.Holder != command.Holder {
			return NotAllowed
		}
		j.finish(record, Sealed, nil)
		return Applied
	}
	return NotAllowed
}

// sealAbsent seals an order whose reservation is not committed, and may be
// later: the sealed record blocks that as well.
func (j *Journal) sealAbsent(command Command) Result {
	if j.bytes >= j.settings.MaxBytes {
		return Result{Outcome: Full}
	}
	record := &Record{Key: command.Key, Digest: command.Digest, State: Sealed, ReservedAt: j.clock}
	j.insert(record)
	return Result{Outcome: Applied, Record: record.clone()}
}

func (j *Journal) unknown(command Command, record *Record) Outcome {
	if record.Holder != command.Holder {
		return NotAllowed
	}
	switch record.State {
	case Unknown:
		return Applied
	case Dispatched:
		j.finish(record, Unknown, nil)
		return Applied
	}
	return NotAllowed
}

// settle takes the service's own word, brought by an operator, for an order
// that is unknown. Either way it never runs again.
func (j *Journal) settle(command Command, record *Record) Outcome {
	if record.State != Unknown || command.Who == "" {
		return NotAllowed
	}
	if command.Answer != nil {
		j.finish(record, Done, command.Answer)
		return Applied
	}
	j.finish(record, Sealed, nil)
	return Applied
}

// finish moves an order to a state in which nobody holds the right to send.
func (j *Journal) finish(record *Record, state State, answer *Answer) {
	j.letGo(record)
	j.bytes -= record.size()
	record.State = state
	if answer != nil {
		record.Answer = answer.bounded(j.settings.MaxAnswer)
	}
	j.bytes += record.size()
}

func (a *Answer) bounded(limit int) *Answer {
	kept := *a
	if len(kept.Body) > limit {
		kept.Body = nil
		kept.Dropped = true
	}
	return &kept
}

// SessionClosed leaves the dispatched orders of a session unknown.
func (j *Journal) SessionClosed(session ownership.SessionID) {
	for key := range j.bySession[session] {
		j.records[key].State = Unknown
	}
	delete(j.bySession, session)
}

func (j *Journal) hold(record *Record) {
	held := j.bySession[record.Holder.Session]
	if held == nil {
		held = map[Key]struct{}{}
		j.bySession[record.Holder.Session] = held
	}
	held[record.Key] = struct{}{}
}

func (j *Journal) letGo(record *Record) {
	held := j.bySession[record.Holder.Session]
	delete(held, record.Key)
	if len(held) == 0 {
		delete(j.bySession, record.Holder.Session)
	}
}

// advance moves the clock and drops what is past its retention.
func (j *Journal) advance(at int64) {
	if j.clock == 0 {
		j.clock = at
	}
	j.clock = max(j.clock, min(at, j.clock+maxClockStep))
	for range maxExpiries {
		if len(j.queue) == 0 || j.queue[0].at+j.settings.RetentionMS > j.clock {
			return
		}
		j.drop(j.queue[0].key)
		j.queue = j.queue[1:]
	}
}

func (j *Journal) drop(key Key) {
	record := j.records[key]
	j.letGo(record)
	j.bytes -= record.size()
	delete(j.records, key)
}
