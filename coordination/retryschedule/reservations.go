package retryschedule

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// maxReservations bounds the refused requests that a router keeps, with or without a reservation.
	maxReservations = 4096
	// keepFor is how long a reservation is kept after it is due.
	keepFor = 2 * time.Second
	// early is by how much a caller may come back before its reservation is due.
	early = 100 * time.Millisecond
	// underWay bounds how much later a reservation is due at a router that received it in a report
	// than at the one that made it: reports state remaining times, without their own transit time.
	underWay = relayHops * transit
	// sweepInterval is the time between two searches for expired reservations.
	sweepInterval = 500 * time.Millisecond
)

// Match says whether a request is expected.
type Match uint8

const (
	// None means that the request has no reservation.
	None Match = iota
	// Due means that the request has a reservation and is admitted.
	Due
	// Early means that the request has a reservation and has come too early.
	Early
	// Returning means that the request was refused before and nothing is reserved for it.
	Returning
)

// Reservations holds the reservations of all routers. It is not safe for concurrent use.
type Reservations struct {
	// expected holds what is known of each digest, in the order in which it is due. Two callers may
	// send the same content.
	expected map[uint32][]expectation
	count    int
	// sweptAt is when expired reservations were last removed.
	sweptAt    time.Duration
	neighbours Neighbours
	// near waits to be sent to the mesh, to this router's relay or, if it is a relay, to its
	// members; far waits to be sent to the other relays.
	near, far queue
}

// expectation is a refused request that may come back.
type expectation struct {
	due time.Duration
	// reserved says that it is admitted then; otherwise its caller was told the longest time that it
	// honours.
	reserved bool
}

// NewReservations returns an empty set.
func NewReservations() *Reservations {
	return &Reservations{expected: map[uint32][]expectation{}}
}

// Add adds a reservation that this router has offered, and queues it for the next report. False
// means that there is no room, so the request must be told that nothing is reserved.
func (r *Reservations) Add(now time.Duration, reservation Reservation) bool {
	if !r.keep(now, reservation) {
		return false
	}
	r.forward(queued{Reservation: reservation})
	return true
}

// Apply adds another router's new reservations and removes those that it reports as used. A relay
// passes both on.
func (r *Reservations) Apply(now time.Duration, from protocol.RouterID, reported []Reported) {
	if !r.accepts(from) {
		return
	}
	for _, entry := range reported[:min(len(reported), maxPerReport)] {
		if entry.DueIn == usedMark {
			r.use(now+underWay, entry.Digest, from)
			continue
		}
		reservation, ok := entry.reservation(now)
		if ok && r.keep(now, reservation) {
			r.forward(queued{Reservation: reservation, from: from})
		}
	}
}

// Match returns whether a request is expected now and, if it is early, how long it must still
// wait. An early request is refused with that time while a rate limit is in force, without a new
// offer; otherwise it is served as any other.
func (r *Reservations) Match(now time.Duration, digest uint64) (Match, time.Duration) {
	for _, e := range r.expected[shortDigest(digest)] {
		switch {
		case expired(now, e.due):
		case !e.reserved:
			return Returning, 0
		case isDue(now, e.due):
			return Due, 0
		default:
			return Early, e.due - now
		}
	}
	return None, 0
}

// Consume removes the reservation of a request that is Due, or the record of one that is Returning,
// and queues the removal for the next report. Until the other routers have it, each may admit one
// more request of the same content.
func (r *Reservations) Consume(now time.Duration, digest uint64) { r.use(now, shortDigest(digest), "") }

// use removes the first reservation of a digest that is due. from is the router that reported its
// use, "" for this one.
func (r *Reservations) use(now time.Duration, digest uint32, from protocol.RouterID) {
	for i, e := range r.expected[digest] {
		if !expired(now, e.due) && (!e.reserved || isDue(now, e.due)) {
			r.set(digest, slices.Delete(r.expected[digest], i, i+1))
			r.forward(queued{Reservation: Reservation{Digest: digest, Due: e.due}, from: from, used: true})
			return
		}
	}
}

// Expire removes the reservations that haven't been used in time. It is called on each tick.
func (r *Reservations) Expire(now time.Duration) {
	if now-r.sweptAt >= sweepInterval {
		r.sweep(now)
	}
}

// Len returns the number of refused requests that are expected back, with or without a reservation.
func (r *Reservations) Len() int { return r.count }

// sweep removes all reservations that have expired.
func (r *Reservations) sweep(now time.Duration) {
	r.sweptAt = now
	for digest, all := range r.expected {
		r.set(digest, slices.DeleteFunc(all, func(e expectation) bool { return expired(now, e.due) }))
	}
}

// keep adds a reservation if there is room.
func (r *Reservations) keep(now time.Duration, reservation Reservation) bool {
	if r.count >= maxReservations {
		r.Expire(now)
	}
	if r.count >= maxReservations || expired(now, reservation.Due) {
		return false
	}
	all := r.expected[reservation.Digest]
	at, _ := slices.BinarySearchFunc(all, reservation.Due, func(e expectation, due time.Duration) int { return cmp.Compare(e.due, due) })
	r.expected[reservation.Digest] = slices.Insert(all, at, expectation{reservation.Due, !reservation.Unreserved})
	r.count++
	return true
}

// set replaces what is known of a digest by a part of it, changed in place.
func (r *Reservations) set(digest uint32, left []expectation) {
	r.count -= len(r.expected[digest]) - len(left)
	if len(left) == 0 {
		delete(r.expected, digest)
		return
	}
	r.expected[digest] = left
}

func isDue(now, due time.Duration) bool { return due-now <= early }

func expired(now, due time.Duration) bool { return now-due > keepFor }
