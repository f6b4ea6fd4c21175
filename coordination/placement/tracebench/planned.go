package tracebench

import (
	"time"

	"endiveplank/coordination/kvmove"
	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// drainSpan is what a leaving engine gives for moves, and moveTick how often
// its mover is stepped.
const (
	drainSpan = 30 * time.Second
	moveTick  = 20 * time.Millisecond
)

// leaverMeter measures chats whose engine left as planned.
type leaverMeter struct {
	displaced     map[chat.ChainHash]bool
	prompt, saved int
	turns, tokens int
}

func (m *leaverMeter) admitted(r *request) {
	root := r.turn.chain[rootLink].Hash
	if !m.displaced[root] {
		return
	}
	delete(m.displaced, root)
	m.turns++
	m.prompt += r.turn.prompt()
	m.saved += r.saved
}

func (m *leaverMeter) result(r *Result) {
	r.LeaverTurns = m.turns
	r.MovedTokens = m.tokens
	if m.prompt > 0 {
		r.LeaverReusePct = 100 * float64(m.saved) / float64(m.prompt)
	}
}

// mergeLeaver adds another seed's, weighted by turns.
func (r *Result) mergeLeaver(other Result) {
	turns := r.LeaverTurns + other.LeaverTurns
	if turns > 0 {
		sum := r.LeaverReusePct*float64(r.LeaverTurns) + other.LeaverReusePct*float64(other.LeaverTurns)
		r.LeaverReusePct = sum / float64(turns)
	}
	r.LeaverTurns = turns
	r.MovedTokens += other.MovedTokens
}

// noteTurn remembers which chat an entry is of.
func (c *promptCache) noteTurn(now time.Duration, t *turn) {
	if e, ok := c.entries[t.chain[rootLink].Hash]; ok {
		e.turn = t
		e.usedAt = now
	}
}

// schedulePlanned lets engines leave one after the other.
func (w *world) schedulePlanned() {
	if w.config.Planned == 0 {
		return
	}
	w.meter.leaver.displaced = make(map[chat.ChainHash]bool)
	target := 0
	w.every(w.config.WarmUp, w.config.Planned, w.end, func(now time.Duration) {
		w.plannedLeave(now, target%len(w.engines))
		target++
	})
}

// plannedLeave takes an engine out of placement, moves its chats, and brings
// it back cold.
func (w *world) plannedLeave(now time.Duration, i int) {
	e := w.engines[i]
	if !e.up {
		return
	}
	for root, entry := range e.cache.entries {
		if entry.turn != nil {
			w.meter.leaver.displaced[root] = true
		}
	}
	w.leave(now, i, w.config.PlannedAway, true)
	if w.config.Moves != nil {
		w.moveChats(now, e, *w.config.Moves)
	}
}

// moveChats steps the decisions of package kvmove for one leaver.
func (w *world) moveChats(now time.Duration, e *engine, costs kvmove.Costs) {
	set := setOf(w, w.truth())
	place := func(key placement.Key) (kvmove.Destination, bool) {
		var first [1]int32
		if set.Order(key, first[:]) == 0 {
			return kvmove.Destination{}, false
		}
		to := w.engines[engineOf(set, first[0])]
		return kvmove.Destination{Upstream: to.id, Capacity: to.capacity}, true
	}
	moves := kvmove.MakePlan(now, w.hotChats(e, set), place, costs, drainSpan)
	mover := kvmove.NewMover(now, now+drainSpan, moves)
	w.stepMover(now, e, mover)
}

func (w *world) stepMover(now time.Duration, from *engine, mover *kvmove.Mover) {
	takes := func(id protocol.UpstreamID) bool { return w.engines[numberOf(id)].up }
	for _, move := range mover.Next(now, takes) {
		w.schedule(now+move.Time, func(time.Duration) {
			moved := w.imported(from, move)
			mover.Ended(move.Chat.Deepest, moved)
		})
	}
	if !mover.Done() {
		w.schedule(now+moveTick, func(now time.Duration) { w.stepMover(now, from, mover) })
	}
}

// hotChats lists the chats in an engine's cache as its owner would.
func (w *world) hotChats(e *engine, set *placement.Set) []kvmove.Chat {
	hot := kvmove.NewRecentChats(2 * len(e.cache.entries))
	for _, entry := range e.cache.entries {
		if entry.turn == nil {
			continue
		}
		key := placement.Key{
			Root:   entry.key,
			Group:  entry.turn.chain[0].Hash,
			Spread: set.Spread(w.trace.shares[entry.turn.customer]),
		}
		hot.Record(kvmove.Chat{Key: key, Deepest: entry.deepest, Tokens: entry.tokens, UsedAt: entry.usedAt})
	}
	return hot.Chats()
}

// imported puts a cache in at its destination, unless it is gone.
func (w *world) imported(from *engine, move kvmove.Move) bool {
	to := w.engines[numberOf(move.To)]
	entry, there := from.cache.entries[move.Chat.Key.Root]
	if !there || !to.up || entry.turn == nil {
		return false
	}
	if held, has := to.cache.entries[entry.key]; has && held.tokens >= entry.tokens {
		return true
	}
	to.cache.use(entry.turn.chain, entry.tokens)
	to.cache.noteTurn(entry.usedAt, entry.turn)
	to.events = append(to.events, placement.Event{Op: placement.Stored, Hash: entry.deepest})
	w.meter.leaver.tokens += entry.tokens
	return true
}
