package tracebench

import (
	"time"

	"endiveplank/coordination/kvmove"
	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// drainTime is how long a leaving engine waits for moves, and moverPeriod how
// often its mover runs.
const (
	drainTime   = 30 * time.Second
	moverPeriod = 20 * time.Millisecond
)

// plannedLeaveMeter measures the reuse of chats whose engine left as planned.
type plannedLeaveMeter struct {
	displaced     map[chat.ChainHash]bool
	prompt, saved int
	turns, tokens int
}

func (m *plannedLeaveMeter) admitted(r *request) {
	root := r.turn.chain[rootIndex].Hash
	if !m.displaced[root] {
		return
	}
	delete(m.displaced, root)
	m.turns++
	m.prompt += r.turn.prompt()
	m.saved += r.saved
}

func (m *plannedLeaveMeter) result(r *Result) {
	r.LeaverTurns = m.turns
	r.MovedTokens = m.tokens
	if m.prompt > 0 {
		r.LeaverReusePct = 100 * float64(m.saved) / float64(m.prompt)
	}
}

// mergePlannedLeaves adds the result of another seed, weighted by turns.
func (r *Result) mergePlannedLeaves(other Result) {
	turns := r.LeaverTurns + other.LeaverTurns
	if turns > 0 {
		sum := r.LeaverReusePct*float64(r.LeaverTurns) + other.LeaverReusePct*float64(other.LeaverTurns)
		r.LeaverReusePct = sum / float64(turns)
	}
	r.LeaverTurns = turns
	r.MovedTokens += other.MovedTokens
}

// recordTurn stores the last turn of the chat of an entry.
func (c *promptCache) recordTurn(now time.Duration, t *turn) {
	if e, ok := c.entries[t.chain[rootIndex].Hash]; ok {
		e.turn = t
		e.usedAt = now
	}
}

// schedulePlanned makes engines leave one after the other.
func (sim *simulation) schedulePlanned() {
	if sim.config.PlannedLeaveInterval == 0 {
		return
	}
	sim.meter.leaver.displaced = make(map[chat.ChainHash]bool)
	target := 0
	sim.schedulePeriodic(sim.config.WarmUp, sim.config.PlannedLeaveInterval, sim.end, func(now time.Duration) {
		sim.plannedLeave(now, target%len(sim.engines))
		target++
	})
}

// plannedLeave takes an engine out of placement, moves its chats, and returns
// it later with an empty cache.
func (sim *simulation) plannedLeave(now time.Duration, i int) {
	e := sim.engines[i]
	if !e.up {
		return
	}
	for root, entry := range e.cache.entries {
		if entry.turn != nil {
			sim.meter.leaver.displaced[root] = true
		}
	}
	sim.leave(now, i, sim.config.PlannedLeaveTime, true)
	if sim.config.Moves != nil {
		sim.moveChats(now, e, *sim.config.Moves)
	}
}

// moveChats plans the moves of one leaving engine with package kvmove and starts
// its mover.
func (sim *simulation) moveChats(now time.Duration, e *engine, costs kvmove.Costs) {
	set := setOf(sim, sim.upEngines())
	place := func(key placement.Key) (kvmove.Destination, bool) {
		var first [1]int32
		if set.Order(key, first[:]) == 0 {
			return kvmove.Destination{}, false
		}
		to := sim.engines[engineOf(set, first[0])]
		return kvmove.Destination{Upstream: to.id, Capacity: to.capacity}, true
	}
	moves := kvmove.MakePlan(now, sim.hotChats(e, set), place, costs, drainTime)
	mover := kvmove.NewMover(now, now+drainTime, moves)
	sim.stepMover(now, e, mover)
}

func (sim *simulation) stepMover(now time.Duration, from *engine, mover *kvmove.Mover) {
	takes := func(id protocol.UpstreamID) bool { return sim.engines[numberOf(id)].up }
	for _, move := range mover.Next(now, takes) {
		sim.schedule(now+move.Time, func(time.Duration) {
			moved := sim.importCache(from, move)
			mover.Ended(move.Chat.Deepest, moved)
		})
	}
	if !mover.Done() {
		sim.schedule(now+moverPeriod, func(now time.Duration) { sim.stepMover(now, from, mover) })
	}
}

// hotChats lists the chats in an engine's cache as its owner would list them.
func (sim *simulation) hotChats(e *engine, set *placement.Set) []kvmove.Chat {
	hot := kvmove.NewRecentChats(2 * len(e.cache.entries))
	for _, entry := range e.cache.entries {
		if entry.turn == nil {
			continue
		}
		key := placement.Key{
			Root:       entry.key,
			Group:      entry.turn.chain[0].Hash,
			GroupShare: set.GroupShare(sim.trace.shares[entry.turn.customer]),
		}
		hot.Record(kvmove.Chat{Key: key, Deepest: entry.deepest, Tokens: entry.tokens, UsedAt: entry.usedAt})
	}
	return hot.Chats()
}

// importCache copies a chat's cache to the destination of its move. It returns
// false when the destination is down or the cache has been evicted.
func (sim *simulation) importCache(from *engine, move kvmove.Move) bool {
	to := sim.engines[numberOf(move.To)]
	entry, there := from.cache.entries[move.Chat.Key.Root]
	if !there || !to.up || entry.turn == nil {
		return false
	}
	if held, has := to.cache.entries[entry.key]; has && held.tokens >= entry.tokens {
		return true
	}
	to.cache.use(entry.turn.chain, entry.tokens)
	to.cache.recordTurn(entry.usedAt, entry.turn)
	to.events = append(to.events, placement.Event{Op: placement.Stored, Hash: entry.deepest})
	sim.meter.leaver.tokens += entry.tokens
	return true
}
