package builds

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// readTimeout is how long a majority of the disk VMs may take to answer: they may be
	// starting.
	readTimeout = time.Second
	// resendInterval is how often those that haven't answered are asked again.
	resendInterval = 150 * time.Millisecond
	// The disk VMs are asked for builds that no majority has told of every doubtInterval, and
	// in a large fleet every doubtPerRouter times its routers, so that a disk VM is asked 500
	// times a second at most.
	doubtInterval  = 250 * time.Millisecond
	doubtPerRouter = 2 * time.Millisecond
)

// Read asks a disk VM which builds it has listed lately.
type Read struct {
	Call uint64 `msgpack:"n"`
}

// Reply answers Read. Settled is false if the disk VM may have told of more builds before.
type Reply struct {
	Call    uint64 `msgpack:"n"`
	Settled bool   `msgpack:"k,omitempty"`
	Pairs   []Pair `msgpack:"p,omitempty"`
}

// Message is a Read and its receivers.
type Message struct {
	To   []protocol.RouterID
	Read Read
}

// Waiter identifies a question to a Quorum.
type Waiter uint64

// Answer is what a majority of the disk VMs has told for some questions. Known is false if no
// majority has answered in time; else Pairs are all builds that any of them told of.
type Answer struct {
	Waiters []Waiter
	Known   bool
	Pairs   []Pair
}

// Only returns the build that all of some services have alone. False means that there are
// several or none, or that it isn't known.
func (a Answer) Only(services []protocol.Service) (build string, only bool) {
	if !a.Known {
		return "", false
	}
	for _, p := range a.Pairs {
		if !slices.Contains(services, p.Service) {
			continue
		}
		if only && p.Build != build {
			return "", false
		}
		build, only = p.Build, true
	}
	return build, only
}

// Quorum reads from majorities of the disk VMs. Questions that come while a read is under way
// wait for the next one, since its answers may be older than they are. It is not safe for
// concurrent use.
type Quorum struct {
	diskVMs []protocol.RouterID
	calls   uint64
	// read is under way, nil if none is; next are the questions for the one after it.
	read *read
	next []Waiter
	// told holds what each disk VM last told.
	told map[protocol.RouterID][]Pair
	// readAt is when the disk VMs were last asked, and routers how many routers ask them.
	readAt  time.Duration
	routers int
}

type read struct {
	call    uint64
	began   time.Duration
	sentAt  time.Duration
	waiters []Waiter
	replies map[protocol.RouterID]Reply
}

// NewQuorum returns a Quorum that knows no disk VMs.
func NewQuorum() *Quorum { return &Quorum{told: map[protocol.RouterID][]Pair{}} }

// SetFirstCall sets the number that this process's reads follow: a random one, so that the
// reply to a read of the router's former process answers none of this one.
func (q *Quorum) SetFirstCall(number uint64) { q.calls = number }

// SetDiskVMs replaces the list of all disk VMs, whether or not they run.
func (q *Quorum) SetDiskVMs(ids []protocol.RouterID) {
	if slices.Equal(ids, q.diskVMs) {
		return
	}
	q.diskVMs = slices.Clone(ids)
	for id := range q.told {
		if !slices.Contains(ids, id) {
			delete(q.told, id)
		}
	}
}

// majority returns how many disk VMs are one.
func (q *Quorum) majority() int { return len(q.diskVMs)/2 + 1 }

// Ask takes a question. Tick sends it.
func (q *Quorum) Ask(w Waiter) { q.next = append(q.next, w) }

// SetRouters sets how many routers ask the disk VMs.
func (q *Quorum) SetRouters(count int) { q.routers = count }

// doubtInterval returns how often the disk VMs are asked for builds that no majority has told of.
func (q *Quorum) doubtInterval() time.Duration {
	return max(doubtInterval, time.Duration(q.routers)*doubtPerRouter)
}

// Tick returns the messages that are due, and answers that no majority has given in time. doubt
// says that this router lists builds that no majority has told of.
func (q *Quorum) Tick(now time.Duration, doubt bool) ([]Message, []Answer) {
	var answers []Answer
	if q.read != nil && now-q.read.began >= readTimeout {
		answers = append(answers, Answer{Waiters: q.read.waiters})
		q.read = nil
	}
	doubtDue := doubt && now-q.readAt >= q.doubtInterval()
	if q.read == nil && (len(q.next) > 0 || doubtDue) {
		return []Message{q.start(now)}, answers
	}
	if q.read != nil && now-q.read.sentAt >= resendInterval {
		return []Message{q.resend(now)}, answers
	}
	return nil, answers
}

// start begins a read for the questions that wait.
func (q *Quorum) start(now time.Duration) Message {
	q.calls++
	q.read = &read{call: q.calls, began: now, sentAt: now, waiters: q.next, replies: map[protocol.RouterID]Reply{}}
	q.next = nil
	q.readAt = now
	return Message{To: q.diskVMs, Read: Read{Call: q.calls}}
}

// resend asks the disk VMs that haven't answered.
func (q *Quorum) resend(now time.Duration) Message {
	q.read.sentAt = now
	silent := slices.DeleteFunc(slices.Clone(q.diskVMs), func(id protocol.RouterID) bool {
		_, answered := q.read.replies[id]
		return answered
	})
	return Message{To: silent, Read: Read{Call: q.read.call}}
}

// HandleReply takes a disk VM's reply. It returns an answer if the reply completes a majority.
func (q *Quorum) HandleReply(from protocol.RouterID, reply Reply) (Answer, bool) {
	if !slices.Contains(q.diskVMs, from) {
		return Answer{}, false
	}
	q.told[from] = reply.Pairs
	if q.read == nil || reply.Call != q.read.call || !reply.Settled {
		return Answer{}, false
	}
	q.read.replies[from] = reply
	if len(q.read.replies) < q.majority() {
		return Answer{}, false
	}
	answer := Answer{Waiters: q.read.waiters, Known: true, Pairs: q.read.union()}
	q.read = nil
	return answer, true
}

// union returns the builds that any of the replies tells of.
func (r *read) union() []Pair {
	var pairs []Pair
	for _, reply := range r.replies {
		pairs = append(pairs, reply.Pairs...)
	}
	slices.SortFunc(pairs, comparePairs)
	return slices.Compact(pairs)
}

// IsConfirmed reports whether a majority of the disk VMs has told of a build.
func (q *Quorum) IsConfirmed(p Pair) bool {
	count := 0
	for _, pairs := range q.told {
		if slices.Contains(pairs, p) {
			count++
		}
	}
	return len(q.diskVMs) > 0 && count >= q.majority()
}

// Unconfirmed returns the listed builds that no majority of the disk VMs has told of.
func (q *Quorum) Unconfirmed(listed []Pair) []Pair {
	return slices.DeleteFunc(slices.Clone(listed), q.IsConfirmed)
}
