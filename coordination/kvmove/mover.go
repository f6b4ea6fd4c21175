package kvmove

import (
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Limits on the traffic of a drain.
const (
	// maxConcurrent bounds the moves of one draining engine in progress. With
	// two, one move is set up while the other transfers.
	maxConcurrent = 2
	// maxFailures is the number of failed moves in a row after which a
	// destination gets no more. One failure may be an eviction; three in a row
	// mean that the engine accepts no imports.
	maxFailures = 3
)

// Mover starts the moves of one draining engine.
//
// A plan may have thousands of moves, and the links also carry streams. Without
// a rate limit, imports would stall the streams of the destinations. Mover
// starts a move no sooner than the earlier moves would have finished at the
// planned rate, so a plan never takes more bandwidth than its Costs state.
type Mover struct {
	moves []Move
	// until is the time when the engine stops.
	until time.Duration
	// nextStart is the earliest time at which the next move may start.
	nextStart time.Duration
	running   map[chat.ChainHash]Move
	failures  map[protocol.UpstreamID]int
	// Moved, Failed and Dropped count the moves that succeeded, failed and were
	// never started.
	Moved, Failed, Dropped int
}

// NewMover returns a mover for a plan whose moves must all end by until.
func NewMover(now, until time.Duration, moves []Move) *Mover {
	return &Mover{
		moves: moves, until: until, nextStart: now,
		running:  map[chat.ChainHash]Move{},
		failures: map[protocol.UpstreamID]int{},
	}
}

// Next returns the moves to start now. available reports whether an engine
// still accepts requests.
func (m *Mover) Next(now time.Duration, available func(protocol.UpstreamID) bool) []Move {
	var start []Move
	for len(m.moves) > 0 && len(m.running) < maxConcurrent && m.nextStart <= now {
		move := m.moves[0]
		m.moves = m.moves[1:]
		if now+move.Time > m.until || !available(move.To) || m.failures[move.To] >= maxFailures {
			m.Dropped++
			continue
		}
		m.nextStart = max(m.nextStart, now-move.Time) + move.Time
		m.running[move.Chat.Deepest] = move
		start = append(start, move)
	}
	return start
}

// Ended records the result of a move. deepest is the Chat.Deepest of the move.
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

// Done reports whether all moves have ended or were dropped.
func (m *Mover) Done() bool { return len(m.moves) == 0 && len(m.running) == 0 }
