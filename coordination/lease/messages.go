package lease

import (
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// Timing holds the durations that routers and leaders agree on. All processes
// of a fleet use the same values.
type Timing struct {
	// Lease is how long a router may act on one granted renewal, counted from
	// when it sent the renewal.
	Lease time.Duration
	// ExpireAfter is how long after the last renewal arrived the leader closes the
	// session. It exceeds Lease by more than the clocks can drift apart in that
	// time.
	ExpireAfter time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// MinPushInterval is the minimum time between two pushes to one router, so
	// that a burst of changes goes out in few messages.
	MinPushInterval time.Duration
	// ResendAfter is how long a push may stay unacknowledged before the reply to
	// a renewal repeats its content, and how long a renewal may stay unanswered
	// before the router sends the next one.
	ResendAfter time.Duration
	// BundleDelay is how long a relay collects renewals into one bundle. Together
	// with the round trip to the leader it stays below ResendAfter.
	BundleDelay time.Duration
	// MaxPause is the longest gap between two calls of the leader's code at which
	// the leader still counts as running. After a longer gap it treats all
	// sessions as renewed.
	MaxPause time.Duration
}

// DefaultTiming returns the timing of a fleet. Within 3 s of the loss of a
// router, its upstreams are reassigned and a change is in force without it:
// after ExpireAfter, BundleDelay, and one or two commits. With a renewal every
// 1.25 s a relay of 55 routers sends about 3 KB a second. A router repeats a
// renewal every 300 ms until it is answered, so three may be lost before a
// healthy router's lease expires. The 0.4 s between Lease and ExpireAfter allow
// for clocks whose speeds differ by one sixth, far more than those of real
// clocks.
func DefaultTiming() Timing {
	return Timing{
		Lease:           2300 * time.Millisecond,
		ExpireAfter:     2700 * time.Millisecond,
		RenewEvery:      1250 * time.Millisecond,
		MinPushInterval: 50 * time.Millisecond,
		ResendAfter:     300 * time.Millisecond,
		BundleDelay:     200 * time.Millisecond,
		MaxPause:        500 * time.Millisecond,
	}
}

// Renewal is what a router sends to the leader to renew its session. Each router
// sends one every 1.25 s, so encode it compactly, with codec.MarshalArrays.
type Renewal struct {
	Session ownership.SessionID `msgpack:"s"`
	// Seq matches a reply to one of the holder's renewals.
	Seq uint32 `msgpack:"q"`
	// Applied is the revision that the router acts on. It acknowledges that
	// revision.
	Applied uint64 `msgpack:"a"`
	// At is the router's position during a catch-up in chunks or after it missed
	// a push, and nil otherwise.
	At *fleetstate.Position `msgpack:"p"`
}

// position returns where the next delta for the router must begin.
func (r Renewal) position() fleetstate.Position {
	if r.At != nil {
		return *r.At
	}
	return fleetstate.Position{Revision: r.Applied}
}

// Outcome is the result of a renewal.
type Outcome uint8

const (
	// Granted means that the lease is renewed.
	Granted Outcome = iota + 1
	// SessionClosed means that the router needs a new session.
	SessionClosed
	// NotLeader means that this process does not hold the leader lease. The
	// router asks another voter.
	NotLeader
)

// Reply answers a renewal. Encode it with codec.MarshalArrays.
type Reply struct {
	Outcome Outcome `msgpack:"v"`
	Seq     uint32  `msgpack:"q"`
	// Delta holds the changes that the router lacks. It is nil if the router
	// lacks none or if a delta that brings them is in flight.
	Delta *fleetstate.Delta `msgpack:"d"`
}

// Push carries a delta to a router that did not ask for it. It does not renew
// the lease. Encode it with codec.MarshalArrays.
type Push struct {
	Session ownership.SessionID `msgpack:"s"`
	Delta   fleetstate.Delta    `msgpack:"d"`
}
