package stream

import "endiveplank/protocol"

// Chunk is one piece of an answer to be delivered to the caller.
type Chunk struct {
	Request protocol.RequestID
	// Attempt is the attempt whose connection delivered the chunk. The
	// receiver of the connection sets it, not the engine.
	Attempt int
	// Index counts the answer's tokens from 0.
	Index int
	// Data is passed on unchanged and not parsed.
	Data []byte
	// Final marks the last chunk of the answer.
	Final bool
}

// Verdict says how Accept treated a chunk.
type Verdict uint8

const (
	// Delivered means that the chunk goes to the caller, with any held chunks that
	// follow it.
	Delivered Verdict = iota + 1
	// Held means that an earlier index of this attempt is still missing.
	Held
	// Duplicate means that the index was already delivered or is already held.
	Duplicate
	// Abandoned means that the chunk's attempt was replaced.
	Abandoned
	// Foreign means that the chunk belongs to another request or to an attempt that
	// hasn't begun. It indicates a fault in the sender.
	Foreign
	// Overrun means that too many chunks are held for a missing one, or that the
	// index is beyond that of the final chunk. The attempt should be replaced.
	Overrun
)

// Accepted is the result of Assembler.Accept.
type Accepted struct {
	Verdict Verdict
	// Deliver holds the chunks for the caller, in order. It is valid until
	// the next call.
	Deliver []Chunk
	// Complete says that the caller has the whole answer with these chunks.
	Complete bool
}

// Assembler passes on each token of one answer once and in order. It is called for
// every chunk of every stream.
//
// It prevents a caller from receiving tokens twice, out of order, or from another
// attempt or request. That would garble the answer after a reconnection, when the old
// connection resumes and delivers its buffered chunks. A chunk is passed on only with
// the number of the current attempt and with the one next index, and the number of an
// abandoned attempt is never used again.
type Assembler struct {
	request  protocol.RequestID
	attempt  int
	next     int
	maxHeld  int
	held     map[int]Chunk
	complete bool
	// finalIndex is the index of the final chunk if the current attempt has
	// delivered it, else noFinal.
	finalIndex int
	deliver    []Chunk
}

const noFinal = -1

// NewAssembler returns an assembler for attempt 1 at token 0. It holds back at most
// maxHeld chunks; if more wait, a chunk is lost and not merely late.
func NewAssembler(request protocol.RequestID, maxHeld int) *Assembler {
	return &Assembler{
		request:    request,
		attempt:    1,
		maxHeld:    maxHeld,
		held:       make(map[int]Chunk),
		finalIndex: noFinal,
	}
}

// Begin starts a new attempt and returns the index at which it resumes. It drops the
// chunks held from the old attempt: the new attempt sends them again, and a mixture of
// two attempts' continuations could garble the answer. It panics if the attempt number
// doesn't grow, because late chunks of the old attempt could then not be recognized.
func (a *Assembler) Begin(attempt int) int {
	if attempt <= a.attempt {
		panic("stream: attempt numbers must grow")
	}
	a.attempt = attempt
	a.finalIndex = noFinal
	clear(a.held)
	return a.next
}

// Accept decides whether one chunk is delivered, held or rejected.
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
	a.deliverNext(c)
	for !a.complete {
		held, ok := a.held[a.next]
		if !ok {
			break
		}
		delete(a.held, a.next)
		a.deliverNext(held)
	}
	return Accepted{Verdict: Delivered, Deliver: a.deliver, Complete: a.complete}
}

// Next returns the index of the first token not yet delivered.
func (a *Assembler) Next() int { return a.next }

// Complete reports whether the caller has the whole answer.
func (a *Assembler) Complete() bool { return a.complete }

// reject returns why a chunk must be rejected, or zero.
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

// deliverNext adds the chunk with the next index to those for the caller.
func (a *Assembler) deliverNext(c Chunk) {
	a.deliver = append(a.deliver, c)
	a.next = c.Index + 1
	a.complete = c.Final
}
