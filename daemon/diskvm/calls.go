package diskvm

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// calls matches replies of other disk VMs to who waits for them.
type calls struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan any
}

// open returns a number for a call and the channel that its reply comes on.
func (c *calls) open() (uint64, <-chan any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = map[uint64]chan any{}
	}
	c.next++
	reply := make(chan any, 1)
	c.waiting[c.next] = reply
	return c.next, reply
}

// answer hands a reply to who waits for it, if anybody still does.
func (c *calls) answer(number uint64, body any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.waiting[number]; reply != nil {
		reply <- body
		delete(c.waiting, number)
	}
}

// close ends the wait for a call.
func (c *calls) close(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

// errNoReply means that a disk VM didn't answer in time.
var errNoReply = eris.New("diskvm: the leader did not answer in time")

// call sends a message made from the call's number and waits for the reply.
func call[T any](ctx context.Context, c *calls, send func(number uint64)) (T, error) {
	var none T
	number, reply := c.open()
	defer c.close(number)
	send(number)
	select {
	case body := <-reply:
		answer, ok := body.(T)
		if !ok {
			return none, errNoReply
		}
		return answer, nil
	case <-ctx.Done():
		return none, errNoReply
	}
}
