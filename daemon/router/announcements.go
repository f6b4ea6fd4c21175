package router

import (
	"context"
	"time"

	"endiveplank/coordination/roster"
)

// announcementPatience is how long an upstream waits until a disk VM has taken what
// it says. It calls somebody else after a second.
const announcementPatience = 800 * time.Millisecond

// announcements are those that a disk VM has been told of, by the number of the
// message. The router's lock is held for all that is done with them.
type announcements struct {
	waiting map[uint64]*forwarded
}

// forwarded is a message to a disk VM and those who wait for its word.
type forwarded struct {
	taken   chan struct{}
	waiters int
}

// await returns what is closed once the message of a number is acknowledged.
func (a *announcements) await(number uint64) *forwarded {
	if a.waiting == nil {
		a.waiting = map[uint64]*forwarded{}
	}
	message := a.waiting[number]
	if message == nil {
		message = &forwarded{taken: make(chan struct{})}
		a.waiting[number] = message
	}
	message.waiters++
	return message
}

// acknowledged tells all who wait for a message that a disk VM has it.
func (a *announcements) acknowledged(number uint64) {
	if message := a.waiting[number]; message != nil {
		close(message.taken)
		delete(a.waiting, number)
	}
}

// forget ends a wait; the last one takes the message with it.
func (a *announcements) forget(number uint64) {
	message := a.waiting[number]
	if message == nil {
		return
	}
	message.waiters--
	if message.waiters == 0 {
		delete(a.waiting, number)
	}
}

// takeAnnouncement takes an upstream's announcement. It reports true once the disk
// VMs know what it says, or will by what this router tells them in time; see
// control.Publisher.AnnounceAt.
func (r *Router) takeAnnouncement(ctx context.Context, e roster.Entry) bool {
	known, number, message := r.noteAnnouncement(e)
	if message == nil {
		return known
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.announcements.forget(number)
	}()
	select {
	case <-message.taken:
		return true
	case <-ctx.Done():
		return false
	case <-time.After(announcementPatience):
		return false
	}
}

// noteAnnouncement merges an announcement. It returns what to wait for where a disk
// VM has to be told first.
func (r *Router) noteAnnouncement(e roster.Entry) (known bool, number uint64, message *forwarded) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving.Load() {
		return false, 0, nil
	}
	known, number, waits := r.follower.HandleAnnouncement(r.now(), e)
	if !waits {
		return known, 0, nil
	}
	r.takeRoster()
	return false, number, r.announcements.await(number)
}
