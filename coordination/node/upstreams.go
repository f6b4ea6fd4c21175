package node

import (
	"slices"
	"strconv"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

// removeAfter is how long an upstream may be silent before it is removed from
// the replicated state. It is much longer than silentAfter, so that a short
// silence doesn't move chats permanently.
const removeAfter = 10 * time.Second

// maxCachedChats is the number of chats that the owner's index of one engine's
// cache covers. The cache of an engine holds some thousands of chats.
const maxCachedChats = 4096

// handleAnnounced handles an upstream's announcement. The router that receives
// it forwards it to the owner, and proposes a change of the replicated state if
// the announcement differs from it.
func (n *Node) handleAnnounced(now time.Duration, in UpstreamAnnounced) {
	announcement := in.Announcement
	known := n.view.Upstreams[announcement.ID]
	if (known == nil || known.differs(announcement)) && !announcement.Leaving {
		n.emit(RegisterUpstream{Announcement: announcement})
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
	n.updateUpstream(now, announcement)
}

// differs reports whether an announcement differs from the replicated state.
func (u *Upstream) differs(a upstreamapi.Announcement) bool {
	return u.Address != a.Address || u.Kind != a.Kind || u.DataCentre != a.DataCentre ||
		u.Service != a.Service || u.Build != a.Build || u.AnnouncedCapacity != a.Capacity || u.AnnouncedMaxConcurrent != a.MaxConcurrent ||
		u.ChecksFence != a.ChecksFence || !slices.Equal(u.Models, a.Models)
}

// updateUpstream updates an owned upstream from an announcement. It ignores an
// announcement that is older than one it has handled.
func (n *Node) updateUpstream(now time.Duration, a upstreamapi.Announcement) {
	target := n.owned[a.ID]
	if target == nil || a.Incarnation < target.incarnation {
		return
	}
	if a.Incarnation == target.incarnation && a.Sequence <= target.sequence {
		return
	}
	if a.Incarnation > target.incarnation {
		n.handleRestart(now, target, a.Incarnation)
	}
	if target.build != a.Build && target.hasReport {
		// Answers that began at the former build wait for it.
		n.returnWaiting(now, target, reason.OtherBuild)
	}
	target.build = a.Build
	target.sequence = a.Sequence
	target.announcedAt = now
	target.reportedLoad = a.Load
	target.crash.down = false
	target.leaving = target.leaving || a.Leaving
	if target.isEngine() {
		n.updateEngine(now, target, a)
	}
	target.hasReport = true
	if target.leaving {
		n.returnWaiting(now, target, reason.UpstreamLeaving)
	}
	n.startQueued(now, target)
}

// handleRestart records that an upstream is a new process. Broken calls whose
// cause was unknown broke because the old process ended.
func (n *Node) handleRestart(now time.Duration, target *ownedUpstream, incarnation uint64) {
	if len(target.crash.brokenCalls) > 0 {
		n.handleCrash(now, target)
	}
	target.incarnation = incarnation
	target.leaving = false
	target.pausedUntil = 0
}

// updateEngine passes an engine's announcement to the load bound and placement.
func (n *Node) updateEngine(now time.Duration, target *ownedUpstream, a upstreamapi.Announcement) {
	n.placer.AddUpstream(now, target.id, a.Incarnation, maxCachedChats)
	if !target.hasReport {
		n.ledger.Acquire(now, target.id, n.grant(target))
	}
	n.ledger.HandleReport(now, target.id, a.Load)
	if a.Cache != nil {
		n.placer.HandleCacheEvents(now, target.id, a.Cache.First, decodeCacheEvents(a.Cache.Events))
	}
}

// grant describes this router's ownership of an engine to the load bound.
func (n *Node) grant(target *ownedUpstream) loadbound.Grant {
	return loadbound.Grant{
		Fence:       target.config.Fence,
		ExpiresAt:   n.leaseUntil,
		Capacity:    max(1, target.config.Capacity),
		MaxRequests: target.config.MaxConcurrent,
		Reported:    target.reportedLoad,
	}
}

// hexadecimal is the base of chain hashes in cache events, and hashBits is their
// size in bits.
const (
	hexadecimal = 16
	hashBits    = 64
)

// decodeCacheEvents decodes cache events. It skips an event with an invalid
// hash, which can't belong to any chat.
func decodeCacheEvents(events []upstreamapi.CacheEvent) []placement.Event {
	read := make([]placement.Event, 0, len(events))
	for _, event := range events {
		hash, err := strconv.ParseUint(event.Hash, hexadecimal, hashBits)
		if err != nil {
			continue
		}
		op := placement.Stored
		if event.Op == upstreamapi.CacheEvicted {
			op = placement.Evicted
		}
		read = append(read, placement.Event{Op: op, Hash: chat.ChainHash(hash)})
	}
	return read
}

// handleLeaving handles the message of an upstream that leaves: the upstream
// gets no new work from now on, and finishes the requests that it has.
func (n *Node) handleLeaving(now time.Duration, in UpstreamLeaving) {
	known := n.view.Upstreams[in.Leave.ID]
	if known == nil {
		return
	}
	if known.Owner != "" && known.Owner != n.config.Self && !in.Forwarded {
		n.emit(Send{To: known.Owner, Kind: wire.KindLeave, Payload: in.Leave, Reliable: true})
	}
	target := n.owned[in.Leave.ID]
	if target == nil || in.Leave.Incarnation < target.incarnation {
		return
	}
	target.leaving = true
	n.returnWaiting(now, target, reason.UpstreamLeaving)
	n.emit(RemoveUpstream{Upstream: target.id, Incarnation: in.Leave.Incarnation, Reason: reason.UpstreamLeaving})
	n.emit(Event{Upstream: target.id, Kind: "removed", Reason: reason.UpstreamLeaving})
}

// removeIfSilent proposes to remove an upstream from the replicated state once
// no announcement has arrived for removeAfter.
func (n *Node) removeIfSilent(now time.Duration, target *ownedUpstream) {
	if !target.isOwner || !n.leaseValid(now) || now-target.announcedAt < removeAfter {
		return
	}
	n.returnWaiting(now, target, reason.UpstreamLeaving)
	n.emit(RemoveUpstream{Upstream: target.id, Incarnation: target.incarnation, Reason: reason.UpstreamSilent})
	n.emit(Event{Upstream: target.id, Kind: "removed", Reason: reason.UpstreamSilent})
	// If the proposal is lost, it is repeated after removeAfter - silentAfter.
	target.announcedAt = now - silentAfter
}

// handleViewChanged puts a newer configuration in force. It ignores an older
// one.
func (n *Node) handleViewChanged(now time.Duration, view *View) {
	if view.Revision < n.view.Revision {
		return
	}
	n.view = view
	n.buildSets()
	for _, target := range n.ownedInOrder() {
		n.updateOwned(now, target)
	}
	for id, upstream := range view.Upstreams {
		if upstream.OwnedHere && n.owned[id] == nil {
			n.owned[id] = newOwnedUpstream(now, upstream)
		}
	}
	n.ledger.SetFleetCapacity(view.engineCapacity())
	n.updateRouters(now, view)
	n.limitHome.SetLimits(view.limits())
}

// updateRouters updates the list of the fleet's routers. The exchange of load
// totals restarts only when the list changes, so that other changes of the view
// don't disturb its rounds.
func (n *Node) updateRouters(now time.Duration, view *View) {
	if slices.Equal(n.routers, view.Routers) || !slices.Contains(view.Routers, n.config.Self) {
		return
	}
	n.routers = view.Routers
	n.loadExchange = loadbound.NewExchange(n.config.Self, view.Routers, now)
	n.ledger.RetainNeighbours(n.loadExchange.Peers())
	n.limiter.SetRouters(len(view.Routers))
}

// buildSets builds the placement set of each model.
func (n *Node) buildSets() {
	n.placementSets = make(map[protocol.Model]*placement.Set, len(n.view.Models))
	for model, upstreams := range n.view.Models {
		var members []placement.Member
		for _, upstream := range upstreams {
			if upstream.placeable() {
				members = append(members, placement.Member{ID: upstream.ID, Weight: upstream.Capacity})
			}
		}
		n.placementSets[model] = newSet(n.view.Revision, members)
	}
}

// engineCapacity is the sum of all engines' capacities, in tokens a second.
func (v *View) engineCapacity() float64 {
	sum := 0.0
	for _, upstream := range v.Upstreams {
		if upstream.Kind == upstreamapi.KindEngine && !upstream.Drain {
			sum += upstream.Capacity
		}
	}
	return max(sum, 1)
}

// updateOwned updates an owned upstream to the new view.
func (n *Node) updateOwned(now time.Duration, target *ownedUpstream) {
	configured := n.view.Upstreams[target.id]
	renewed := configured != nil && configured.OwnedHere && configured.Fence != target.config.Fence
	target.isOwner = configured != nil && configured.OwnedHere && !configured.Moving
	if configured != nil {
		target.config = configured
	}
	if target.isOwner {
		if renewed {
			// A new ownership admits nothing before the upstream's next announcement.
			target.hasReport = false
		}
		return
	}
	n.ledger.Release(target.id)
	n.returnWaiting(now, target, reason.UpstreamLeaving)
	if len(target.running) == 0 {
		n.placer.RemoveUpstream(target.id)
		delete(n.owned, target.id)
	}
}

// handleLeaseChanged records this router's new lease and extends the grants that
// depend on it.
func (n *Node) handleLeaseChanged(now time.Duration, in LeaseChanged) {
	if n.leaseUntil > 0 {
		n.leaseLostAt = min(now, n.leaseUntil)
	}
	n.leaseUntil = in.Until
	n.session = in.Session
	for _, target := range n.owned {
		if target.isOwner && target.hasReport && target.isEngine() {
			n.ledger.Acquire(now, target.id, n.grant(target))
		}
	}
	n.retryParked(now)
}

// sendLoadTotals sends the load of this router's upstreams to the peers whose
// turn it is in the exchange.
func (n *Node) sendLoadTotals(now time.Duration) {
	for _, peer := range n.loadExchange.Due(now) {
		summary := n.ledger.Summary(now, peer, n.loadExchange.Relay())
		n.emit(Send{To: peer, Kind: wire.KindLoadTotals, Payload: summary})
	}
}

// handleChatMoved records on which upstream a chat ran whose first choice this
// router owns.
func (n *Node) handleChatMoved(now time.Duration, in PeerChatMoved) {
	if target := n.owned[in.Moved.FirstChoice]; target != nil && target.isOwner {
		n.placer.RecordMove(now, chat.ChainHash(in.Moved.Root), in.Moved.Ran)
	}
}
