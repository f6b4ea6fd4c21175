package diskvm

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// calls matches the replies of other disk VMs to the goroutines that wait for them.
//
// Failure: a VM asks the leader to accept a change and ends. The leader's reply waits in the
// queue of their link until the VM is back, and arrives while its new process waits for the
// reply to another change. If both calls had the same number, that change would be confirmed
// although no disk has it. The numbers therefore begin at another place in each process.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan any
}

// newCalls returns calls whose numbers follow a random number.
func newCalls(last uint64) calls {
	return calls{last: last, waiting: map[uint64]chan any{}}
}

// open returns the number of a new call and the channel that receives its reply.
func (c *calls) open() (uint64, <-chan any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	reply := make(chan any, 1)
	c.waiting[c.last] = reply
	return c.last, reply
}

// deliver passes a reply to the goroutine that waits for it, if there still is one.
func (c *calls) deliver(number uint64, body any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.waiting[number]; reply != nil {
		reply <- body
		delete(c.waiting, number)
	}
}

// close ends the wait for a call's reply.
func (c *calls) close(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

// errNoReply means that the leader didn't answer in time, or with a reply of another type.
var errNoReply = eris.New("diskvm: the leader did not answer in time")

// call passes a new call's number to send, which sends the request, and waits for the
// reply.
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
