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

// Summary is the total load and capacity of one owner, or of all owners on the
// sender's side of a link in the tree.
type Summary struct {
	// Sequence numbers the sender's messages to this neighbour, from 1.
	Sequence uint32
	// Echo is the highest sequence number that the sender received from the
	// receiver, 0 for none. EchoDelay is how long before this message it
	// arrived, in whole milliseconds, rounded down.
	Echo      uint32
	EchoDelay time.Duration
	// Outstanding is the counted load, in tokens.
	Outstanding float64
	// Floor is the part of Outstanding below which the counted load falls no
	// faster than Capacity drains it. The sender guarantees this.
	Floor float64
	// Capacity is in tokens a second.
	Capacity float64
	// Count is the number of upstreams.
	Count uint16
}

// Summary returns the message for one neighbour and commits this router to it:
// from now on the counted load of each owned upstream falls no faster than the
// published floor drains. With relay, as in the tree, it includes the summaries
// of the other neighbours, aged to now.
func (l *Ledger) Summary(now time.Duration, to protocol.RouterID, relay bool) Summary {
	v := l.viewOf(to)
	v.sequence++
	s := Summary{Sequence: v.sequence}
	for _, a := range l.order {
		load := l.contributedLoad(now, a)
		a.publishedFloor = math.Max((1-l.config.CancelShare)*load, l.drainedFloor(now, a))
		a.publishedAt = now
		s.Outstanding += load
		s.Floor += a.publishedFloor
		s.Capacity += a.grant.Capacity
		s.Count++
	}
	if relay {
		l.addOthers(now, to, &s)
	}
	v.echo(now, &s)
	return s
}

// addOthers adds the summaries of all neighbours except the receiver.
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

// echo sets the fields by which the receiver bounds the age of this message,
// and records when the message was sent.
func (v *view) echo(now time.Duration, s *Summary) {
	v.sent[s.Sequence%sentHistory] = sentRecord{sequence: s.Sequence, at: now}
	if v.summary.Sequence == 0 {
		return
	}
	s.Echo = v.summary.Sequence
	s.EchoDelay = (now - v.receivedAt).Truncate(time.Millisecond)
}

// AppendBinary appends the wire form.
func (s Summary) AppendBinary(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, s.Sequence)
	b = binary.BigEndian.AppendUint32(b, s.Echo)
	b = binary.BigEndian.AppendUint16(b, clampUint16(float64(s.EchoDelay.Milliseconds())))
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
		EchoDelay:   time.Duration(binary.BigEndian.Uint16(b[8:])) * time.Millisecond,
		Outstanding: tokenUnit * float64(binary.BigEndian.Uint32(b[10:])),
		Floor:       tokenUnit * float64(binary.BigEndian.Uint32(b[14:])),
		Capacity:    tokenUnit * float64(binary.BigEndian.Uint32(b[18:])),
		Count:       binary.BigEndian.Uint16(b[22:]),
	}, true
}

// clampUint16 limits v to the range of the wire field. An EchoDelay that is too
// long is reduced, which makes a message look older, never newer.
func clampUint16(v float64) uint16 {
	return uint16(math.Min(math.Max(v, 0), math.MaxUint16))
}

// clampUint32 limits v to the range of the wire field.
func clampUint32(v float64) uint32 {
	return uint32(math.Min(math.Max(v, 0), math.MaxUint32))
}
