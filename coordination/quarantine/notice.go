package quarantine

import (
	"encoding/binary"
	"time"
)

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

const (
	// CrashNotice lists the requests that were in flight on a crashed upstream.
	CrashNotice NoticeKind = iota + 1
	// QuarantineNotice quarantines a digest.
	QuarantineNotice
	// LiftNotice ends a quarantine at an operator's request.
	LiftNotice
)

// Notice is the message by which routers share crashes and quarantines. Encoded
// with msgpack as an array (without field names) it takes about 12 bytes and
// five more for each suspect (CrashNotice), or about 20 bytes
// (QuarantineNotice, LiftNotice).
type Notice struct {
	Kind NoticeKind `msgpack:"k"`
	// Crash identifies the crash that the notice reports, or that led to the
	// quarantine.
	Crash uint32 `msgpack:"c"`
	// Digest is set for QuarantineNotice and LiftNotice.
	Digest Digest `msgpack:"d"`
	// Strikes is how many times this digest has been quarantined.
	Strikes uint8 `msgpack:"s"`
	// Seconds is how long the quarantine still lasts.
	Seconds uint32 `msgpack:"t"`
	// Suspects holds five bytes for each suspect: four of its digest, big
	// endian, and one for how long it had run, in units of ageUnit.
	Suspects []byte `msgpack:"x"`
}

const (
	digestBytes  = 4
	suspectBytes = digestBytes + 1
	ageUnit      = time.Second / 16
	maxAgeUnits  = 255
)

// inFlight is one request that was in flight at a crash.
type inFlight struct {
	digest short
	age    time.Duration
}

func encodeSuspects(requests []inFlight) []byte {
	out := make([]byte, 0, len(requests)*suspectBytes)
	for _, r := range requests {
		units := (r.age + ageUnit - 1) / ageUnit
		out = binary.BigEndian.AppendUint32(out, uint32(r.digest))
		out = append(out, byte(min(units, maxAgeUnits)))
	}
	return out
}

// decodeSuspects ignores an incomplete record at the end: a malformed notice
// from a faulty peer must not stop this router.
func decodeSuspects(data []byte) []inFlight {
	out := make([]inFlight, 0, len(data)/suspectBytes)
	for ; len(data) >= suspectBytes; data = data[suspectBytes:] {
		out = append(out, inFlight{
			digest: short(binary.BigEndian.Uint32(data)),
			age:    time.Duration(data[digestBytes]) * ageUnit,
		})
	}
	return out
}

func wholeSeconds(d time.Duration) uint32 {
	return uint32((d + time.Second - 1) / time.Second)
}
