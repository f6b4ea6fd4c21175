package lease

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// keptBundles is how many unanswered bundles a relay remembers; older ones
// would grant nothing that is still valid.
const keptBundles = 8

// Acked is one router's renewal within a bundle.
type Acked struct {
	Session ownership.SessionID `msgpack:"s"`
	Applied uint64              `msgpack:"a"`
}

// Bundle is what a relay sends to the leader. Encode it with
// codec.MarshalArrays.
type Bundle struct {
	Seq      uint32  `msgpack:"q"`
	Renewals []Acked `msgpack:"r"`
}

// BundleReply answers a bundle. All its sessions are granted but those in
// Closed. Encode it with codec.MarshalArrays.
type BundleReply struct {
	Verdict Verdict               `msgpack:"v"`
	Seq     uint32                `msgpack:"q"`
	Closed  []ownership.SessionID `msgpack:"c"`
}

// Answer is a reply for one router of a relay.
type Answer struct {
	Session ownership.SessionID
	Reply   Reply
}

// bundled is a bundle under way with the renewals it stands for.
type bundled struct {
	seq      uint32
	renewals []Renewal
}

// Relay stands between routers and the leader on a voter or learner, whose
// applied state it serves deltas from.
//
// It is made for 330 routers and 7 set-aside VMs. The harm it prevents: one
// packet a second to and from each router, and one push of each change to
// each, cost the leader some 19 KB a second at 330 routers and 59 KB at 1,000,
// far beyond the 3 KB of a node. With relays the leader exchanges a few
// bundles a second with each relay, and sends no deltas to routers at all.
//
// It needs no trust in the relay's clock: a router counts its lease from when
// it sent its renewal, the leader from when it received the bundle, which is
// later. A relay that falls behind sends older deltas and keeps changes from
// coming into force, but nobody acts on anything wrong. Routers of a relay
// that dies turn to another voter. It is not safe for concurrent use.
type Relay struct {
	timing   Timing
	feed     *feed
	pending  map[ownership.SessionID]Renewal
	since    time.Duration
	underWay []bundled
	seq      uint32
}

// NewRelay returns a relay over a voter's or learner's applied state.
func NewRelay(timing Timing, machine *fleetstate.Machine) *Relay {
	return &Relay{timing: timing, feed: newFeed(timing, machine), pending: map[ownership.SessionID]Renewal{}}
}

// OnRenewal keeps a router's newest renewal for the next bundle. An older one
// that was overtaken is dropped; in its place the acknowledgement that an
// operator waits for would be lost until it is repeated.
func (r *Relay) OnRenewal(now time.Duration, renewal Renewal) {
	if kept, ok := r.pending[renewal.Session]; ok && int32(renewal.Seq-kept.Seq) < 0 {
		return
	}
	if len(r.pending) == 0 {
		r.since = now
	}
	r.pending[renewal.Session] = renewal
}

// Bundle returns the bundle to send now, if one is due.
func (r *Relay) Bundle(now time.Duration) (bundle Bundle, due bool) {
	if len(r.pending) == 0 || now-r.since < r.timing.Gather {
		return Bundle{}, false
	}
	r.seq++
	sending := bundled{seq: r.seq}
	for _, renewal := range r.pending {
		sending.renewals = append(sending.renewals, renewal)
	}
	slices.SortFunc(sending.renewals, func(a, b Renewal) int { return cmp.Compare(a.Session, b.Session) })
	bundle.Seq = r.seq
	for _, renewal := range sending.renewals {
		bundle.Renewals = append(bundle.Renewals, Acked{renewal.Session, renewal.Applied})
	}
	clear(r.pending)
	r.underWay = append(r.underWay, sending)
	if len(r.underWay) > keptBundles {
		r.underWay = r.underWay[1:]
	}
	return bundle, true
}

// OnBundleReply returns the replies to routers. A bundle that no leader
// granted is dropped: its routers renew again by themselves.
func (r *Relay) OnBundleReply(now time.Duration, reply BundleReply) []Answer {
	i := slices.IndexFunc(r.underWay, func(b bundled) bool { return b.seq == reply.Seq })
	if i < 0 {
		return nil
	}
	renewals := r.underWay[i].renewals
	r.underWay = slices.Delete(r.underWay, i, i+1)
	if reply.Verdict != Granted {
		return nil
	}
	answers := make([]Answer, 0, len(renewals))
	for _, renewal := range renewals {
		answers = append(answers, r.answer(now, renewal, slices.Contains(reply.Closed, renewal.Session)))
	}
	return answers
}

func (r *Relay) answer(now time.Duration, renewal Renewal, closed bool) Answer {
	reply := Reply{Verdict: SessionClosed, Seq: renewal.Seq}
	if !closed {
		reply.Verdict = Granted
		reply.Delta = r.feed.catchUp(now, renewal)
	}
	return Answer{Session: renewal.Session, Reply: reply}
}

// Pushes returns the deltas to send now to the relay's routers.
func (r *Relay) Pushes(now time.Duration) []Push { return r.feed.pushes(now) }

// OnBundle answers a relay. leading is as in OnRenewal.
func (l *Leader) OnBundle(now time.Duration, leading bool, bundle Bundle) BundleReply {
	if !leading {
		return BundleReply{Verdict: NotLeader, Seq: bundle.Seq}
	}
	l.observe(now)
	reply := BundleReply{Verdict: Granted, Seq: bundle.Seq}
	for _, renewal := range bundle.Renewals {
		if !l.tracker.Renewed(now, renewal.Session, renewal.Applied) {
			reply.Closed = append(reply.Closed, renewal.Session)
		}
	}
	return reply
}
