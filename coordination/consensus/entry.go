package consensus

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// EntryNoop has no data. A leader appends one when it is elected, because
	// older entries are committed only together with an entry of its own term.
	EntryNoop EntryKind = iota
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryConfiguration carries an encoded Configuration, which takes effect
	// as soon as the entry is in the log, committed or not.
	EntryConfiguration
)

// Entry is one entry of the replicated log. Indexes start at 1 and are
// contiguous.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k,omitempty"`
	Data  []byte    `msgpack:"d,omitempty"`
}

// entryOverhead is the estimated encoded size of an entry without its data, in
// bytes.
const entryOverhead = 24

// size returns the estimated encoded size in bytes.
func (e Entry) size() int {
	return entryOverhead + len(e.Data)
}

// HardState is what a member must keep on disk besides its log.
type HardState struct {
	// Term is the highest term that the member knows.
	Term uint64
	// Vote is the member it voted for in Term, or zero.
	Vote Member
	// Epoch counts the recoveries from a lost quorum. Messages from an older
	// epoch are rejected; see acceptEpoch.
	Epoch uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index         uint64        `msgpack:"i"`
	Term          uint64        `msgpack:"t"`
	Configuration Configuration `msgpack:"c"`
	// Data is the encoded state of the state machine.
	Data []byte `msgpack:"d"`
}

// Stored is what a member reads from its disk when it starts.
type Stored struct {
	HardState HardState
	// Snapshot has Index 0 when there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}
