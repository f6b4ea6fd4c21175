package retryschedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// maxPerReport bounds the reservations in one report.
	maxPerReport = 64
	// reportFill is the part of a report's room to plan with. The rest is for the variation of what
	// waits at each report.
	reportFill = 0.75
	// maxQueued bounds the reservations that wait to be sent. The last ones are dropped: reports would
	// tell of them too late.
	maxQueued = 1024
	// relayHops is the number of reports that a reservation passes from a member of one relay to a
	// member of another.
	relayHops = 3
	// transit is the time that one report is under way and waits for the receiver's tick.
	transit = 50 * time.Millisecond
	// Negative values of Reported.DueIn: usedMark is a reservation that was used, and unreservedMark-n
	// a request without a reservation that is expected back in n ms.
	usedMark       = -1
	unreservedMark = -2
)

// KnownAfter returns how long it takes until all routers know a reservation, for the time between
// two reports, with or without relays.
func KnownAfter(reportInterval time.Duration, relays bool) time.Duration {
	if relays {
		return relayHops * (reportInterval + transit)
	}
	return reportInterval + transit
}

// CarriedBy returns how many reservations of a service a router may make a second so that reports
// have room for them. part is the router's part of the arrivals, and services is the number of
// services that are short of capacity. A relay's report has room for the reservations of all
// routers together, another router's only for its own.
func CarriedBy(reportInterval time.Duration, relays bool, part float64, services int) float64 {
	carried := reportFill * maxPerReport / max(reportInterval, time.Millisecond).Seconds() / float64(max(services, 1))
	if relays {
		return carried * clamp(part)
	}
	return carried
}

// Reported is a reservation in a balance.LoadReport, a new one or one that has been used.
type Reported struct {
	Digest uint32 `msgpack:"i"`
	// DueIn is the time in milliseconds from the report until the caller comes back, 0 if that has
	// passed, usedMark if the reservation has been used, and from unreservedMark downwards if
	// nothing is reserved.
	DueIn int `msgpack:"t"`
}

// reservation returns the new reservation that a report tells of; false if its time is impossible.
func (e Reported) reservation(now time.Duration) (Reservation, bool) {
	dueIn, unreserved := e.DueIn, e.DueIn <= unreservedMark
	if unreserved {
		dueIn = unreservedMark - dueIn
	}
	if dueIn < 0 || dueIn > int(horizon/time.Millisecond) || now > math.MaxInt64-2*horizon {
		return Reservation{}, false
	}
	return Reservation{Digest: e.Digest, Due: now + time.Duration(dueIn)*time.Millisecond, Unreserved: unreserved}, true
}

// Neighbours are the routers that this one exchanges load reports with. A balance.Neighbours can
// be converted to it.
type Neighbours struct {
	// Mesh are all other routers, in a small fleet.
	Mesh []protocol.RouterID
	// Relay is the router that relays for this one, "" if there is none.
	Relay protocol.RouterID
	// Members are the routers for which this one relays, and Relays the other relays.
	Members []protocol.RouterID
	Relays  []protocol.RouterID
}

// isRelay reports whether this router passes on what others report.
func (n Neighbours) isRelay() bool { return n.Relay == "" && len(n.Members)+len(n.Relays) > 0 }

// Outgoing are reservations to report to other routers.
type Outgoing struct {
	To       []protocol.RouterID
	Reported []Reported
}

// SetNeighbours replaces the neighbours. Queued reservations of other routers are dropped if this
// router is no relay any more.
func (r *Reservations) SetNeighbours(n Neighbours) {
	r.neighbours = n
	if !n.isRelay() {
		r.near.keepOwn()
		r.far = queue{}
	}
}

// Reports returns what to send with the next load reports, at most one entry for each neighbour.
// The reservations that are due first go first; the rest waits.
func (r *Reservations) Reports(now time.Duration) []Outgoing {
	n := r.neighbours
	near, far := r.near.take(now), r.far.take(now)
	var reports []Outgoing
	add := func(to []protocol.RouterID, reservations []queued) {
		if len(to) > 0 && len(reservations) > 0 {
			reports = append(reports, Outgoing{To: to, Reported: reported(now, reservations)})
		}
	}
	add(n.Mesh, near)
	if n.Relay != "" {
		add([]protocol.RouterID{n.Relay}, near)
	}
	add(n.Relays, far)
	for _, member := range n.Members {
		add([]protocol.RouterID{member}, without(near, member))
	}
	return reports
}

// accepts reports whether to apply a router's reports. In a mesh a router that has just started
// isn't in the list yet.
func (r *Reservations) accepts(from protocol.RouterID) bool {
	n := r.neighbours
	grouped := n.Relay != "" || n.isRelay()
	return !grouped || from == n.Relay || slices.Contains(n.Members, from) || slices.Contains(n.Relays, from)
}

// forward queues a reservation, or the news that it was used, for the routers that don't know it.
// Relays report to each other only what comes from themselves and their members.
func (r *Reservations) forward(news queued) {
	relay := r.neighbours.isRelay()
	if news.from != "" && !relay {
		return
	}
	r.near.add(news)
	if relay && !slices.Contains(r.neighbours.Relays, news.from) {
		r.far.add(news)
	}
}

// queued is a reservation that waits to be reported.
type queued struct {
	Reservation
	// from is the router that reported it, "" for this one.
	from protocol.RouterID
	// used says that the reservation was used.
	used bool
}

// order compares what is sent: new reservations go before used ones, as these matter only to further
// requests of the same content, and before requests for which nothing is reserved; then those due
// first.
func (w queued) order(other queued) int {
	if w.used != other.used {
		if w.used {
			return 1
		}
		return -1
	}
	if w.Unreserved != other.Unreserved {
		if w.Unreserved {
			return 1
		}
		return -1
	}
	return cmp.Compare(w.Due, other.Due)
}

// queue holds reservations that wait to be sent, in the order in which they are sent.
type queue struct{ waiting []queued }

func (q *queue) add(added queued) {
	at, _ := slices.BinarySearchFunc(q.waiting, added, queued.order)
	q.waiting = slices.Insert(q.waiting, at, added)
	q.waiting = q.waiting[:min(len(q.waiting), maxQueued)]
}

// take removes and returns the reservations of the next report, without those that have expired.
func (q *queue) take(now time.Duration) []queued {
	q.waiting = slices.DeleteFunc(q.waiting, func(w queued) bool { return expired(now, w.Due) })
	count := min(len(q.waiting), maxPerReport)
	taken := slices.Clone(q.waiting[:count])
	q.waiting = slices.Delete(q.waiting, 0, count)
	return taken
}

// keepOwn drops the reservations that other routers have reported.
func (q *queue) keepOwn() {
	q.waiting = slices.DeleteFunc(q.waiting, func(w queued) bool { return w.from != "" })
}

// without returns the reservations that a router didn't report itself.
func without(reservations []queued, id protocol.RouterID) []queued {
	return slices.DeleteFunc(slices.Clone(reservations), func(w queued) bool { return w.from == id })
}

// reported returns reservations as a report tells them.
func reported(now time.Duration, reservations []queued) []Reported {
	all := make([]Reported, 0, len(reservations))
	for _, w := range reservations {
		dueIn := int(max(w.Due-now, 0) / time.Millisecond)
		switch {
		case w.used:
			dueIn = usedMark
		case w.Unreserved:
			dueIn = unreservedMark - dueIn
		}
		all = append(all, Reported{Digest: w.Digest, DueIn: dueIn})
	}
	return all
}
