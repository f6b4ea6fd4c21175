package fleet

import "endiveplank/protocol"

// Propose asks the consensus leader to commit a command.
type Propose struct {
	// ID pairs the reply with its request, for one asking process.
	ID      uint64 `msgpack:"i"`
	Command []byte `msgpack:"c"`
	// InForce asks to be answered only when the result is in force on every
	// router that holds a lease.
	InForce bool `msgpack:"f,omitempty"`
}

// Verdict says what became of a proposal.
type Verdict uint8

const (
	// VerdictCommitted: the command is committed and Result is its answer.
	VerdictCommitted Verdict = 1
	// VerdictNotLeader: nothing was done; Leader is a better place to ask, or
	// empty.
	VerdictNotLeader Verdict = 2
	// VerdictUnknown: the command may or may not be committed.
	VerdictUnknown Verdict = 3
	// VerdictBusy: nothing was done; too much waits already.
	VerdictBusy Verdict = 4
)

// ProposeReply answers a Propose.
type ProposeReply struct {
	ID      uint64            `msgpack:"i"`
	Verdict Verdict           `msgpack:"v"`
	Leader  protocol.RouterID `msgpack:"l,omitempty"`
	Result  []byte            `msgpack:"r,omitempty"`
}
