package consensus

// EntryKind says how an entry of the log is to be read.
type EntryKind uint8

const (
	// EntryNoop carries nothing. A leader writes one at its start, because
	// only an entry of its own term proves which older entries are committed.
	EntryNoop EntryKind = iota
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryConfiguration carries an encoded Configuration. It is in use from
	// the moment it is in the log, committed or not.
	EntryConfiguration
)

// Entry is one entry of the replicated log. Indexes start at 1 and have no
// holes.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k,omitempty"`
	Data  []byte    `msgpack:"d,omitempty"`
}

// entryOverhead estimates the encoded size of an entry without its data, in
// bytes.
const entryOverhead = 24

// size returns the estimated encoded size in bytes.
func (e Entry) size() int {
	return entryOverhead + len(e.Data)
}

// HardState is what a member must not forget besides its log.
type HardState struct {
	// Term is the highest term the member has seen.
	Term uint64
	// Vote is the member it voted for in Term, or zero.
	Vote Member
	// Epoch counts the recoveries from a lost quorum. Members of an older
	// epoch have no say; see superseded.
	Epoch uint64
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index         uint64        `msgpack:"i"`
	Term          uint64        `msgpack:"t"`
	Configuration Configuration `msgpack:"c"`
	// Data is the state machine's own encoding.
	Data []byte `msgpack:"d"`
}

// Stored is what a member reads back from its disk when it starts.
type Stored struct {
	HardState HardState
	// Snapshot has Index 0 when there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a hole.
	Entries []Entry
}
