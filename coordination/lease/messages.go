package lease

import (
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// Timing holds the lengths that routers and leaders agree on. All processes
// of a fleet use the same.
type Timing struct {
	// Lease is how long a router acts on one answered renewal, counted from
	// when it sent the renewal.
	Lease time.Duration
	// Wait is how long the leader waits after it received a renewal before it
	// closes the session. It exceeds Lease by more than the clocks' drift over
	// that time.
	Wait time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// PushGap is the least time between two pushes to one router, so that a
	// burst of changes goes out in few messages.
	PushGap time.Duration
	// Resend is how long a push may stay without acknowledgement before the
	// reply to a renewal repeats its content, and how long a renewal may stay
	// without answer before the next goes out.
	Resend time.Duration
	// Gather is how long a relay collects renewals into one bundle. With the
	// way to the leader and back it stays below Resend.
	Gather time.Duration
	// Pause is the longest time between two calls of the leader's code that
	// counts as running; after a longer one it takes all sessions as renewed.
	Pause time.Duration
}

// DefaultTiming gives a lost owner's upstreams to others, and puts a change
// into force without a lost router, within 3 s: Wait, Gather, and a commit or
// two. With a renewal each 1.25 s a relay of 55 routers sends about 3 KB a
// second; it is repeated each 300 ms until answered, so three may be lost
// before a healthy router stops. The 0.4 s between Lease and Wait allow for
// clocks that run one sixth apart in speed, far more than real ones do.
func DefaultTiming() Timing {
	return Timing{
		Lease:   2300 * time.Millisecond,
		Wait:    2700 * time.Millisecond,
		Renew:   1250 * time.Millisecond,
		PushGap: 50 * time.Millisecond,
		Resend:  300 * time.Millisecond,
		Gather:  200 * time.Millisecond,
		Pause:   500 * time.Millisecond,
	}
}

// Renewal is what a router sends to the leader. It goes out each 1.25 s from
// each router: encode it with codec.MarshalArrays.
type Renewal struct {
	Session ownership.SessionID `msgpack:"s"`
	// Seq tells the answers of one holder's renewals apart.
	Seq uint32 `msgpack:"q"`
	// Applied is the revision that the router acts on: its acknowledgement.
	Applied uint64 `msgpack:"a"`
	// At is the router's position while a catch-up in chunks runs or after it
	// missed a push, nil otherwise.
	At *fleetstate.Position `msgpack:"p"`
}

// position returns where the next delta for the router has to begin.
func (r Renewal) position() fleetstate.Position {
	if r.At != nil {
		return *r.At
	}
	return fleetstate.Position{Revision: r.Applied}
}

// Verdict says what became of a renewal.
type Verdict uint8

const (
	// Granted means that the lease is renewed.
	Granted Verdict = iota + 1
	// SessionClosed means that the router needs a new session.
	SessionClosed
	// NotLeader means that this process does not hold the leader lease; the
	// router asks another voter.
	NotLeader
)

// Reply answers a renewal: encode it with codec.MarshalArrays.
type Reply struct {
	Verdict Verdict `msgpack:"v"`
	Seq     uint32  `msgpack:"q"`
	// Delta is what the router lacks, nil if nothing or if it is on its way.
	Delta *fleetstate.Delta `msgpack:"d"`
}

// Push carries a delta to a router that did not ask. It grants nothing. Encode
// it with codec.MarshalArrays.
type Push struct {
	Session ownership.SessionID `msgpack:"s"`
	Delta   fleetstate.Delta    `msgpack:"d"`
}
