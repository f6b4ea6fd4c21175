package router

import (
	"context"
	"time"

	"endiveplank/coordination/roster"
)

// announcementTimeout is how long the router waits for a disk VM to acknowledge an upstream's
// announcement. It is shorter than the one second after which an upstream that got no answer
// announces itself elsewhere.
const announcementTimeout = 800 * time.Millisecond

// pendingAnnouncements are the messages with announcements that this router has sent to a
// disk VM, by message number, until the disk VM acknowledges them. The router's lock is held
// for all of its methods.
type pendingAnnouncements struct {
	waiting map[uint64]*forwardedMessage
}

// forwardedMessage is a message to a disk VM and the number of upstreams that wait for its
// acknowledgement. acked is closed when it arrives.
type forwardedMessage struct {
	acked   chan struct{}
	waiters int
}

// await adds a waiter for a message. The message's acked channel is closed when a disk VM
// acknowledges it. The waiter must call release.
func (a *pendingAnnouncements) await(number uint64) *forwardedMessage {
	if a.waiting == nil {
		a.waiting = map[uint64]*forwardedMessage{}
	}
	message := a.waiting[number]
	if message == nil {
		message = &forwardedMessage{acked: make(chan struct{})}
		a.waiting[number] = message
	}
	message.waiters++
	return message
}

// ack wakes all that wait for a message, which a disk VM has acknowledged.
func (a *pendingAnnouncements) ack(number uint64) {
	if message := a.waiting[number]; message != nil {
		close(message.acked)
		delete(a.waiting, number)
	}
}

// release ends one wait for a message. The last one removes the message.
func (a *pendingAnnouncements) release(number uint64) {
	message := a.waiting[number]
	if message == nil {
		return
	}
	message.waiters--
	if message.waiters == 0 {
		delete(a.waiting, number)
	}
}

// handleAnnouncement processes an upstream's announcement. It returns true once the disk
// VMs know what it says, or, for a heartbeat, if this router's messages will tell them in
// time; see control.Publisher.AnnounceAt.
func (r *Router) handleAnnouncement(ctx context.Context, e roster.Entry) bool {
	known, number, message := r.mergeAnnouncement(e)
	if message == nil {
		return known
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.announcements.release(number)
	}()
	select {
	case <-message.acked:
		return true
	case <-ctx.Done():
		return false
	case <-time.After(announcementTimeout):
		return false
	}
}

// mergeAnnouncement merges an announcement into the roster. If a disk VM has to receive it
// first, mergeAnnouncement returns the message to wait for. Otherwise message is nil, and
// known is the answer to the upstream.
func (r *Router) mergeAnnouncement(e roster.Entry) (known bool, number uint64, message *forwardedMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping.Load() {
		return false, 0, nil
	}
	known, number, waits := r.follower.HandleAnnouncement(r.now(), e)
	if !waits {
		return known, 0, nil
	}
	r.applyRoster()
	return false, number, r.announcements.await(number)
}
