package node

import (
	"time"

	"endiveplank/coordination/kvmove"
	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

const (
	// hotChats is for how many chats of an engine and model the owner knows
	// what to move: more than return within the idle time that moves allow.
	hotChats = 1024
	// drainSpan is how long the caches of a draining engine are moved for.
	drainSpan = 20 * time.Second
)

// heat is what an owner knows of the chats of one engine, and their move.
type heat struct {
	hot map[protocol.Model]*kvmove.Hot
	// done is the work completed for each model in the present tenure, in
	// tokens as the load bound counts them.
	done   map[protocol.Model]float64
	tenure protocol.Fence
	// mover is set while the engine drains.
	mover *kvmove.Mover
}

// noteTurn remembers a chat whose turn an engine has just completed.
func (n *Node) noteTurn(now time.Duration, in UpstreamEnd) {
	target := n.running[in.Attempt]
	if target == nil || !in.Complete || !target.isEngine() {
		return
	}
	r := target.running[in.Attempt]
	if len(r.ask.Chain) == 0 {
		return
	}
	known := n.heats[target.id]
	if known == nil {
		known = &heat{hot: map[protocol.Model]*kvmove.Hot{}}
		n.heats[target.id] = known
	}
	if known.done == nil || known.tenure != target.config.Fence {
		known.done = map[protocol.Model]float64{}
		known.tenure = target.config.Fence
	}
	known.done[r.place.Model] += r.cost
	hot := known.hot[r.place.Model]
	if hot == nil {
		hot = kvmove.NewHot(hotChats)
		known.hot[r.place.Model] = hot
	}
	last := r.ask.Chain[len(r.ask.Chain)-1]
	hot.Note(kvmove.Chat{Key: keyOf(r.ask), Deepest: last.Hash, Tokens: last.Tokens, UsedAt: now})
}

// keyOf is what the chat of an ask is placed by.
func keyOf(ask placement.Query) placement.Key {
	key := placement.Key{Root: ask.Chain[ask.RootIndex].Hash}
	if ask.RootIndex > 0 {
		key.Group = ask.Chain[ask.RootIndex-1].Hash
	}
	return key
}

// tickMoves begins, steps and ends the moves of draining engines, and forgets
// engines that are owned no more.
func (n *Node) tickMoves(now time.Duration) {
	for id := range n.heats {
		if n.owned[id] == nil {
			delete(n.heats, id)
		}
	}
	for _, target := range n.ownedInOrder() {
		known := n.heats[target.id]
		if known == nil {
			continue
		}
		if !target.leaving && !target.config.Drain {
			known.mover = nil
			continue
		}
		if known.mover == nil {
			known.mover = n.beginMoves(now, target, known)
		}
		n.stepMoves(now, target, known.mover)
	}
}

func (n *Node) beginMoves(now time.Duration, target *owned, known *heat) *kvmove.Mover {
	var moves []kvmove.Move
	for _, model := range n.view.modelsOf(target.id) {
		if hot := known.hot[model]; hot != nil {
			place := n.placeWithout(target.id, model)
			moves = append(moves, kvmove.MakePlan(now, hot.Chats(), place, kvmove.DefaultCosts(), drainSpan)...)
		}
	}
	return kvmove.NewMover(now, now+drainSpan, moves)
}

// modelsOf lists the models of an upstream.
func (v *View) modelsOf(id protocol.UpstreamID) []protocol.Model {
	if upstream := v.Upstreams[id]; upstream != nil {
		return upstream.Models
	}
	return nil
}

// placeWithout says where chats of a model go once an engine is gone.
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

func (n *Node) stepMoves(now time.Duration, target *owned, mover *kvmove.Mover) {
	takes := func(id protocol.UpstreamID) bool {
		to := n.view.Upstreams[id]
		return to != nil && to.placeable()
	}
	for _, move := range mover.Next(now, takes) {
		n.emit(MoveCache{
			Upstream: target.id,
			From:     target.config.Address,
			To:       n.view.Upstreams[move.To].Address,
			Hash:     move.Chat.Deepest,
		})
	}
}

// cacheMoved takes the end of a move.
func (n *Node) cacheMoved(in CacheMoved) {
	if known := n.heats[in.Upstream]; known != nil && known.mover != nil {
		known.mover.Ended(in.Hash, in.Moved)
	}
}

// CacheMoved is the end of a MoveCache.
type CacheMoved struct {
	Upstream protocol.UpstreamID
	Hash     chat.ChainHash
	Moved    bool
}

func (CacheMoved) input() {}

// MoveCache exports a cached prefix from one engine and imports it into
// another. Exactly one CacheMoved comes back. It changes nothing that needs a
// fencing number: an import for nothing costs room in a cache.
type MoveCache struct {
	// Upstream is the engine that it leaves.
	Upstream protocol.UpstreamID
	// From and To are addresses.
	From, To string
	Hash     chat.ChainHash
}

func (MoveCache) output() {}
