package callers

import (
	"sync"

	"endiveplank/coordination/node"
)

// maxPendingBytes bounds the answer bytes that wait for one slow caller. It is a
// few seconds of the fastest stream; a caller further behind than that holds memory
// that other requests need.
const maxPendingBytes = 1 << 20

// Answer is the queue from the node core to a caller's connection. The core calls
// Put, which never blocks; the connection's goroutine calls take.
type Answer struct {
	// TraceID is the request's trace ID; empty if the request has none.
	TraceID string

	mu           sync.Mutex
	pending      []node.Output
	pendingBytes int
	closed       bool
	wake         chan struct{}
}

// NewAnswer returns an empty answer.
func NewAnswer() *Answer { return &Answer{wake: make(chan struct{}, 1)} }

// Put queues a part of the answer. It returns false when the caller is too far
// behind or has gone away; the core then cancels the request.
func (a *Answer) Put(output node.Output) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	if chunk, ok := output.(node.AnswerChunk); ok {
		a.pendingBytes += len(chunk.Data)
	}
	if a.pendingBytes > maxPendingBytes {
		// The connection's goroutine may block in a write for a while longer, so
		// the queued parts are freed here and not by that goroutine.
		a.closed = true
		a.pending = nil
	} else {
		a.pending = append(a.pending, output)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return !a.closed
}

// Close drops the queued parts and makes every later Put return false.
func (a *Answer) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.pending = nil
}

// take waits for queued parts and returns them. It returns false when the caller
// has gone away or the answer was closed.
func (a *Answer) take(gone <-chan struct{}) ([]node.Output, bool) {
	for {
		a.mu.Lock()
		outputs := a.pending
		a.pending = nil
		a.pendingBytes = 0
		closed := a.closed
		a.mu.Unlock()
		if closed {
			return nil, false
		}
		if len(outputs) > 0 {
			return outputs, true
		}
		select {
		case <-a.wake:
		case <-gone:
			return nil, false
		}
	}
}
