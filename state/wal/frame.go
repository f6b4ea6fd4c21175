package wal

import (
	"encoding/binary"
	"hash/crc32"

	"endiveplank/coordination/consensus"
)

// formatVersion is the format version of the identity file and of snapshots.
const formatVersion = 1

// Format versions of segments. In version 2 an end byte follows each frame.
const (
	segmentVersion1 = 1
	segmentVersion2 = 2
)

// endByte follows each frame of a segment. The frame's checksum does not cover
// it.
//
// Failure: power is lost during a write, and the last byte of the write reaches
// the disk with one bit wrong, or as zero where it should be a power of two.
// This looks like bit rot in a finished frame, and Open would refuse an intact
// folder. With an end byte, a write that is torn anywhere in the frame lacks the
// correct end byte, and a write that is torn in the end byte has a complete
// frame. The value has four bits set, so neither zeros nor ones are mistaken for
// it.
const endByte = 0xa5

// Layout of a segment header: magic, version, disk ID, segment number, sequence
// number of the first frame, CRC-32C of these. All values are little endian.
const (
	segmentMagic   = 0x4c415750444e4545
	headerSize     = 8 + 4 + 8 + 8 + 8 + 4
	headerChecksum = headerSize - 4
	headerVersion  = 8
	headerDisk     = 12
	headerNumber   = 20
	headerFirst    = 28
)

// Layout of a frame header: magic, length of the payload, sequence number,
// CRC-32C of length, sequence number and payload.
const (
	frameMagic      = 0x454d5246
	frameLength     = 4
	frameSequence   = 8
	frameChecksum   = 16
	frameHeaderSize = 20
)

// castagnoli is the table of CRC-32C, which x86 and ARM compute in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is the header of a segment or snapshot file.
type segmentHeader struct {
	version    uint32
	disk       consensus.DiskID
	number     uint64
	firstFrame uint64
}

// endByteSize returns the number of bytes after each frame.
func (h segmentHeader) endByteSize() int {
	if h.version == segmentVersion1 {
		return 0
	}
	return 1
}

// isSupported reports whether this program can read segments of the header's
// version.
func (h segmentHeader) isSupported() bool {
	return h.version == segmentVersion1 || h.version == segmentVersion2
}

// encode returns the encoded header.
func (h segmentHeader) encode() []byte {
	b := make([]byte, headerSize)
	binary.LittleEndian.PutUint64(b, segmentMagic)
	binary.LittleEndian.PutUint32(b[headerVersion:], h.version)
	binary.LittleEndian.PutUint64(b[headerDisk:], uint64(h.disk))
	binary.LittleEndian.PutUint64(b[headerNumber:], h.number)
	binary.LittleEndian.PutUint64(b[headerFirst:], h.firstFrame)
	binary.LittleEndian.PutUint32(b[headerChecksum:], crc32.Checksum(b[:headerChecksum], castagnoli))
	return b
}

// decodeHeader decodes a segment header. It returns false if the header is
// damaged or incomplete.
func decodeHeader(data []byte) (segmentHeader, bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint64(data) != segmentMagic {
		return segmentHeader{}, false
	}
	if binary.LittleEndian.Uint32(data[headerChecksum:]) != crc32.Checksum(data[:headerChecksum], castagnoli) {
		return segmentHeader{}, false
	}
	h := segmentHeader{
		version:    binary.LittleEndian.Uint32(data[headerVersion:]),
		disk:       consensus.DiskID(binary.LittleEndian.Uint64(data[headerDisk:])),
		number:     binary.LittleEndian.Uint64(data[headerNumber:]),
		firstFrame: binary.LittleEndian.Uint64(data[headerFirst:]),
	}
	return h, true
}

// encodeFrame returns a frame with the payload.
func encodeFrame(sequence uint64, payload []byte) []byte {
	b := make([]byte, frameHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[frameLength:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[frameSequence:], sequence)
	copy(b[frameHeaderSize:], payload)
	binary.LittleEndian.PutUint32(b[frameChecksum:], computeFrameChecksum(b))
	return b
}

// encodeSegmentFrame returns a frame followed by the end byte, as segments of
// version 2 hold it.
func encodeSegmentFrame(sequence uint64, payload []byte) []byte {
	return append(encodeFrame(sequence, payload), endByte)
}

// computeFrameChecksum returns the checksum of a complete frame.
func computeFrameChecksum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[frameLength:frameChecksum], castagnoli)
	return crc32.Update(sum, castagnoli, frame[frameHeaderSize:])
}

// parseFrame returns the frame at the start of data. It returns false if the
// magic is wrong or data is shorter than the frame. It doesn't verify the
// checksum.
func parseFrame(data []byte) ([]byte, bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(data[frameLength:]))
	if uint64(len(data)-frameHeaderSize) < length {
		return nil, false
	}
	return data[:frameHeaderSize+length], true
}

// hasValidChecksum reports whether the frame's checksum is correct.
func hasValidChecksum(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame[frameChecksum:]) == computeFrameChecksum(frame)
}

// containsValidFrame reports whether a frame with a correct checksum starts
// anywhere in data.
func containsValidFrame(data []byte) bool {
	for i := range data {
		if frame, ok := parseFrame(data[i:]); ok && hasValidChecksum(frame) {
			return true
		}
	}
	return false
}

// hasSingleBitError reports whether flipping one bit makes the checksum correct.
// CRC is linear, so the difference of the two checksums depends only on the
// distance of the wrong bit from the end of the frame. The loop tries each
// distance.
func hasSingleBitError(frame []byte) bool {
	syndrome := binary.LittleEndian.Uint32(frame[frameChecksum:]) ^ computeFrameChecksum(frame)
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
