package stream

import "endiveplank/protocol"

// Chunk is one piece of an answer on its way to the caller.
type Chunk struct {
	Request protocol.RequestID
	// Attempt is the attempt whose connection delivered the chunk. The
	// receiver of the connection sets it, not the engine.
	Attempt int
	// Index counts the answer's tokens from 0.
	Index int
	// Data is passed on unread.
	Data []byte
	// Final marks the last chunk of the answer.
	Final bool
}

// Verdict says what became of a chunk.
type Verdict uint8

const (
	// Delivered means that the chunk, and perhaps held ones after it, go to
	// the caller.
	Delivered Verdict = iota + 1
	// Held means that an earlier index of this attempt is still missing.
	Held
	// Duplicate means that the index was delivered or is held already.
	Duplicate
	// Abandoned means that the chunk's attempt was replaced.
	Abandoned
	// Foreign means that the chunk belongs to another request or to no
	// attempt that was begun. It points at a fault in the sender.
	Foreign
	// Overrun means that too many chunks wait for a missing one, or that the
	// index lies behind the final one. The attempt should be replaced.
	Overrun
)

// Accepted is the answer to Accept.
type Accepted struct {
	Verdict Verdict
	// Deliver holds the chunks for the caller, in order. It is valid until
	// the next call.
	Deliver []Chunk
	// Complete says that the caller now has the whole answer.
	Complete bool
}

// Assembler passes each token of one answer on once and in order.
//
// Load: every chunk of every stream. Harm prevented: a caller reads tokens
// twice, out of order, or from another attempt or request. It would show as
// a garbled answer after a reconnection, when the old connection wakes up and
// delivers what it had buffered. The guard holds because a chunk passes only
// with the current attempt's number and the one next index, and the number of
// an abandoned attempt is never used again.
type Assembler struct {
	request  protocol.RequestID
	attempt  int
	next     int
	maxHeld  int
	held     map[int]Chunk
	complete bool
	// finalIndex is the index of the final chunk once it was seen in the
	// current attempt, else -1.
	finalIndex int
	deliver    []Chunk
}

const noFinal = -1

// NewAssembler starts with attempt 1 at token 0. It holds back at most maxHeld
// chunks; more than that means that a chunk was lost, not late.
func NewAssembler(request protocol.RequestID, maxHeld int) *Assembler {
	return &Assembler{
		request:    request,
		attempt:    1,
		maxHeld:    maxHeld,
		held:       make(map[int]Chunk),
		finalIndex: noFinal,
	}
}

// Begin starts a new attempt and returns the index it resumes at. Chunks held
// from the old attempt are dropped: the new attempt sends them again, and mixing
// two attempts' continuations could garble the answer. It panics when the number
// does not grow, because late chunks could then not be told apart.
func (a *Assembler) Begin(attempt int) int {
	if attempt <= a.attempt {
		panic("stream: attempt numbers must grow")
	}
	a.attempt = attempt
	a.finalIndex = noFinal
	clear(a.held)
	return a.next
}

// Accept decides about one chunk.
func (a *Assembler) Accept(c Chunk) Accepted {
	if verdict := a.reject(c); verdict != 0 {
		return Accepted{Verdict: verdict, Complete: a.complete}
	}
	if c.Final {
		a.finalIndex = c.Index
	}
	if c.Index > a.next {
		a.held[c.Index] = c
		return Accepted{Verdict: Held}
	}
	a.deliver = a.deliver[:0]
	a.pass(c)
	for !a.complete {
		held, ok := a.held[a.next]
		if !ok {
			break
		}
		delete(a.held, a.next)
		a.pass(held)
	}
	return Accepted{Verdict: Delivered, Deliver: a.deliver, Complete: a.complete}
}

// Next returns the index of the first token not yet delivered.
func (a *Assembler) Next() int { return a.next }

// Complete says whether the caller has the whole answer.
func (a *Assembler) Complete() bool { return a.complete }

// reject returns why a chunk must not pass, or zero.
func (a *Assembler) reject(c Chunk) Verdict {
	_, isHeld := a.held[c.Index]
	switch {
	case c.Request != a.request, c.Attempt > a.attempt, c.Index < 0:
		return Foreign
	case c.Attempt < a.attempt:
		return Abandoned
	case c.Index < a.next, isHeld:
		return Duplicate
	case a.complete, a.finalIndex != noFinal && c.Index > a.finalIndex:
		return Overrun
	case c.Index > a.next && len(a.held) >= a.maxHeld:
		return Overrun
	}
	return 0
}

func (a *Assembler) pass(c Chunk) {
	a.deliver = append(a.deliver, c)
	a.next = c.Index + 1
	a.complete = c.Final
}
