package orders

import (
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// Key names an order. It is scoped by the customer, so that one customer can
// neither see nor block another's orders.
type Key struct {
	Customer protocol.CustomerID `msgpack:"c"`
	Key      string              `msgpack:"k"`
}

// Digest is a SHA-256 of method, path and body, cut to 16 bytes.
type Digest [16]byte

// Holder names one attempt to run an order. Only the attempt that got the
// dispatched record may send it, and only it knows whether it did.
type Holder struct {
	Session ownership.SessionID `msgpack:"s"`
	// Token is unique within the session. Without it a caller who sends an
	// order twice through one router would find two flows that both take the
	// committed record for their own.
	Token uint64 `msgpack:"t"`
	// Attempt numbers the dispatches of the order, from 1. Without it a
	// delayed duplicate of a dispatch, applied after the right was given
	// back, would hold the order with nobody to send it.
	Attempt uint32 `msgpack:"a"`
}

// State is the state of an order.
type State uint8

const (
	// Absent: there is no record.
	Absent State = iota
	// Reserved: known, nothing dispatched.
	Reserved
	// Dispatched: the holder may have sent it.
	Dispatched
	// Done: the answer is recorded.
	Done
	// Sealed: it did not run and never will.
	Sealed
	// Unknown: it may have run; it will not run again.
	Unknown
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"absent", "reserved", "dispatched", "done", "sealed", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Answer is what the service answered.
type Answer struct {
	Status      uint16 `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// Dropped says that the body was over the limit and not kept.
	Dropped bool `msgpack:"d,omitempty"`
}

// Record is one order.
type Record struct {
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d"`
	State  State  `msgpack:"s"`
	// Attempts counts dispatched records.
	Attempts uint32 `msgpack:"a,omitempty"`
	Holder   Holder `msgpack:"h,omitempty"`
	// ReservedAt is the journal's clock at the reservation, in milliseconds.
	ReservedAt int64   `msgpack:"t"`
	Answer     *Answer `msgpack:"r,omitempty"`
}

// Op is what a command asks for.
type Op uint8

const (
	// OpReserve makes the order known, with its digest.
	OpReserve Op = iota + 1
	// OpDispatch asks for the right to send it, once.
	OpDispatch
	// OpReturn gives an unused right back: the holder sent no byte.
	OpReturn
	// OpDone records the answer.
	OpDone
	// OpSeal stops any later dispatch.
	OpSeal
	// OpUnknown records that the holder cannot tell whether it ran.
	OpUnknown
	// OpSettle records what an operator learned from the service itself.
	OpSettle
)

// Command is one step of an order.
type Command struct {
	Op     Op     `msgpack:"o"`
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d,omitempty"`
	// Holder is the attempt for Dispatch, Return, Done, Unknown and Seal.
	Holder Holder `msgpack:"h,omitempty"`
	// At is the leader's wall clock in milliseconds of Unix time, as data.
	At int64 `msgpack:"t"`
	// Answer is given with Done, and with Settle if the order ran.
	Answer *Answer `msgpack:"r,omitempty"`
	// Who settled it.
	Who string `msgpack:"w,omitempty"`
}

// Outcome says what became of a command.
type Outcome string

const (
	// Applied means that the command took effect, now or when it was first
	// sent.
	Applied Outcome = "applied"
	// Exists means that the order was reserved before, by this or another
	// flow; Record says how far it is.
	Exists Outcome = "exists"
	// DigestConflict means that the key was used for another request (422).
	DigestConflict Outcome = "digest-conflict"
	// NotAllowed means that the order's state does not allow the command;
	// Record says what it is.
	NotAllowed Outcome = "not-allowed"
	// NoRecord means that there is no such order.
	NoRecord Outcome = "no-record"
	// NoSession means that the holder's session is closed.
	NoSession Outcome = "no-session"
	// Full means that the journal is at its bound; nothing was recorded.
	Full Outcome = "full"
	// Malformed means that the command is not valid.
	Malformed Outcome = "malformed"
)

// Result is the answer to a command.
type Result struct {
	Outcome Outcome `msgpack:"o"`
	// Record is the order after the command, if there is one.
	Record *Record `msgpack:"r,omitempty"`
}
