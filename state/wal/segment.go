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
	// highestIndex is the highest entry index in the segment, 0 if it has no
	// entries.
	highestIndex uint64
}

// segmentName returns the file name of a segment. Names sort by number.
func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, number)
}

// scanResult is the result of reading a segment.
type scanResult struct {
	header segmentHeader
	// validSize is the length of the header and all valid frames, in bytes.
	validSize int64
	// torn is set if an unfinished write follows the valid part.
	torn bool
	// nextFrame is the sequence number of the next frame.
	nextFrame uint64
}

// readSegment replays a segment. An unfinished write at the end of the last
// segment is left out. Any other damage is a CorruptionError.
func readSegment(name string, data []byte, disk consensus.DiskID, last bool, r *replay) (scanResult, error) {
	header, ok := decodeHeader(data)
	if !ok {
		return scanResult{}, CorruptionError{File: name, Reason: "damaged header"}
	}
	if !header.isSupported() {
		return scanResult{}, VersionError{File: name, Version: header.version}
	}
	if header.disk != disk {
		return scanResult{}, CorruptionError{File: name, Offset: headerDisk, Reason: "the segment belongs to disk " + header.disk.String() + ", not to " + disk.String()}
	}
	scan := scanResult{header: header, validSize: headerSize, nextFrame: header.firstFrame}
	for scan.validSize < int64(len(data)) {
		frame, ok := parseFrame(data[scan.validSize:])
		frameEnd := scan.validSize + int64(len(frame)+header.endByteSize())
		if !ok || frameEnd > int64(len(data)) || !hasValidChecksum(frame) {
			return scan.classifyDamage(name, data, last)
		}
		if binary.LittleEndian.Uint64(frame[frameSequence:]) != scan.nextFrame {
			return scan, CorruptionError{File: name, Offset: scan.validSize, Reason: fmt.Sprintf("frame %d is out of sequence, expected frame %d", binary.LittleEndian.Uint64(frame[frameSequence:]), scan.nextFrame)}
		}
		if problem := r.applyFrame(frame[frameHeaderSize:]); problem != "" {
			return scan, CorruptionError{File: name, Offset: scan.validSize, Reason: problem}
		}
		scan.validSize = frameEnd
		scan.nextFrame++
	}
	return scan, nil
}

// classifyDamage decides whether the damaged frame at validSize is an unfinished
// write or corruption of synced data.
//
// Failure: a bit flips in an old, acknowledged record. If Open truncated the log
// there, the voter would forget orders that it has confirmed, and nobody would
// notice until other voters are lost too. A frame is written only after the
// previous one is synced, so a valid frame after the damaged one proves that the
// damaged one was valid once.
func (scan scanResult) classifyDamage(name string, data []byte, last bool) (scanResult, error) {
	rest := data[scan.validSize:]
	reason := ""
	frame, whole := parseFrame(rest)
	switch {
	case !last:
		reason = "damaged frame in a segment that is not the last"
	case containsValidFrame(rest[1:]):
		reason = "damaged frame before a valid one"
	case whole && scan.isWriteFinished(rest[len(frame):]) && hasSingleBitError(frame):
		reason = "a single bit of the frame is wrong"
	}
	if reason != "" {
		return scan, CorruptionError{File: name, Offset: scan.validSize, Reason: reason}
	}
	scan.torn = true
	return scan, nil
}

// isWriteFinished reports whether the bytes after a frame show that its write was
// finished: an end byte follows each frame that was written whole. Segments of
// version 1 have no end bytes, so each of their frames counts as finished.
func (scan scanResult) isWriteFinished(following []byte) bool {
	if scan.header.endByteSize() == 0 {
		return true
	}
	return len(following) > 0 && following[0] == endByte
}
