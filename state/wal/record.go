package wal

import (
	"encoding/binary"
	"fmt"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

// Kinds of records in a frame.
const (
	recordHardState = 1
	recordEntry     = 2
	recordReset     = 3
)

// Lengths of the fixed part of the records, in bytes, without the kind.
const (
	hardStateSize = 8 + 8 + 8 + 2
	entrySize     = 8 + 8 + 1 + 4
	resetSize     = 8 + 8
)

// appendHardState appends a hard state record: the term, the epoch, and the disk
// and router that the vote went to.
func appendHardState(b []byte, s consensus.HardState) []byte {
	b = append(b, recordHardState)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint64(b, s.Epoch)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Vote.Disk))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s.Vote.Router)))
	return append(b, s.Vote.Router...)
}

// appendEntry appends an entry record: index, term, kind, data.
func appendEntry(b []byte, e consensus.Entry) []byte {
	b = append(b, recordEntry)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Data)))
	return append(b, e.Data...)
}

// appendReset appends a reset record. It discards all entries before it: the log
// continues after the entry with that index and term.
func appendReset(b []byte, index, term uint64) []byte {
	b = append(b, recordReset)
	b = binary.LittleEndian.AppendUint64(b, index)
	return binary.LittleEndian.AppendUint64(b, term)
}

// replay rebuilds the log from its records.
type replay struct {
	hardState consensus.HardState
	// base and baseTerm are the index and term of the entry before the first of
	// entries. baseTerm is 0 if no reset record gave it.
	base, baseTerm uint64
	entries        []consensus.Entry
	// started is set once an entry or reset record was read.
	started bool
	// hasReset is set if base comes from a reset record.
	hasReset bool
	// highestIndex is the highest entry index in the segment being read.
	highestIndex uint64
}

// last returns the index of the last entry.
func (r *replay) last() uint64 {
	return r.base + uint64(len(r.entries))
}

// applyFrame applies the records in the payload of one frame. It returns "" or a
// description of the first invalid record.
func (r *replay) applyFrame(b []byte) string {
	for len(b) > 0 {
		rest, problem := r.applyRecord(b[0], b[1:])
		if problem != "" {
			return problem
		}
		b = rest
	}
	return ""
}

// applyRecord applies one record and returns the bytes after it.
func (r *replay) applyRecord(kind byte, b []byte) ([]byte, string) {
	switch kind {
	case recordHardState:
		return r.readHardState(b)
	case recordEntry:
		return r.readEntry(b)
	case recordReset:
		return r.readReset(b)
	}
	return nil, fmt.Sprintf("unknown record kind %d", kind)
}

func (r *replay) readHardState(b []byte) ([]byte, string) {
	if len(b) < hardStateSize {
		return nil, "hard state record is too short"
	}
	length := int(binary.LittleEndian.Uint16(b[24:]))
	if len(b) < hardStateSize+length {
		return nil, "router ID in hard state record is too short"
	}
	r.hardState.Term = binary.LittleEndian.Uint64(b)
	r.hardState.Epoch = binary.LittleEndian.Uint64(b[8:])
	r.hardState.Vote = consensus.Member{
		Disk:   consensus.DiskID(binary.LittleEndian.Uint64(b[16:])),
		Router: protocol.RouterID(b[hardStateSize : hardStateSize+length]),
	}
	return b[hardStateSize+length:], ""
}

func (r *replay) readEntry(b []byte) ([]byte, string) {
	if len(b) < entrySize {
		return nil, "entry record is too short"
	}
	length := uint64(binary.LittleEndian.Uint32(b[17:]))
	if uint64(len(b)-entrySize) < length {
		return nil, "data of entry record is too short"
	}
	e := consensus.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Kind:  consensus.EntryKind(b[16]),
	}
	if length > 0 {
		e.Data = append([]byte(nil), b[entrySize:entrySize+length]...)
	}
	return b[entrySize+length:], r.addEntry(e)
}

// addEntry adds an entry after the last one, or replaces an earlier entry and
// all entries after it. Segments that a snapshot covers have been removed, so the
// first entry read may have any index. Without a reset record the base is therefore
// only a guess, and an entry at or below it starts the log anew.
func (r *replay) addEntry(e consensus.Entry) string {
	first := !r.started || !r.hasReset && e.Index <= r.base
	if first && e.Index > 0 {
		r.started = true
		r.base = e.Index - 1
		r.entries = nil
	}
	if e.Index <= r.base || e.Index > r.last()+1 {
		return fmt.Sprintf("entry %d is out of order, expected one from %d to %d", e.Index, r.base+1, r.last()+1)
	}
	r.entries = append(r.entries[:e.Index-r.base-1], e)
	r.highestIndex = max(r.highestIndex, e.Index)
	return ""
}

func (r *replay) readReset(b []byte) ([]byte, string) {
	if len(b) < resetSize {
		return nil, "reset record is too short"
	}
	r.base = binary.LittleEndian.Uint64(b)
	r.baseTerm = binary.LittleEndian.Uint64(b[8:])
	r.entries = nil
	r.started = true
	r.hasReset = true
	return b[resetSize:], ""
}
