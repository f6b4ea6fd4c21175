package wal

import (
	"encoding/binary"
	"hash/crc32"

	"endiveplank/coordination/consensus"
)

// formatVersion is the version of all files of this package.
const formatVersion = 1

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
	disk   consensus.DiskID
	number uint64
	first  uint64
}

// encode returns the header's bytes.
func (h segmentHeader) encode() []byte {
	b := make([]byte, headerSize)
	binary.LittleEndian.PutUint64(b, segmentMagic)
	binary.LittleEndian.PutUint32(b[headerVersion:], formatVersion)
	binary.LittleEndian.PutUint64(b[headerDisk:], uint64(h.disk))
	binary.LittleEndian.PutUint64(b[headerNumber:], h.number)
	binary.LittleEndian.PutUint64(b[headerFirst:], h.first)
	binary.LittleEndian.PutUint32(b[headerSummed:], crc32.Checksum(b[:headerSummed], castagnoli))
	return b
}

// decodeHeader reads a header; false means that it is damaged or cut.
func decodeHeader(data []byte) (segmentHeader, uint32, bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint64(data) != segmentMagic {
		return segmentHeader{}, 0, false
	}
	if binary.LittleEndian.Uint32(data[headerSummed:]) != crc32.Checksum(data[:headerSummed], castagnoli) {
		return segmentHeader{}, 0, false
	}
	h := segmentHeader{
		disk:   consensus.DiskID(binary.LittleEndian.Uint64(data[headerDisk:])),
		number: binary.LittleEndian.Uint64(data[headerNumber:]),
		first:  binary.LittleEndian.Uint64(data[headerFirst:]),
	}
	return h, binary.LittleEndian.Uint32(data[headerVersion:]), true
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
