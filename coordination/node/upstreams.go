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

// removeAfter is how long an upstream may be silent before it is taken out of
// the replicated state. It is much longer than silentAfter, so that a short
// silence moves no chats for good.
const removeAfter = 10 * time.Second

// cachedChats is for how many chats the owner keeps an index of one engine's
// cache. An engine's own cache holds some thousands of chats.
const cachedChats = 4096

// announced takes an upstream's announcement. Whatever router hears it passes
// it to the owner; what is new in it becomes a change of the replicated state.
func (n *Node) announced(now time.Duration, in Announced) {
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
	if target == nil || a.Incarnation < target.incarnation {
		return
	}
	if a.Incarnation == target.incarnation && a.Sequence <= target.sequence {
		return
	}
	if a.Incarnation > target.incarnation {
		n.restarted(now, target, a.Incarnation)
	}
	target.sequence = a.Sequence
	target.announced = now
	target.reported = a.Load
	target.crash.down = false
	target.leaving = target.leaving || a.Leaving
	if target.isEngine() {
		n.learnEngine(now, target, a)
	}
	target.heard = true
	if target.leaving {
		n.handBack(now, target)
	}
	n.startQueued(now, target)
}

// restarted notes that an upstream is a new process. Calls to the old one that
// broke were broken by its end.
func (n *Node) restarted(now time.Duration, target *owned, incarnation uint64) {
	if len(target.crash.broken) > 0 {
		n.crashed(now, target)
	}
	target.incarnation = incarnation
	target.leaving = false
}

// learnEngine passes an engine's report on to load bound and placement.
func (n *Node) learnEngine(now time.Duration, target *owned, a upstreamapi.Announcement) {
	n.placer.AddUpstream(now, target.id, a.Incarnation, cachedChats)
	if !target.heard {
		n.ledger.Own(now, target.id, n.grant(target))
	}
	n.ledger.Reported(now, target.id, a.Load)
	if a.Cache != nil {
		n.placer.HandleCacheEvents(now, target.id, a.Cache.First, coreEvents(a.Cache.Events))
	}
}

// grant is this router's ownership of an engine as the load bound sees it.
func (n *Node) grant(target *owned) loadbound.Grant {
	return loadbound.Grant{
		Fence:       target.config.Fence,
		Until:       n.leaseUntil,
		Capacity:    max(1, target.config.Capacity),
		MaxRequests: target.config.MaxConcurrent,
		Reported:    target.reported,
	}
}

// hexadecimal is the base of chain hashes in cache events, and hashBits their
// size.
const (
	hexadecimal = 16
	hashBits    = 64
)

// coreEvents reads cache events. One with a bad hash is left out: it can name
// no chat.
func coreEvents(events []upstreamapi.CacheEvent) []placement.Event {
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

// leaving takes an upstream's goodbye: it gets no new work from now on, and
// finishes what it has.
func (n *Node) leaving(now time.Duration, in Leaving) {
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
	n.handBack(now, target)
	n.emit(RemoveUpstream{Upstream: target.id, Incarnation: in.Leave.Incarnation, Reason: reason.UpstreamLeaving})
	n.emit(Event{Upstream: target.id, What: "removed", Reason: reason.UpstreamLeaving})
}

// watchSilence takes an upstream out of the replicated state once its
// announcements have stopped for long.
func (n *Node) watchSilence(now time.Duration, target *owned) {
	if !target.holds || !n.mayServe(now) || now-target.announced < removeAfter {
		return
	}
	n.handBack(now, target)
	n.emit(RemoveUpstream{Upstream: target.id, Incarnation: target.incarnation, Reason: reason.UpstreamSilent})
	n.emit(Event{Upstream: target.id, What: "removed", Reason: reason.UpstreamSilent})
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
	n.buildSets()
	for _, target := range n.ownedInOrder() {
		n.reviewOwned(now, target)
	}
	for id, upstream := range view.Upstreams {
		if upstream.Mine && n.owned[id] == nil {
			n.owned[id] = newOwned(now, upstream)
		}
	}
	n.ledger.SetFleetCapacity(view.engineCapacity())
	n.reviewRouters(now, view)
	n.home.SetTable(view.limits())
}

// reviewRouters follows the fleet's routers. The exchange begins anew only
// when they change, so that other changes of the view don't disturb its waves.
func (n *Node) reviewRouters(now time.Duration, view *View) {
	if slices.Equal(n.routers, view.Routers) || !slices.Contains(view.Routers, n.config.Self) {
		return
	}
	n.routers = view.Routers
	n.exchange = loadbound.NewExchange(n.config.Self, view.Routers, now)
	n.ledger.Keep(n.exchange.Peers())
	n.limiter.SetRouters(len(view.Routers))
}

// buildSets orders the upstreams of each model for placement.
func (n *Node) buildSets() {
	n.sets = make(map[protocol.Model]*placement.Set, len(n.view.Models))
	for model, upstreams := range n.view.Models {
		var members []placement.Member
		for _, upstream := range upstreams {
			if upstream.placeable() {
				members = append(members, placement.Member{ID: upstream.ID, Weight: upstream.Capacity})
			}
		}
		n.sets[model] = newSet(n.view.Revision, members)
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

// reviewOwned compares an upstream this router knows with the new view.
func (n *Node) reviewOwned(now time.Duration, target *owned) {
	configured := n.view.Upstreams[target.id]
	renewed := configured != nil && configured.Mine && configured.Fence != target.config.Fence
	target.holds = configured != nil && configured.Mine && !configured.Moving
	if configured != nil {
		target.config = configured
	}
	if target.holds {
		if renewed {
			// A new tenure begins with the upstream's own report.
			target.heard = false
		}
		return
	}
	n.ledger.Disown(target.id)
	n.handBack(now, target)
	if len(target.running) == 0 {
		n.placer.RemoveUpstream(target.id)
		delete(n.owned, target.id)
	}
}

// leaseChanged takes this router's new lease and extends what rests on it.
func (n *Node) leaseChanged(now time.Duration, in LeaseChanged) {
	if n.leaseUntil > 0 {
		n.leaseLost = min(now, n.leaseUntil)
	}
	n.leaseUntil = in.Until
	n.session = in.Session
	for _, target := range n.owned {
		if target.holds && target.heard && target.isEngine() {
			n.ledger.Own(now, target.id, n.grant(target))
		}
	}
	n.unpark(now)
}

// shareTotals tells the neighbours the load of this router's upstreams.
func (n *Node) shareTotals(now time.Duration) {
	for _, peer := range n.exchange.Due(now) {
		summary := n.ledger.Summary(now, peer, n.exchange.Relay())
		n.emit(Send{To: peer, Kind: wire.KindLoadTotals, Payload: summary})
	}
}

// moved notes where a chat ran whose first choice is owned here.
func (n *Node) moved(now time.Duration, in PeerMoved) {
	if target := n.owned[in.Moved.FirstChoice]; target != nil && target.holds {
		n.placer.RecordMove(now, chat.ChainHash(in.Moved.Root), in.Moved.Ran)
	}
}
