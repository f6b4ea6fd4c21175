package wal

import (
	"encoding/binary"

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

// appendHardState adds a hard state record: term, epoch, disk and router of
// the vote.
func appendHardState(b []byte, s consensus.HardState) []byte {
	b = append(b, recordHardState)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint64(b, s.Epoch)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Vote.Disk))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s.Vote.Router)))
	return append(b, s.Vote.Router...)
}

// appendEntry adds an entry record: index, term, kind, data.
func appendEntry(b []byte, e consensus.Entry) []byte {
	b = append(b, recordEntry)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Data)))
	return append(b, e.Data...)
}

// appendReset adds a reset record: the log starts anew after that entry.
func appendReset(b []byte, index, term uint64) []byte {
	b = append(b, recordReset)
	b = binary.LittleEndian.AppendUint64(b, index)
	return binary.LittleEndian.AppendUint64(b, term)
}

// replay rebuilds the log from records.
type replay struct {
	hardState      consensus.HardState
	base, baseTerm uint64
	entries        []consensus.Entry
	// started says that an entry or reset was read.
	started bool
	// anchored says that base comes from a reset.
	anchored bool
	// highest is the highest index among the entries of the segment at hand.
	highest uint64
}

// last returns the index of the last entry.
func (r *replay) last() uint64 {
	return r.base + uint64(len(r.entries))
}

// payload applies the records of one frame. It returns "" or what is wrong.
func (r *replay) payload(b []byte) string {
	for len(b) > 0 {
		rest, problem := r.record(b[0], b[1:])
		if problem != "" {
			return problem
		}
		b = rest
	}
	return ""
}

// record applies one record and returns what follows it.
func (r *replay) record(kind byte, b []byte) ([]byte, string) {
	switch kind {
	case recordHardState:
		return r.readHardState(b)
	case recordEntry:
		return r.readEntry(b)
	case recordReset:
		return r.readReset(b)
	}
	return nil, "unknown record"
}

func (r *replay) readHardState(b []byte) ([]byte, string) {
	if len(b) < hardStateSize {
		return nil, "short hard state"
	}
	length := int(binary.LittleEndian.Uint16(b[24:]))
	if len(b) < hardStateSize+length {
		return nil, "short router name"
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
		return nil, "short entry"
	}
	length := uint64(binary.LittleEndian.Uint32(b[17:]))
	if uint64(len(b)-entrySize) < length {
		return nil, "short entry data"
	}
	e := consensus.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Kind:  consensus.EntryKind(b[16]),
	}
	if length > 0 {
		e.Data = append([]byte(nil), b[entrySize:entrySize+length]...)
	}
	return b[entrySize+length:], r.add(e)
}

// add puts an entry after the last, or in place of an earlier one and all
// after it. Segments that a snapshot covers are gone, so the first entry read
// may be any; a later one may still replace entries from before it.
func (r *replay) add(e consensus.Entry) string {
	first := !r.started || !r.anchored && e.Index <= r.base
	if first && e.Index > 0 {
		r.started = true
		r.base = e.Index - 1
		r.entries = nil
	}
	if e.Index <= r.base || e.Index > r.last()+1 {
		return "entry out of order"
	}
	r.entries = append(r.entries[:e.Index-r.base-1], e)
	r.highest = max(r.highest, e.Index)
	return ""
}

func (r *replay) readReset(b []byte) ([]byte, string) {
	if len(b) < resetSize {
		return nil, "short reset"
	}
	r.base = binary.LittleEndian.Uint64(b)
	r.baseTerm = binary.LittleEndian.Uint64(b[8:])
	r.entries = nil
	r.started = true
	r.anchored = true
	return b[resetSize:], ""
}
