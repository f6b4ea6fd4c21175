package callers

import (
	"sync"

	"endiveplank/coordination/node"
)

// maxWaiting is the most answer bytes that wait for one slow caller. It is a
// few seconds of the fastest stream; a caller further behind than that holds
// memory that others need.
const maxWaiting = 1 << 20

// Answer carries an answer from the node core to a caller's connection. The
// core's side never blocks.
type Answer struct {
	// Trace is the request's trace ID, empty without one.
	Trace string

	mu      sync.Mutex
	pieces  []node.Output
	waiting int
	closed  bool
	wake    chan struct{}
}

// NewAnswer returns an empty answer.
func NewAnswer() *Answer { return &Answer{wake: make(chan struct{}, 1)} }

// Put adds a piece. It returns false when the caller is too far behind or
// gone; the core then gives the request up.
func (a *Answer) Put(piece node.Output) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	if chunk, ok := piece.(node.AnswerChunk); ok {
		a.waiting += len(chunk.Data)
	}
	if a.waiting > maxWaiting {
		// The connection may hang in a write for a while yet; what waits goes
		// at once.
		a.closed = true
		a.pieces = nil
	} else {
		a.pieces = append(a.pieces, piece)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return !a.closed
}

// Close says that nobody takes the answer any more.
func (a *Answer) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.pieces = nil
}

// take waits for pieces. It returns false when the caller went away or the
// answer was closed.
func (a *Answer) take(gone <-chan struct{}) ([]node.Output, bool) {
	for {
		a.mu.Lock()
		pieces := a.pieces
		a.pieces = nil
		a.waiting = 0
		closed := a.closed
		a.mu.Unlock()
		if closed {
			return nil, false
		}
		if len(pieces) > 0 {
			return pieces, true
		}
		select {
		case <-a.wake:
		case <-gone:
			return nil, false
		}
	}
}
