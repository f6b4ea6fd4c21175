package wal

import (
	"encoding/binary"
	"fmt"

	"endiveplank/coordination/consensus"
)

// segment is one file of the log.
type segment struct {
	name    string
	version uint32
	number  uint64
	// highest is the highest entry index in it, 0 if none.
	highest uint64
}

// segmentName returns the file name of a segment; names sort by number.
func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, number)
}

// segmentEnd says how the reading of a segment ended.
type segmentEnd struct {
	header segmentHeader
	// size is the length of the good part in bytes.
	size int64
	// torn says that an unfinished write follows it.
	torn bool
	// next is the sequence of the next frame.
	next uint64
}

// readSegment replays a segment. In the last one an unfinished write at the
// end is left out; anywhere else damage is a CorruptionError.
func readSegment(name string, data []byte, disk consensus.DiskID, last bool, r *replay) (segmentEnd, error) {
	header, ok := decodeHeader(data)
	if !ok {
		return segmentEnd{}, CorruptionError{File: name, Reason: "damaged header"}
	}
	if !header.known() {
		return segmentEnd{}, VersionError{File: name, Version: header.version}
	}
	if header.disk != disk {
		return segmentEnd{}, CorruptionError{File: name, Offset: headerDisk, Reason: "written for disk " + header.disk.String()}
	}
	end := segmentEnd{header: header, size: headerSize, next: header.first}
	for end.size < int64(len(data)) {
		frame, ok := frameAt(data[end.size:])
		past := end.size + int64(len(frame)+header.endSize())
		if !ok || past > int64(len(data)) || !frameIsGood(frame) {
			return end.damaged(name, data, last)
		}
		if binary.LittleEndian.Uint64(frame[frameSequence:]) != end.next {
			return end, CorruptionError{File: name, Offset: end.size, Reason: "frame out of sequence"}
		}
		if problem := r.payload(frame[frameHeader:]); problem != "" {
			return end, CorruptionError{File: name, Offset: end.size, Reason: problem}
		}
		end.size = past
		end.next++
	}
	return end, nil
}

// damaged decides whether a bad frame is an unfinished write.
//
// Failure: a bit of an old, acknowledged record rots, the log is cut there
// and the voter forgets orders it has confirmed. It shows only when other
// voters are lost too. The guard holds because a frame is written only after
// the one before is synced: a good frame behind the bad one proves that the
// bad one was good once.
func (end segmentEnd) damaged(name string, data []byte, last bool) (segmentEnd, error) {
	rest := data[end.size:]
	reason := ""
	frame, whole := frameAt(rest)
	switch {
	case !last:
		reason = "bad frame before the last segment"
	case goodFrameAfter(rest[1:]):
		reason = "bad frame before a good one"
	case whole && end.finished(rest[len(frame):]) && hasSingleBitError(frame):
		reason = "a single bit of the frame is wrong"
	}
	if reason != "" {
		return end, CorruptionError{File: name, Offset: end.size, Reason: reason}
	}
	end.torn = true
	return end, nil
}

// finished reports whether what follows a frame shows that its write came to
// its end. Segments without end bytes can't show it.
func (end segmentEnd) finished(behind []byte) bool {
	if end.header.endSize() == 0 {
		return true
	}
	return len(behind) > 0 && behind[0] == frameEnd
}
