package soak

import (
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// The limits on what a router sends to an upstream that wants no requests: at most
// maxEarlyRequests between learnWithin after a refusal and the end of its Retry-After.
const (
	learnWithin      = 500 * time.Millisecond
	maxEarlyRequests = 2
)

// sender says which router a caller sent a request to, and when.
type sender struct {
	router *process
	at     time.Time
}

// refusal is an answer of an upstream with a Retry-After.
type refusal struct {
	router    *process
	at, until time.Time
	// early counts the requests of the same router that came too early after it.
	early int
}

// departure is an answer that says that its upstream leaves, as a router passed it on.
type departure struct {
	router   *process
	upstream protocol.UpstreamID
}

// noteSender records a request that a caller is about to send.
func (h *harness) noteSender(id, path string, router *process) {
	h.noteRequest(serviceOf(path))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.senders[id] = sender{router, time.Now()}
}

// senderOf returns where a request comes from.
func (h *harness) senderOf(id string) (sender, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, known := h.senders[id]
	return s, known
}

// noteAnswer records an answer that a router has passed on if its upstream leaves.
func (h *harness) noteAnswer(router *process, answer dialect.Answer, upstream protocol.UpstreamID) {
	if !answer.Leaving {
		return
	}
	h.count("answers of leaving upstreams")
	h.mu.Lock()
	defer h.mu.Unlock()
	key := departure{router, upstream}
	if _, known := h.departures[key]; !known {
		h.departures[key] = time.Now()
	}
}

// checkUnwanted checks that a request that reaches the upstream isn't one that it doesn't want.
func (u *upstream) checkUnwanted(id string) {
	from, known := u.harness.senderOf(id)
	if !known {
		return
	}
	u.checkDeparture(id, from)
	u.checkRefusals(id, from)
}

// checkDeparture checks that the request's router didn't know long ago that the upstream leaves.
func (u *upstream) checkDeparture(id string, from sender) {
	u.harness.mu.Lock()
	passedOn, leaves := u.harness.departures[departure{from.router, u.id}]
	u.harness.mu.Unlock()
	if leaves && from.at.Sub(passedOn) > leaveWithin && !from.router.disturbedSince(passedOn) {
		u.harness.violation("request %s reached %s %s after %s had passed on that it leaves", id, u.id, from.at.Sub(passedOn), from.router.settings.Name)
	}
}

// checkRefusals checks that few requests of one router come before a Retry-After has passed.
func (u *upstream) checkRefusals(id string, from sender) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, r := range u.refusals {
		if r.router != from.router || now.Before(r.at.Add(learnWithin)) || now.After(r.until) || r.router.disturbedSince(r.at) {
			continue
		}
		if r.early++; r.early > maxEarlyRequests {
			u.harness.violation("request %s of %s reached %s %s after a refusal with a Retry-After of %s", id, r.router.settings.Name, u.id, now.Sub(r.at), r.until.Sub(r.at))
		}
	}
}

// refuseBusy answers a request with a Retry-After.
func (u *upstream) refuseBusy(id string) dialect.Answer {
	from, known := u.harness.senderOf(id)
	u.mu.Lock()
	defer u.mu.Unlock()
	answer := dialect.Answer{ID: protocol.RequestID(id), NotRun: true, RetryAfter: 800*time.Millisecond + time.Duration(u.random.IntN(int(1700*time.Millisecond)))}
	if known {
		now := time.Now()
		u.refusals = append(u.refusals, &refusal{router: from.router, at: now, until: now.Add(answer.RetryAfter)})
	}
	return answer
}

// beBusy makes the upstream refuse all requests for a while.
func (u *upstream) beBusy() {
	u.setBusy(true)
	time.Sleep(2500 * time.Millisecond)
	u.setBusy(false)
}

func (u *upstream) setBusy(busy bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy = busy
}

// leaveUnannounced makes the upstream say in its answers alone that it leaves, and stop.
func (u *upstream) leaveUnannounced() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	time.Sleep(leaveWithin + 1500*time.Millisecond)
	u.stop()
}
