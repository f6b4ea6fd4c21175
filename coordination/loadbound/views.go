package loadbound

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// view is what one neighbour last said.
type view struct {
	from    protocol.RouterID
	summary Summary
	// madeAfter is the latest time, on this router's clock, that the summary
	// is known not to be older than.
	madeAfter  time.Duration
	receivedAt time.Duration
	// sequence numbers this router's messages to the neighbour.
	sequence uint32
	// sent holds the times of this router's own last messages to it, by
	// sequence number modulo its length.
	sent [sentMemory]sentMark
}

// sentMemory is how many own messages a neighbour may have missed before its
// echo cannot be dated: four seconds at ExchangePeriod.
const sentMemory = 16

// sentMark remembers when a message was sent.
type sentMark struct {
	sequence uint32
	at       time.Duration
}

// fleetView is the whole fleet as this router counts it.
type fleetView struct {
	// floor is never above the true load, reported is the load as last
	// reported; both in tokens.
	floor    float64
	reported float64
	// capacity is that of the whole fleet, known that behind reported.
	capacity float64
	known    float64
	count    int
}

// Fleet returns the fleet's load floor and capacity as this router counts
// them, for status pages and placement.
func (l *Ledger) Fleet(now time.Duration) (floor, reported, capacity float64) {
	f := l.fleet(now)
	return f.floor, f.reported, f.capacity
}

// fleet sums the exact own part and the floors of all views.
func (l *Ledger) fleet(now time.Duration) fleetView {
	var f fleetView
	for _, a := range l.order {
		load := l.contributed(now, a)
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
	f.known = f.capacity
	f.capacity = math.Max(f.capacity, l.capacityFloor)
	return f
}

// viewFloor is the least load that can be left of what a neighbour reported.
func (l *Ledger) viewFloor(now time.Duration, v *view) float64 {
	age := (now - v.madeAfter).Seconds()
	left := v.summary.Floor - l.config.DrainFactor*v.summary.Capacity*age
	return math.Max(0, left)
}

// Receive takes a neighbour's summary. A summary that is not newer than the
// last one is ignored. One whose echo cannot be dated counts for
// nothing for sure. A neighbour that restarted, or that forgot this router for
// a while, numbers from 1 again; its message counts as newer once its echo
// proves that it was made after the last one arrived.
//
// Failure guarded: a message that sat in a stalled connection for seconds
// looks fresh on arrival, and its old total overstates the mean. The echo
// dates it by this router's own clock, so a stalled message counts as old.
func (l *Ledger) Receive(now time.Duration, from protocol.RouterID, summary Summary) {
	v := l.viewOf(from)
	madeAfter, dated := v.date(summary)
	newer := v.summary.Sequence == 0 || int32(summary.Sequence-v.summary.Sequence) > 0
	provenNewer := dated && madeAfter >= v.receivedAt
	if !newer && !provenNewer {
		return
	}
	v.receivedAt = now
	v.summary = summary
	if dated {
		v.madeAfter = madeAfter
		return
	}
	// Undated: it may be of any age, so nothing of it is counted for sure.
	v.summary.Floor = 0
	v.madeAfter = now
}

// viewOf returns the view of a neighbour, a new one at first contact.
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

// date returns the time after which a summary was certainly made.
func (v *view) date(summary Summary) (time.Duration, bool) {
	mark := v.sent[summary.Echo%sentMemory]
	if summary.Echo == 0 || mark.sequence != summary.Echo {
		return 0, false
	}
	return mark.at + summary.Held, true
}

// Keep drops every neighbour that is not among the peers, as after a change
// of the exchange tree.
func (l *Ledger) Keep(peers []protocol.RouterID) {
	for i := len(l.viewOrder) - 1; i >= 0; i-- {
		if from := l.viewOrder[i].from; !slices.Contains(peers, from) {
			l.Forget(from)
		}
	}
}

// Forget drops a neighbour that membership removed: its upstreams pass to
// other owners, who report them from then on.
func (l *Ledger) Forget(from protocol.RouterID) {
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
