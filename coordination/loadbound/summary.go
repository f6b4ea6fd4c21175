package loadbound

import (
	"encoding/binary"
	"math"
	"time"

	"endiveplank/protocol"
)

// SummaryBytes is the size of a Summary on the wire.
const SummaryBytes = 24

// tokenUnit is the resolution of loads on the wire, in tokens. Loads are
// rounded down and capacities up, so that rounding never raises the mean.
const tokenUnit = 16

// Summary is the total of one side of the exchange: of one owner, or of all
// owners behind a neighbour of the tree.
type Summary struct {
	// Sequence numbers the sender's messages to this neighbour, from 1.
	Sequence uint32
	// Echo is the highest sequence number the sender had from the receiver,
	// 0 for none, and Held how long ago it arrived, in whole milliseconds,
	// rounded down.
	Echo uint32
	Held time.Duration
	// Outstanding is the counted load, in tokens.
	Outstanding float64
	// Floor is the part of Outstanding that the sender promises not to fall
	// below faster than by draining Capacity.
	Floor float64
	// Capacity is in tokens a second.
	Capacity float64
	// Count is the number of upstreams.
	Count uint16
}

// Summary returns the message for one neighbour and commits this router to
// it: from now on the counted load of each owned upstream falls no faster
// than the published floor drains. With relay, as on the tree, it includes
// what the other neighbours said, aged to now.
func (l *Ledger) Summary(now time.Duration, to protocol.RouterID, relay bool) Summary {
	v := l.viewOf(to)
	v.sequence++
	s := Summary{Sequence: v.sequence}
	for _, a := range l.order {
		load := l.contributed(now, a)
		a.promise = math.Max((1-l.config.CancelShare)*load, l.promised(now, a))
		a.promisedAt = now
		s.Outstanding += load
		s.Floor += a.promise
		s.Capacity += a.grant.Capacity
		s.Count++
	}
	if relay {
		l.addOthers(now, to, &s)
	}
	v.echo(now, &s)
	return s
}

// addOthers adds the views of every neighbour but the receiver.
func (l *Ledger) addOthers(now time.Duration, to protocol.RouterID, s *Summary) {
	for _, v := range l.viewOrder {
		if v.from == to {
			continue
		}
		s.Outstanding += v.summary.Outstanding
		s.Floor += l.viewFloor(now, v)
		s.Capacity += v.summary.Capacity
		s.Count += v.summary.Count
	}
}

// echo fills in what dates this message and remembers when it was sent.
func (v *view) echo(now time.Duration, s *Summary) {
	v.sent[s.Sequence%sentMemory] = sentMark{sequence: s.Sequence, at: now}
	if v.summary.Sequence == 0 {
		return
	}
	s.Echo = v.summary.Sequence
	s.Held = (now - v.receivedAt).Truncate(time.Millisecond)
}

// AppendBinary appends the wire form.
func (s Summary) AppendBinary(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, s.Sequence)
	b = binary.BigEndian.AppendUint32(b, s.Echo)
	b = binary.BigEndian.AppendUint16(b, clampUint16(float64(s.Held.Milliseconds())))
	b = binary.BigEndian.AppendUint32(b, clampUint32(math.Floor(s.Outstanding/tokenUnit)))
	b = binary.BigEndian.AppendUint32(b, clampUint32(math.Floor(s.Floor/tokenUnit)))
	b = binary.BigEndian.AppendUint32(b, clampUint32(math.Ceil(s.Capacity/tokenUnit)))
	return binary.BigEndian.AppendUint16(b, s.Count)
}

// DecodeSummary reads the wire form; it reports false unless b has exactly
// SummaryBytes.
func DecodeSummary(b []byte) (Summary, bool) {
	if len(b) != SummaryBytes {
		return Summary{}, false
	}
	return Summary{
		Sequence:    binary.BigEndian.Uint32(b),
		Echo:        binary.BigEndian.Uint32(b[4:]),
		Held:        time.Duration(binary.BigEndian.Uint16(b[8:])) * time.Millisecond,
		Outstanding: tokenUnit * float64(binary.BigEndian.Uint32(b[10:])),
		Floor:       tokenUnit * float64(binary.BigEndian.Uint32(b[14:])),
		Capacity:    tokenUnit * float64(binary.BigEndian.Uint32(b[18:])),
		Count:       binary.BigEndian.Uint16(b[22:]),
	}, true
}

// clampUint16 limits v to what the wire field holds. Held that is too long is
// cut, which makes a message look older, never fresher.
func clampUint16(v float64) uint16 {
	return uint16(math.Min(math.Max(v, 0), math.MaxUint16))
}

// clampUint32 limits v to what the wire field holds.
func clampUint32(v float64) uint32 {
	return uint32(math.Min(math.Max(v, 0), math.MaxUint32))
}
