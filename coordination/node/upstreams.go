package node

import (
	"slices"
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

// announced takes an upstream's announcement. Whatever router hears it passes
// it to the owner; what is new in it becomes a change of the replicated state.
func (n *Node) announced(now time.Duration, in Announced) {
	announcement := in.Announcement
	known := n.view.Upstreams[announcement.ID]
	if known == nil || known.differs(announcement) {
		if !announcement.Leaving {
			n.emit(RegisterUpstream{Announcement: announcement})
		}
	}
	if known == nil || known.Owner == "" {
		return
	}
	if known.Owner != n.config.Self {
		if !in.Forwarded {
			n.emit(Send{To: known.Owner, Kind: wire.KindAnnounce, Payload: announcement})
		}
		return
	}
	n.learnUpstream(now, announcement)
}

// differs says whether an announcement changes what is configured.
func (u *Upstream) differs(a upstreamapi.Announcement) bool {
	return u.Address != a.Address || u.Kind != a.Kind || u.DataCentre != a.DataCentre ||
		u.Service != a.Service || u.Announced != a.Capacity || u.AnnouncedMax != a.MaxConcurrent ||
		u.ChecksFence != a.ChecksFence || !slices.Equal(u.Models, a.Models)
}

// learnUpstream updates an owned upstream. A late announcement changes
// nothing.
func (n *Node) learnUpstream(now time.Duration, a upstreamapi.Announcement) {
	target := n.owned[a.ID]
	if target == nil {
		return
	}
	if a.Incarnation < target.incarnation {
		return
	}
	if a.Incarnation == target.incarnation && a.Sequence <= target.sequence {
		return
	}
	if a.Incarnation > target.incarnation {
		target.leaving = false
	}
	target.incarnation = a.Incarnation
	target.sequence = a.Sequence
	target.announced = now
	target.reported = a.Load
	target.leaving = target.leaving || a.Leaving
	n.startQueued(now, target)
}

// leaving takes an upstream's goodbye: it gets no new work from now on, and
// finishes what it has.
func (n *Node) leaving(now time.Duration, in Leaving) {
	known := n.view.Upstreams[in.Leave.ID]
	if known == nil {
		return
	}
	if known.Owner != n.config.Self && !in.Forwarded {
		n.emit(Send{To: known.Owner, Kind: wire.KindLeave, Payload: in.Leave, Reliable: true})
	}
	target := n.owned[in.Leave.ID]
	if target == nil || in.Leave.Incarnation < target.incarnation {
		return
	}
	target.leaving = true
	n.handBack(target)
	n.emit(RemoveUpstream{Upstream: target.id, Incarnation: in.Leave.Incarnation, Reason: reason.UpstreamLeaving})
}

// handBack returns what is queued for an upstream to the entries, which try
// elsewhere.
func (n *Node) handBack(target *owned) {
	for _, r := range target.queue {
		n.replyPlace(PeerPlace{From: r.from, Place: r.place}, fleet.PlaceSpilled, reason.UpstreamLeaving, 0)
	}
	target.queue = nil
}

// watchSilence takes an upstream out of the replicated state once its
// announcements have stopped for long.
func (n *Node) watchSilence(now time.Duration, target *owned) {
	if !target.holds || !n.mayServe(now) || now-target.announced < removeAfter {
		return
	}
	n.handBack(target)
	n.emit(RemoveUpstream{Upstream: target.id, Incarnation: target.incarnation, Reason: reason.UpstreamSilent})
	// Asked again only after as long, should the proposal be lost.
	target.announced = now - silentAfter
}

// viewChanged puts a newer configuration in force. An older one is never put
// in force again.
func (n *Node) viewChanged(now time.Duration, view *View) {
	if view.Revision < n.view.Revision {
		return
	}
	n.view = view
	for _, target := range n.ownedInOrder() {
		n.reviewOwned(target)
	}
	for _, upstream := range view.Upstreams {
		if upstream.Mine && n.owned[upstream.ID] == nil {
			n.owned[upstream.ID] = &owned{
				id:        upstream.ID,
				config:    upstream,
				holds:     !upstream.Moving,
				running:   map[fleet.Attempt]*relay{},
				announced: now,
			}
		}
	}
}

// reviewOwned compares an upstream this router knows with the new view.
func (n *Node) reviewOwned(target *owned) {
	configured := n.view.Upstreams[target.id]
	target.holds = configured != nil && configured.Mine && !configured.Moving
	if configured != nil {
		target.config = configured
	}
	if target.holds {
		return
	}
	n.handBack(target)
	if len(target.running) == 0 {
		delete(n.owned, target.id)
	}
}

// totalsInterval is how often an owner tells the others its totals.
const totalsInterval = 500 * time.Millisecond

// shareTotals tells the other routers the load of this router's upstreams.
func (n *Node) shareTotals(now time.Duration) {
	if now-n.totals.sent < totalsInterval || len(n.owned) == 0 {
		return
	}
	n.totals.sent = now
	n.totals.sequence++
	mine := Totals{Sequence: n.totals.sequence}
	for _, target := range n.owned {
		mine.Outstanding += target.load
		mine.Capacity += target.config.Capacity
	}
	for _, peer := range n.otherOwners() {
		n.emit(Send{To: peer, Kind: wire.KindTotals, Payload: mine})
	}
}

// otherOwners lists the other routers that own upstreams.
func (n *Node) otherOwners() []protocol.RouterID {
	var owners []protocol.RouterID
	for _, upstream := range n.view.Upstreams {
		if upstream.Owner != "" && upstream.Owner != n.config.Self && !slices.Contains(owners, upstream.Owner) {
			owners = append(owners, upstream.Owner)
		}
	}
	slices.Sort(owners)
	return owners
}
