package orders

import (
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// Key identifies an order. It contains the customer, so that one customer can
// neither see nor block another's orders.
type Key struct {
	Customer protocol.CustomerID `msgpack:"c"`
	Key      string              `msgpack:"k"`
}

// Digest is a SHA-256 of method, path and body, truncated to 16 bytes.
type Digest [16]byte

// Holder identifies one attempt to run an order. Only the attempt that the
// dispatched record names may send the order, and only it knows whether it did.
type Holder struct {
	Session ownership.SessionID `msgpack:"s"`
	// Token is unique within the session. Without it, when a caller sends an
	// order twice through one router, both Dispatchers would take the committed
	// record for their own and send the order.
	Token uint64 `msgpack:"t"`
	// Attempt numbers the dispatches of the order, from 1. Without it, a
	// delayed duplicate of OpDispatch that is applied after OpReturn would put
	// the order into state Dispatched with no Dispatcher left to send it.
	Attempt uint32 `msgpack:"a"`
}

// State is the state of an order.
type State uint8

const (
	// Absent: there is no record.
	Absent State = iota
	// Reserved: the order is recorded, but no attempt may send it yet.
	Reserved
	// Dispatched: the holder may have sent the order.
	Dispatched
	// Done: the order ran and its answer is recorded.
	Done
	// Sealed: the order did not run and never will.
	Sealed
	// Unknown: the order may have run; it will not run again.
	Unknown
)

// String returns the state's name, or "invalid".
func (s State) String() string {
	names := [...]string{"absent", "reserved", "dispatched", "done", "sealed", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Answer is the service's answer to an order.
type Answer struct {
	Status      uint16 `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// Dropped says that the body was longer than Settings.MaxAnswer and was
	// not kept.
	Dropped bool `msgpack:"d,omitempty"`
}

// Record is the journal's record of one order.
type Record struct {
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d"`
	State  State  `msgpack:"s"`
	// Attempts counts how often the order entered state Dispatched.
	Attempts uint32 `msgpack:"a,omitempty"`
	Holder   Holder `msgpack:"h,omitempty"`
	// ReservedAt is the journal's clock at the reservation, in milliseconds of
	// Unix time.
	ReservedAt int64   `msgpack:"t"`
	Answer     *Answer `msgpack:"r,omitempty"`
}

// Op is the operation of a command.
type Op uint8

const (
	// OpReserve records the order with its digest.
	OpReserve Op = iota + 1
	// OpDispatch asks for the right to send the order once.
	OpDispatch
	// OpReturn returns an unused right to send: the holder sent no byte.
	OpReturn
	// OpDone records the service's answer.
	OpDone
	// OpSeal records that the order did not run. It blocks every later dispatch.
	OpSeal
	// OpUnknown records that the holder cannot tell whether the order ran.
	OpUnknown
	// OpSettle records for an order in state Unknown whether it ran, as an
	// operator learned it from the service.
	OpSettle
)

// Command is one step of an order.
type Command struct {
	Op     Op     `msgpack:"o"`
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d,omitempty"`
	// Holder is the attempt that proposes OpDispatch, OpReturn, OpDone, OpUnknown
	// or OpSeal. It is zero in an OpSeal that an Entry proposes.
	Holder Holder `msgpack:"h,omitempty"`
	// At is the leader's wall clock in milliseconds of Unix time. The journal
	// itself never reads a clock.
	At int64 `msgpack:"t"`
	// Answer is set with OpDone, and with OpSettle if the order ran.
	Answer *Answer `msgpack:"r,omitempty"`
	// Who is the operator who settles the order.
	Who string `msgpack:"w,omitempty"`
}

// Outcome is the outcome of a command.
type Outcome string

const (
	// Applied means that the command took effect, now or when it was first
	// sent.
	Applied Outcome = "applied"
	// Exists means that the order was reserved before, by this or another
	// Entry; Result.Record has its state.
	Exists Outcome = "exists"
	// DigestConflict means that the key was used for another request (422).
	DigestConflict Outcome = "digest-conflict"
	// NotAllowed means that the order's state does not allow the command;
	// Result.Record has the state.
	NotAllowed Outcome = "not-allowed"
	// NoRecord means that there is no such order.
	NoRecord Outcome = "no-record"
	// NoSession means that the holder's session is closed.
	NoSession Outcome = "no-session"
	// Full means that the journal has reached Settings.MaxBytes; nothing was
	// recorded.
	Full Outcome = "full"
	// Malformed means that the command is not valid.
	Malformed Outcome = "malformed"
)

// Result is the result of a command.
type Result struct {
	Outcome Outcome `msgpack:"o"`
	// Record is the order after the command, if there is one.
	Record *Record `msgpack:"r,omitempty"`
}
