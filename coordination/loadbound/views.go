package loadbound

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// view is what this router knows of one neighbour: its last summary and when it
// was made.
type view struct {
	from    protocol.RouterID
	summary Summary
	// notBefore is a time on this router's clock before which the summary was
	// certainly not made; the summary's age is counted from it.
	notBefore  time.Duration
	receivedAt time.Duration
	// sequence numbers this router's messages to the neighbour.
	sequence uint32
	// sent holds when this router sent its latest messages to the neighbour,
	// indexed by sequence number modulo sentHistory.
	sent [sentHistory]sentRecord
}

// sentHistory is how many sent messages this router remembers for each neighbour.
// A neighbour echoes the highest sequence number that it received. If it has missed
// that many messages since, the router no longer knows when it sent the echoed one,
// and can't bound the age of the neighbour's summary. 16 messages are four seconds
// at ExchangePeriod.
const sentHistory = 16

// sentRecord records when a message was sent.
type sentRecord struct {
	sequence uint32
	at       time.Duration
}

// fleetView holds the totals of the whole fleet as this router counts them.
type fleetView struct {
	// floor is never above the true load, and reported is the load as last
	// reported; both in tokens.
	floor    float64
	reported float64
	// capacity is that of the whole fleet, reportedCapacity that of the
	// upstreams whose load is in reported.
	capacity         float64
	reportedCapacity float64
	count            int
}

// Fleet returns the floor of the fleet's load, its load as last reported and
// its capacity, as this router counts them, for status pages and placement.
func (l *Ledger) Fleet(now time.Duration) (floor, reported, capacity float64) {
	f := l.fleet(now)
	return f.floor, f.reported, f.capacity
}

// fleet adds up this router's own upstreams, which it counts exactly, and its
// views of all neighbours.
func (l *Ledger) fleet(now time.Duration) fleetView {
	var f fleetView
	for _, a := range l.order {
		load := l.contributedLoad(now, a)
		f.floor += load
		f.reported += load
		f.capacity += a.grant.Capacity
		f.count++
	}
	for _, v := range l.viewOrder {
		f.floor += l.viewFloor(now, v)
		f.reported += v.summary.Outstanding
		f.capacity += v.summary.Capacity
		f.count += int(v.summary.Count)
	}
	f.reportedCapacity = f.capacity
	f.capacity = math.Max(f.capacity, l.capacityFloor)
	return f
}

// viewFloor is the least load that can be left of what a neighbour reported.
func (l *Ledger) viewFloor(now time.Duration, v *view) float64 {
	age := (now - v.notBefore).Seconds()
	left := v.summary.Floor - l.config.DrainFactor*v.summary.Capacity*age
	return math.Max(0, left)
}

// Receive takes a neighbour's summary. It ignores a summary that is not newer
// than the last one. If the echo of a summary can't be dated, its floor counts
// as zero. A neighbour that restarted, or that removed this router for a while,
// numbers from 1 again; its message counts as newer once its echo proves that
// it was made after the last one arrived.
//
// Failure guarded against: a message that waited in a stalled connection for
// seconds looks new on arrival, and its old total overstates the mean. The echo
// dates it by this router's own clock, so a stalled message counts as old.
func (l *Ledger) Receive(now time.Duration, from protocol.RouterID, summary Summary) {
	v := l.viewOf(from)
	madeAfter, dated := v.createdNotBefore(summary)
	newer := v.summary.Sequence == 0 || int32(summary.Sequence-v.summary.Sequence) > 0
	provenNewer := dated && madeAfter >= v.receivedAt
	if !newer && !provenNewer {
		return
	}
	v.receivedAt = now
	v.summary = summary
	if dated {
		v.notBefore = madeAfter
		return
	}
	// The summary may be of any age, so none of its load is certain.
	v.summary.Floor = 0
	v.notBefore = now
}

// viewOf returns the view of a neighbour, which it creates at first contact.
func (l *Ledger) viewOf(neighbour protocol.RouterID) *view {
	v, ok := l.views[neighbour]
	if ok {
		return v
	}
	v = &view{from: neighbour}
	l.views[neighbour] = v
	l.viewOrder = append(l.viewOrder, v)
	return v
}

// createdNotBefore returns a time before which the summary was certainly not
// made. It returns false if the echo doesn't match a recent message to the
// neighbour.
func (v *view) createdNotBefore(summary Summary) (time.Duration, bool) {
	record := v.sent[summary.Echo%sentHistory]
	if summary.Echo == 0 || record.sequence != summary.Echo {
		return 0, false
	}
	return record.at + summary.EchoDelay, true
}

// RetainNeighbours removes every neighbour that is not among the peers, for
// example after a change of the exchange tree.
func (l *Ledger) RetainNeighbours(peers []protocol.RouterID) {
	for i := len(l.viewOrder) - 1; i >= 0; i-- {
		if from := l.viewOrder[i].from; !slices.Contains(peers, from) {
			l.RemoveNeighbour(from)
		}
	}
}

// RemoveNeighbour removes a neighbour that left the membership: its upstreams
// pass to other owners, who report them from then on.
func (l *Ledger) RemoveNeighbour(from protocol.RouterID) {
	v, ok := l.views[from]
	if !ok {
		return
	}
	delete(l.views, from)
	for i, other := range l.viewOrder {
		if other == v {
			l.viewOrder = append(l.viewOrder[:i], l.viewOrder[i+1:]...)
			return
		}
	}
}
