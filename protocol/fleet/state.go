package fleet

import "endiveplank/protocol"

// Propose asks the consensus leader to commit a command.
type Propose struct {
	// ID matches the reply to its request. It is unique within the process that
	// proposes.
	ID      uint64 `msgpack:"i"`
	Command []byte `msgpack:"c"`
	// InForce requests a reply only after the result is in force on every router
	// that holds a lease.
	InForce bool `msgpack:"f,omitempty"`
}

// Verdict is the result of a proposal.
type Verdict uint8

const (
	// VerdictCommitted means that the command is committed; Result is its result.
	VerdictCommitted Verdict = 1
	// VerdictNotLeader means that nothing was done. Leader is the router to ask
	// instead, or empty.
	VerdictNotLeader Verdict = 2
	// VerdictUnknown means that the command may or may not be committed.
	VerdictUnknown Verdict = 3
	// VerdictBusy means that nothing was done because too many commands wait
	// already.
	VerdictBusy Verdict = 4
)

// ProposeReply answers a Propose.
type ProposeReply struct {
	ID      uint64            `msgpack:"i"`
	Verdict Verdict           `msgpack:"v"`
	Leader  protocol.RouterID `msgpack:"l,omitempty"`
	Result  []byte            `msgpack:"r,omitempty"`
}
