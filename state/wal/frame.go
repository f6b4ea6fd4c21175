package wal

import (
	"encoding/binary"
	"hash/crc32"

	"endiveplank/coordination/consensus"
)

// formatVersion is the version of identity and snapshots.
const formatVersion = 1

// Versions of segments. In the second an end byte follows each frame.
const (
	bareSegments  = 1
	endedSegments = 2
)

// frameEnd follows each frame of a segment and is not part of its checksum.
//
// Failure: the power goes during a write whose last byte reaches the disk with
// one bit wrong, or as zero where it is a power of two. That looks as if a bit
// of a finished frame had rotted, and a sound folder would be refused. With a
// byte behind it, a write that is cut anywhere in the frame lacks the right end,
// and one that is cut in the end has its frame whole. The value has four bits
// set, so that neither zeros nor ones pass for it.
const frameEnd = 0xa5

// Layout of a segment header: magic, version, disk, number of the segment,
// sequence of its first frame, CRC-32C of these. Little endian.
const (
	segmentMagic  = 0x4c415750444e4545
	headerSize    = 8 + 4 + 8 + 8 + 8 + 4
	headerSummed  = headerSize - 4
	headerVersion = 8
	headerDisk    = 12
	headerNumber  = 20
	headerFirst   = 28
)

// Layout of a frame header: magic, length of the payload, sequence, CRC-32C
// of length, sequence and payload.
const (
	frameMagic    = 0x454d5246
	frameLength   = 4
	frameSequence = 8
	frameChecksum = 16
	frameHeader   = 20
)

// castagnoli is the polynomial of CRC-32C, which x86 and ARM compute in
// hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader starts a segment.
type segmentHeader struct {
	version uint32
	disk    consensus.DiskID
	number  uint64
	first   uint64
}

// endSize is the number of bytes behind each frame.
func (h segmentHeader) endSize() int {
	if h.version == bareSegments {
		return 0
	}
	return 1
}

// known reports whether this program reads such a segment.
func (h segmentHeader) known() bool {
	return h.version == bareSegments || h.version == endedSegments
}

// encode returns the header's bytes.
func (h segmentHeader) encode() []byte {
	b := make([]byte, headerSize)
	binary.LittleEndian.PutUint64(b, segmentMagic)
	binary.LittleEndian.PutUint32(b[headerVersion:], h.version)
	binary.LittleEndian.PutUint64(b[headerDisk:], uint64(h.disk))
	binary.LittleEndian.PutUint64(b[headerNumber:], h.number)
	binary.LittleEndian.PutUint64(b[headerFirst:], h.first)
	binary.LittleEndian.PutUint32(b[headerSummed:], crc32.Checksum(b[:headerSummed], castagnoli))
	return b
}

// decodeHeader reads a header; false means that it is damaged or cut.
func decodeHeader(data []byte) (segmentHeader, bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint64(data) != segmentMagic {
		return segmentHeader{}, false
	}
	if binary.LittleEndian.Uint32(data[headerSummed:]) != crc32.Checksum(data[:headerSummed], castagnoli) {
		return segmentHeader{}, false
	}
	h := segmentHeader{
		version: binary.LittleEndian.Uint32(data[headerVersion:]),
		disk:    consensus.DiskID(binary.LittleEndian.Uint64(data[headerDisk:])),
		number:  binary.LittleEndian.Uint64(data[headerNumber:]),
		first:   binary.LittleEndian.Uint64(data[headerFirst:]),
	}
	return h, true
}

// encodeFrame returns a frame around a payload.
func encodeFrame(sequence uint64, payload []byte) []byte {
	b := make([]byte, frameHeader+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[frameLength:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[frameSequence:], sequence)
	copy(b[frameHeader:], payload)
	binary.LittleEndian.PutUint32(b[frameChecksum:], frameSum(b))
	return b
}

// encodeEndedFrame returns a frame of a segment, with the byte behind it.
func encodeEndedFrame(sequence uint64, payload []byte) []byte {
	return append(encodeFrame(sequence, payload), frameEnd)
}

// frameSum returns the checksum of a whole frame.
func frameSum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[frameLength:frameChecksum], castagnoli)
	return crc32.Update(sum, castagnoli, frame[frameHeader:])
}

// frameAt returns the frame that starts data, if its header and length fit.
func frameAt(data []byte) ([]byte, bool) {
	if len(data) < frameHeader || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(data[frameLength:]))
	if uint64(len(data)-frameHeader) < length {
		return nil, false
	}
	return data[:frameHeader+length], true
}

// frameIsGood checks a frame's checksum.
func frameIsGood(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame[frameChecksum:]) == frameSum(frame)
}

// goodFrameAfter reports whether a good frame starts anywhere in data.
func goodFrameAfter(data []byte) bool {
	for i := range data {
		if frame, ok := frameAt(data[i:]); ok && frameIsGood(frame) {
			return true
		}
	}
	return false
}

// hasSingleBitError reports whether flipping one bit makes the frame good.
// CRC is linear, so the difference of the checksums depends only on how far
// from the end the wrong bit is; the walk tries each distance.
func hasSingleBitError(frame []byte) bool {
	syndrome := binary.LittleEndian.Uint32(frame[frameChecksum:]) ^ frameSum(frame)
	var byBit [8]uint32
	for bit := range byBit {
		byBit[bit] = castagnoli[1<<bit]
		if syndrome == 1<<bit || syndrome == 1<<(bit+8) || syndrome == 1<<(bit+16) || syndrome == 1<<(bit+24) {
			return true
		}
	}
	for range len(frame) - frameLength - 4 {
		for bit := range byBit {
			if byBit[bit] == syndrome {
				return true
			}
			byBit[bit] = byBit[bit]>>8 ^ castagnoli[byte(byBit[bit])]
		}
	}
	return false
}
