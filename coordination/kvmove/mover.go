package kvmove

import (
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Limits of a drain's traffic.
const (
	// atOnce is how many moves of one engine are under way. Two hide the
	// set-up of one behind the transfer of the other.
	atOnce = 2
	// refusals is after how many failed moves in a row a destination gets no
	// more. One may be an eviction; three are an engine that takes none.
	refusals = 3
)

// Mover hands out the moves of one draining engine.
//
// Load: thousands of moves, links that also carry streams. Harm prevented:
// imports that stall the streams of the engines that take over. It starts a
// move no sooner than the ones before would have been through at the planned
// rate, so a plan never takes more bandwidth than its costs say.
type Mover struct {
	moves []Move
	// until is when the engine is gone.
	until time.Duration
	// paced is when the next move may start.
	paced    time.Duration
	running  map[chat.ChainHash]Move
	failures map[protocol.UpstreamID]int
	// Moved, Failed and Dropped count moves by how they ended.
	Moved, Failed, Dropped int
}

// NewMover returns a mover for a plan, to be over by until.
func NewMover(now, until time.Duration, moves []Move) *Mover {
	return &Mover{
		moves: moves, until: until, paced: now,
		running:  map[chat.ChainHash]Move{},
		failures: map[protocol.UpstreamID]int{},
	}
}

// Next returns the moves to start now. takes says whether an engine still
// takes work.
func (m *Mover) Next(now time.Duration, takes func(protocol.UpstreamID) bool) []Move {
	var start []Move
	for len(m.moves) > 0 && len(m.running) < atOnce && m.paced <= now {
		move := m.moves[0]
		m.moves = m.moves[1:]
		if now+move.Time > m.until || !takes(move.To) || m.failures[move.To] >= refusals {
			m.Dropped++
			continue
		}
		m.paced = max(m.paced, now-move.Time) + move.Time
		m.running[move.Chat.Deepest] = move
		start = append(start, move)
	}
	return start
}

// Ended takes the end of a move.
func (m *Mover) Ended(deepest chat.ChainHash, moved bool) {
	move, running := m.running[deepest]
	if !running {
		return
	}
	delete(m.running, deepest)
	if !moved {
		m.Failed++
		m.failures[move.To]++
		return
	}
	m.Moved++
	m.failures[move.To] = 0
}

// Over says whether nothing is left to do.
func (m *Mover) Over() bool { return len(m.moves) == 0 && len(m.running) == 0 }
