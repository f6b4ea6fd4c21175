package node

import (
	"time"

	"endiveplank/coordination/kvmove"
	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

const (
	// maxHotChats is the number of recent chats that the owner records for each
	// engine and model, to move their caches. Fewer chats than that have a turn on
	// one engine within kvmove.Costs.MaxIdle, after which no cache is moved.
	maxHotChats = 1024
	// moveTime is how long the caches of a draining engine are moved.
	moveTime = 20 * time.Second
)

// engineActivity is what an owner records about the recent chats of one engine,
// and the move of their caches.
type engineActivity struct {
	hotChats map[protocol.Model]*kvmove.RecentChats
	// doneTokens is the work that was completed for each model under the
	// ownership whose fencing number is fence, in tokens as the load bound
	// counts them.
	doneTokens map[protocol.Model]float64
	fence      protocol.Fence
	// mover is set while the engine drains.
	mover *kvmove.Mover
}

// recordTurn records a chat of which an engine has just completed a turn.
func (n *Node) recordTurn(now time.Duration, in UpstreamEnd) {
	target := n.running[in.Attempt]
	if target == nil || !in.Complete || !target.isEngine() {
		return
	}
	r := target.running[in.Attempt]
	if len(r.placeQuery.Chain) == 0 {
		return
	}
	activity := n.activity[target.id]
	if activity == nil {
		activity = &engineActivity{hotChats: map[protocol.Model]*kvmove.RecentChats{}}
		n.activity[target.id] = activity
	}
	if activity.doneTokens == nil || activity.fence != target.config.Fence {
		activity.doneTokens = map[protocol.Model]float64{}
		activity.fence = target.config.Fence
	}
	activity.doneTokens[r.place.Model] += r.cost
	hot := activity.hotChats[r.place.Model]
	if hot == nil {
		hot = kvmove.NewRecentChats(maxHotChats)
		activity.hotChats[r.place.Model] = hot
	}
	last := r.placeQuery.Chain[len(r.placeQuery.Chain)-1]
	hot.Record(kvmove.Chat{Key: placementKey(r.placeQuery), Deepest: last.Hash, Tokens: last.Tokens, UsedAt: now})
}

// placementKey is the key by which the chat of a query is placed.
func placementKey(query placement.Query) placement.Key {
	key := placement.Key{Root: query.Chain[query.RootIndex].Hash}
	if query.RootIndex > 0 {
		key.Group = query.Chain[query.RootIndex-1].Hash
	}
	return key
}

// tickMoves starts, advances and ends the cache moves of draining engines, and
// deletes the records of engines that this router no longer owns.
func (n *Node) tickMoves(now time.Duration) {
	for id := range n.activity {
		if n.owned[id] == nil {
			delete(n.activity, id)
		}
	}
	for _, target := range n.ownedInOrder() {
		activity := n.activity[target.id]
		if activity == nil {
			continue
		}
		if !target.leaving && !target.config.Drain {
			activity.mover = nil
			continue
		}
		if activity.mover == nil {
			activity.mover = n.beginMoves(now, target, activity)
		}
		n.stepMoves(now, target, activity.mover)
	}
}

func (n *Node) beginMoves(now time.Duration, target *ownedUpstream, activity *engineActivity) *kvmove.Mover {
	var moves []kvmove.Move
	for _, model := range n.view.modelsOf(target.id) {
		if hot := activity.hotChats[model]; hot != nil {
			place := n.placeWithout(target.id, model)
			moves = append(moves, kvmove.MakePlan(now, hot.Chats(), place, kvmove.DefaultCosts(), moveTime)...)
		}
	}
	return kvmove.NewMover(now, now+moveTime, moves)
}

// modelsOf lists the models of an upstream.
func (v *View) modelsOf(id protocol.UpstreamID) []protocol.Model {
	if upstream := v.Upstreams[id]; upstream != nil {
		return upstream.Models
	}
	return nil
}

// placeWithout returns the function that finds the destination of a model's
// chats once an engine is gone.
func (n *Node) placeWithout(gone protocol.UpstreamID, model protocol.Model) func(placement.Key) (kvmove.Destination, bool) {
	var members []placement.Member
	for _, upstream := range n.view.Models[model] {
		if upstream.placeable() && upstream.ID != gone {
			members = append(members, placement.Member{ID: upstream.ID, Weight: upstream.Capacity})
		}
	}
	set := newSet(n.view.Revision, members)
	return func(key placement.Key) (kvmove.Destination, bool) {
		var first [1]int32
		if set.Order(key, first[:]) == 0 {
			return kvmove.Destination{}, false
		}
		to := set.Member(first[0])
		return kvmove.Destination{Upstream: to.ID, Capacity: to.Weight}, true
	}
}

func (n *Node) stepMoves(now time.Duration, target *ownedUpstream, mover *kvmove.Mover) {
	placeable := func(id protocol.UpstreamID) bool {
		to := n.view.Upstreams[id]
		return to != nil && to.placeable()
	}
	for _, move := range mover.Next(now, placeable) {
		n.emit(MoveCache{
			Upstream: target.id,
			From:     target.config.Address,
			To:       n.view.Upstreams[move.To].Address,
			Hash:     move.Chat.Deepest,
		})
	}
}

// handleCacheMoved handles the end of a move.
func (n *Node) handleCacheMoved(in CacheMoved) {
	if activity := n.activity[in.Upstream]; activity != nil && activity.mover != nil {
		activity.mover.Ended(in.Hash, in.Moved)
	}
}

// CacheMoved is the result of a MoveCache.
type CacheMoved struct {
	Upstream protocol.UpstreamID
	Hash     chat.ChainHash
	Moved    bool
}

func (CacheMoved) input() {}

// MoveCache exports a cached prefix from one engine and imports it into another.
// The driver returns exactly one CacheMoved. It needs no fencing number, because
// an unneeded import only costs space in a cache.
type MoveCache struct {
	// Upstream is the engine that the prefix leaves.
	Upstream protocol.UpstreamID
	// From and To are addresses.
	From, To string
	Hash     chat.ChainHash
}

func (MoveCache) output() {}
