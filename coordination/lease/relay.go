package lease

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// maxUnansweredBundles is how many unanswered bundles a relay remembers. A
// reply to an older one would grant nothing that is still valid.
const maxUnansweredBundles = 8

// BundledRenewal is one router's renewal within a bundle.
type BundledRenewal struct {
	Session ownership.SessionID `msgpack:"s"`
	Applied uint64              `msgpack:"a"`
}

// Bundle carries the renewals that a relay sends to the leader. Encode it with
// codec.MarshalArrays.
type Bundle struct {
	Seq      uint32           `msgpack:"q"`
	Renewals []BundledRenewal `msgpack:"r"`
}

// BundleReply answers a Bundle. If the outcome is Granted, all sessions of the
// bundle are renewed except those in Closed. Encode it with
// codec.MarshalArrays.
type BundleReply struct {
	Outcome Outcome               `msgpack:"v"`
	Seq     uint32                `msgpack:"q"`
	Closed  []ownership.SessionID `msgpack:"c"`
}

// RouterReply is the reply that a relay sends to one of its routers.
type RouterReply struct {
	Session ownership.SessionID
	Reply   Reply
}

// sentBundle is a bundle that awaits its reply, with the renewals that it
// carries.
type sentBundle struct {
	seq      uint32
	renewals []Renewal
}

// Relay runs on a voter or learner between routers and the leader. It bundles
// the routers' renewals and sends them deltas from its own applied state.
//
// It is designed for 330 routers and the seven VMs at most that may be set
// aside for control: the leader and 6 relays. Without relays the leader
// exchanges one packet a second in each direction with each router and pushes
// each change to each router. That costs it about 19 KB a second with 330
// routers and 59 KB with 1,000, far more than the budget of 3 KB a second for a
// VM. With relays the leader exchanges a few bundles a second with each relay
// and sends no deltas to routers.
//
// Correctness does not depend on the relay's clock. A router counts its lease
// from when it sent its renewal; the leader counts from when it received the
// bundle, which is later. A relay that falls behind sends older deltas and
// delays changes from coming into force, but no router acts on wrong data. The
// routers of a relay that fails switch to another voter. A Relay is not safe
// for concurrent use.
type Relay struct {
	timing       Timing
	feed         *feed
	pending      map[ownership.SessionID]Renewal
	pendingSince time.Duration
	unanswered   []sentBundle
	seq          uint32
}

// NewRelay returns a relay that reads a voter's or learner's applied state.
func NewRelay(timing Timing, machine *fleetstate.Machine) *Relay {
	return &Relay{timing: timing, feed: newFeed(timing, machine), pending: map[ownership.SessionID]Renewal{}}
}

// HandleRenewal keeps a router's newest renewal for the next bundle. It drops
// an older renewal that a newer one has overtaken: if it replaced the newer
// one, the acknowledgement that an operator waits for would be lost until the
// router repeats it.
func (r *Relay) HandleRenewal(now time.Duration, renewal Renewal) {
	if kept, ok := r.pending[renewal.Session]; ok && int32(renewal.Seq-kept.Seq) < 0 {
		return
	}
	if len(r.pending) == 0 {
		r.pendingSince = now
	}
	r.pending[renewal.Session] = renewal
}

// Bundle returns the bundle to send now, if one is due.
func (r *Relay) Bundle(now time.Duration) (bundle Bundle, due bool) {
	if len(r.pending) == 0 || now-r.pendingSince < r.timing.BundleDelay {
		return Bundle{}, false
	}
	r.seq++
	sending := sentBundle{seq: r.seq}
	for _, renewal := range r.pending {
		sending.renewals = append(sending.renewals, renewal)
	}
	slices.SortFunc(sending.renewals, func(a, b Renewal) int { return cmp.Compare(a.Session, b.Session) })
	bundle.Seq = r.seq
	for _, renewal := range sending.renewals {
		bundle.Renewals = append(bundle.Renewals, BundledRenewal{renewal.Session, renewal.Applied})
	}
	clear(r.pending)
	r.unanswered = append(r.unanswered, sending)
	if len(r.unanswered) > maxUnansweredBundles {
		r.unanswered = r.unanswered[1:]
	}
	return bundle, true
}

// HandleBundleReply returns the replies to the routers of a bundle. If no
// leader granted the bundle, it returns none; the routers repeat their
// renewals on their own.
func (r *Relay) HandleBundleReply(now time.Duration, reply BundleReply) []RouterReply {
	i := slices.IndexFunc(r.unanswered, func(b sentBundle) bool { return b.seq == reply.Seq })
	if i < 0 {
		return nil
	}
	renewals := r.unanswered[i].renewals
	r.unanswered = slices.Delete(r.unanswered, i, i+1)
	if reply.Outcome != Granted {
		return nil
	}
	replies := make([]RouterReply, 0, len(renewals))
	for _, renewal := range renewals {
		replies = append(replies, r.routerReply(now, renewal, slices.Contains(reply.Closed, renewal.Session)))
	}
	return replies
}

func (r *Relay) routerReply(now time.Duration, renewal Renewal, closed bool) RouterReply {
	reply := Reply{Outcome: SessionClosed, Seq: renewal.Seq}
	if !closed {
		reply.Outcome = Granted
		reply.Delta = r.feed.catchUp(now, renewal)
	}
	return RouterReply{Session: renewal.Session, Reply: reply}
}

// Pushes returns the deltas to send now to the relay's routers.
func (r *Relay) Pushes(now time.Duration) []Push { return r.feed.pushes(now) }

// HandleBundle answers a relay's bundle. leading has the same meaning as in
// Leader.HandleRenewal.
func (l *Leader) HandleBundle(now time.Duration, leading bool, bundle Bundle) BundleReply {
	if !leading {
		return BundleReply{Outcome: NotLeader, Seq: bundle.Seq}
	}
	l.checkPause(now)
	reply := BundleReply{Outcome: Granted, Seq: bundle.Seq}
	for _, renewal := range bundle.Renewals {
		if !l.tracker.Renew(now, renewal.Session, renewal.Applied) {
			reply.Closed = append(reply.Closed, renewal.Session)
		}
	}
	return reply
}
