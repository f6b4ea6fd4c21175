// Package orders implements orders, requests that may run at most once. Journal
// is their part of the replicated state. Entry and Dispatcher are the state
// machines of the routers that handle one order: Entry in the router that the
// caller is connected to, Dispatcher in the router that owns the upstream.
//
// An order normally goes through the states Reserved, Dispatched (with the
// attempt that holds it) and Done (with the answer). Every step is a command
// that a quorum of disk VMs has synced to disk before it takes effect. The
// failures that the package guards against:
//
//   - Two routers send the same order. A router sends it to the service only
//     after the dispatched record that names its own attempt (session and
//     token) is committed. The first dispatched record wins; every other
//     attempt for the key gets NotAllowed.
//   - A caller is told "not run" and the order runs later. A router says "not
//     run" only after a sealed record is committed, which blocks every later
//     dispatch. Anyone can seal an order that is only reserved; a dispatched
//     one only its holder, which knows that it sent no byte.
//   - The holder is lost. When its session ends, the order becomes Unknown and
//     never runs again. A late answer of the holder, or an operator who asked
//     the service, settles it.
//   - The answer is lost. The Done record contains it, so a resend through any
//     router after any crash gets the same answer.
//   - An order is forgotten and runs twice. A record is kept for
//     Settings.RetentionMS after its reservation, and a full journal refuses new
//     orders instead of removing old ones early. The journal's clock is taken
//     from commands, and each command advances it by at most maxClockStep, so a
//     leader with a clock far ahead cannot make the fleet forget its orders.
package orders

import (
	"endiveplank/coordination/ownership"
)

// Bounds of one command, and of the journal's clock.
const (
	maxKey         = 128
	maxContentType = 128
	maxWho         = 128
	// maxClockStep is in milliseconds. One command a minute is enough for the
	// clock to keep up with real time.
	maxClockStep = 60_000
	// maxClock keeps sums of times from overflowing.
	maxClock = 1 << 53
	// maxExpiredPerCommand bounds how many expired records one command removes,
	// and with it the time that the command takes.
	maxExpiredPerCommand = 64
	// recordOverhead is the memory of a record besides its strings, in bytes:
	// record, map slot and queue slot. BenchmarkRecordBytes measures it.
	recordOverhead = 320
)

// Journal holds the records of all orders. It is not safe for concurrent use.
type Journal struct {
	settings Settings
	records  map[Key]*Record
	// queue holds the keys in order of reservation, to find expired records.
	queue []queued
	// dispatched holds the orders in state Dispatched by their holder's session,
	// to find those that become Unknown when a session ends.
	dispatched map[ownership.SessionID]map[Key]struct{}
	bytes      int
	// clock is in milliseconds of Unix time.
	clock int64
}

type queued struct {
	key        Key
	reservedAt int64
}

// NewJournal returns an empty journal.
func NewJournal(settings Settings) *Journal {
	return &Journal{
		settings:   settings,
		records:    map[Key]*Record{},
		dispatched: map[ownership.SessionID]map[Key]struct{}{},
	}
}

// Len returns the number of records.
func (j *Journal) Len() int { return len(j.records) }

// Bytes returns the estimated memory of all records, which Settings.MaxBytes
// limits.
func (j *Journal) Bytes() int { return j.bytes }

// Lookup returns a copy of an order's record; its answer must not be modified.
func (j *Journal) Lookup(key Key) (Record, bool) {
	record, ok := j.records[key]
	if !ok {
		return Record{}, false
	}
	return *record, true
}

// Apply applies one command. open reports whether a session is open.
func (j *Journal) Apply(command Command, open func(ownership.SessionID) bool) Result {
	if !command.valid() {
		return Result{Outcome: Malformed}
	}
	j.advanceClock(command.At)
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
	outcome := j.applyTo(command, record, open)
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
		j.addDispatched(record)
	}
}

func (r *Record) size() int {
	size := recordOverhead + 2*(len(r.Key.Customer)+len(r.Key.Key))
	if r.Answer != nil {
		size += len(r.Answer.Body) + len(r.Answer.ContentType) + 64
	}
	return size
}

func (j *Journal) applyTo(command Command, record *Record, open func(ownership.SessionID) bool) Outcome {
	if command.Op != OpSettle && record.Digest != command.Digest {
		return DigestConflict
	}
	switch command.Op {
	case OpDispatch:
		return j.dispatch(command, record, open)
	case OpReturn:
		return j.returnDispatch(command, record)
	case OpDone:
		return j.recordAnswer(command, record)
	case OpSeal:
		return j.seal(command, record)
	case OpUnknown:
		return j.markUnknown(command, record)
	case OpSettle:
		return j.settle(command, record)
	}
	return Malformed
}

// dispatch grants the right to send an order to the first holder that asks. A
// holder that asks again, because the reply to its command was lost, still has
// the right.
//
// dispatch refuses a holder whose session is closed: SessionClosed has already
// run for that session, so the order would stay in state Dispatched for ever.
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
	j.addDispatched(record)
	return Applied
}

// returnDispatch makes the order Reserved again: the holder sent no byte, for
// example because it could not reach the service, so another attempt may follow.
func (j *Journal) returnDispatch(command Command, record *Record) Outcome {
	if record.State != Dispatched || record.Holder != command.Holder {
		return NotAllowed
	}
	j.removeDispatched(record)
	record.State = Reserved
	record.Holder = Holder{}
	return Applied
}

// recordAnswer records the service's answer. The answer may come when the order
// is already Unknown; it settles the order, because its attempt is the only one
// that may have sent it.
func (j *Journal) recordAnswer(command Command, record *Record) Outcome {
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

// seal makes sure that the order never runs. Anyone can seal a reserved order.
// Only the holder can seal a dispatched one, because only the holder knows that
// it sent nothing: the service may already have received the order.
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

// sealAbsent seals an order whose reservation is not committed yet. The sealed
// record also blocks a reservation that is committed later.
func (j *Journal) sealAbsent(command Command) Result {
	if j.bytes >= j.settings.MaxBytes {
		return Result{Outcome: Full}
	}
	record := &Record{Key: command.Key, Digest: command.Digest, State: Sealed, ReservedAt: j.clock}
	j.insert(record)
	return Result{Outcome: Applied, Record: record.clone()}
}

func (j *Journal) markUnknown(command Command, record *Record) Outcome {
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

// settle records for an Unknown order whether it ran, as an operator learned it
// from the service. The order never runs again in either case.
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

// finish moves an order to a state in which nobody has the right to send it.
func (j *Journal) finish(record *Record, state State, answer *Answer) {
	j.removeDispatched(record)
	j.bytes -= record.size()
	record.State = state
	if answer != nil {
		record.Answer = answer.withinLimit(j.settings.MaxAnswer)
	}
	j.bytes += record.size()
}

func (a *Answer) withinLimit(limit int) *Answer {
	kept := *a
	if len(kept.Body) > limit {
		kept.Body = nil
		kept.Dropped = true
	}
	return &kept
}

// SessionClosed makes the dispatched orders of a session Unknown.
func (j *Journal) SessionClosed(session ownership.SessionID) {
	for key := range j.dispatched[session] {
		j.records[key].State = Unknown
	}
	delete(j.dispatched, session)
}

func (j *Journal) addDispatched(record *Record) {
	keys := j.dispatched[record.Holder.Session]
	if keys == nil {
		keys = map[Key]struct{}{}
		j.dispatched[record.Holder.Session] = keys
	}
	keys[record.Key] = struct{}{}
}

func (j *Journal) removeDispatched(record *Record) {
	keys := j.dispatched[record.Holder.Session]
	delete(keys, record.Key)
	if len(keys) == 0 {
		delete(j.dispatched, record.Holder.Session)
	}
}

// advanceClock advances the clock and removes records whose retention is over.
func (j *Journal) advanceClock(at int64) {
	if j.clock == 0 {
		j.clock = at
	}
	j.clock = max(j.clock, min(at, j.clock+maxClockStep))
	for range maxExpiredPerCommand {
		if len(j.queue) == 0 || j.queue[0].reservedAt+j.settings.RetentionMS > j.clock {
			return
		}
		j.remove(j.queue[0].key)
		j.queue = j.queue[1:]
	}
}

func (j *Journal) remove(key Key) {
	record := j.records[key]
	j.removeDispatched(record)
	j.bytes -= record.size()
	delete(j.records, key)
}
