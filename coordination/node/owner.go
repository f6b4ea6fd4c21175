package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

// silentAfter is how long an upstream may go without an announcement before
// it gets no new work: three missed ones.
const silentAfter = 3*upstreamapi.AnnounceInterval + upstreamapi.AnnounceInterval/2

// removeAfter is how long an upstream may be silent before it is taken out of
// the replicated state. It is much longer than silentAfter, so that a short
// silence moves no chats for good.
const removeAfter = 10 * time.Second

// owned is an upstream that this router owns, or still relays for.
type owned struct {
	id     protocol.UpstreamID
	config *Upstream
	// holds says that the view names this router as the owner.
	holds bool
	// running holds the attempts that were sent to the upstream.
	running map[fleet.Attempt]*relay
	queue   []*relay
	// load is the outstanding work in tokens.
	load float64
	// leaving is set by a goodbye or by an announcement that says so.
	leaving     bool
	incarnation uint64
	sequence    uint64
	announced   time.Duration
	reported    upstreamapi.Load
}

// relay is one attempt on the owner's side.
type relay struct {
	place    fleet.Place
	from     protocol.RouterID
	cost     float64
	deadline time.Duration
	// progress is when the upstream last sent something.
	progress time.Duration
	// dispatch is set for an order.
	dispatch *dispatch
}

// ownerPlace decides on a request for an upstream: start, queue, spill or
// refuse.
//
// Load: any mix; the harm prevented is an upstream with more work than its
// share, which makes every caller on it wait. The limits: only the holder of
// the upstream's ownership admits, and only under a valid lease, so that the
// count is exact; no more than the upstream runs at once, because what waits
// inside an engine no longer obeys priorities.
func (n *Node) ownerPlace(now time.Duration, in PeerPlace) {
	target := n.owned[in.Place.Upstream]
	if !n.mayServe(now) || target == nil || !target.holds || target.config.Fence != in.Place.Fence {
		n.replyPlace(in, fleet.PlaceNotOwner, reason.NotOwner, 0)
		return
	}
	if why, usable := n.usable(now, target); !usable {
		n.replyPlace(in, fleet.PlaceSpilled, why, 0)
		return
	}
	fresh := &relay{
		place:    in.Place,
		from:     in.From,
		cost:     float64(in.Place.PromptTokens + in.Place.OutputTokens),
		deadline: now + time.Duration(in.Place.RemainingMS)*time.Millisecond,
	}
	if len(target.queue) == 0 && n.hasRoom(target, fresh.cost) {
		n.start(now, target, fresh)
		return
	}
	if !in.Place.MayQueue {
		n.replyPlace(in, fleet.PlaceSpilled, reason.Saturated, 0)
		return
	}
	n.enqueue(now, target, fresh)
}

// usable says whether an upstream may get new work at all.
func (n *Node) usable(now time.Duration, target *owned) (reason.Code, bool) {
	if target.leaving || target.config.Drain || n.draining {
		return reason.UpstreamLeaving, false
	}
	if now-target.announced > silentAfter {
		return reason.UpstreamSilent, false
	}
	return "", true
}

// hasRoom says whether an upstream can take more work now.
func (n *Node) hasRoom(target *owned, cost float64) bool {
	return len(target.running) < target.config.MaxConcurrent
}

func (n *Node) enqueue(now time.Duration, target *owned, fresh *relay) {
	in := PeerPlace{From: fresh.from, Place: fresh.place}
	if len(target.queue) >= n.config.QueueLimit {
		n.replyPlace(in, fleet.PlaceRefused, reason.QueueFull, statusRetryAfter)
		return
	}
	target.queue = append(target.queue, fresh)
	n.replyPlace(in, fleet.PlaceQueued, reason.Saturated, 0)
}

// start sends a request to its upstream.
func (n *Node) start(now time.Duration, target *owned, r *relay) {
	r.progress = now
	target.running[r.place.Attempt] = r
	target.load += r.cost
	n.running[r.place.Attempt] = target
	n.replyPlace(PeerPlace{From: r.from, Place: r.place}, fleet.PlaceStarted, reason.FirstChoice, 0)
	if r.place.Order != nil {
		n.startDispatch(now, r)
	} else {
		n.emit(CallUpstream{Attempt: r.place.Attempt, Address: target.config.Address, Place: r.place})
	}
	n.emit(Event{
		Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer,
		Upstream: target.id, Router: r.from, What: "placed", Reason: reason.FirstChoice,
		Detail: fmt.Sprintf("running %d of %d, load %.0f tokens", len(target.running), target.config.MaxConcurrent, target.load),
	})
}

func (n *Node) replyPlace(in PeerPlace, outcome fleet.PlaceOutcome, why reason.Code, wait time.Duration) {
	n.send(in.From, fleet.PlaceReply{
		Attempt:      in.Place.Attempt,
		Outcome:      outcome,
		Reason:       string(why),
		RetryAfterMS: wait.Milliseconds(),
	})
}

// ownerChunk relays a piece of an answer.
func (n *Node) ownerChunk(now time.Duration, in UpstreamChunk) {
	target := n.running[in.Chunk.Attempt]
	if target == nil {
		return
	}
	r := target.running[in.Chunk.Attempt]
	r.progress = now
	if r.dispatch != nil {
		r.dispatch.take(in.Chunk)
		return
	}
	n.send(r.from, in.Chunk)
}

// ownerEnd closes an upstream call and tells the entry how it ended.
func (n *Node) ownerEnd(now time.Duration, in UpstreamEnd) {
	target := n.running[in.Attempt]
	if target == nil {
		return
	}
	if r := target.running[in.Attempt]; r.dispatch != nil {
		n.dispatchEnded(now, target, r, in)
		return
	}
	r := n.drop(target, in.Attempt)
	end := fleet.End{Attempt: in.Attempt, Complete: in.Complete, Outcome: protocol.Ran, CachedTokens: in.CachedTokens}
	if !in.Complete {
		end.Outcome = failedOutcome(in.Sent)
		end.Reason = string(reason.UpstreamFailed)
	}
	n.send(r.from, end)
	n.emit(Event{
		Request: in.Attempt.Request, Attempt: in.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
		What: "ended", Reason: endReason(in.Complete), Detail: fmt.Sprintf("status %d, cached %d tokens", in.Status, in.CachedTokens),
	})
	n.startQueued(now, target)
}

func failedOutcome(sent bool) protocol.RunOutcome {
	if sent {
		return protocol.UnknownRun
	}
	return protocol.NotRun
}

func endReason(complete bool) reason.Code {
	if complete {
		return reason.Completed
	}
	return reason.UpstreamFailed
}

// drop takes an attempt out of the count of its upstream.
func (n *Node) drop(target *owned, attempt fleet.Attempt) *relay {
	r := target.running[attempt]
	delete(target.running, attempt)
	delete(n.running, attempt)
	target.load -= r.cost
	return r
}

// ownerCancel gives up an attempt, wherever it stands.
func (n *Node) ownerCancel(now time.Duration, in PeerCancel) {
	attempt := in.Cancel.Attempt
	if target := n.running[attempt]; target != nil {
		n.drop(target, attempt)
		n.emit(CancelUpstream{Attempt: attempt})
		n.startQueued(now, target)
		return
	}
	for _, target := range n.owned {
		target.queue = slices.DeleteFunc(target.queue, func(r *relay) bool { return r.place.Attempt == attempt })
	}
}

// startQueued starts what waits while there is room.
func (n *Node) startQueued(now time.Duration, target *owned) {
	for len(target.queue) > 0 && n.mayServe(now) && target.holds {
		if _, usable := n.usable(now, target); !usable {
			return
		}
		r := target.queue[0]
		if !n.hasRoom(target, r.cost) {
			return
		}
		target.queue = target.queue[1:]
		n.start(now, target, r)
	}
}

// tickOwned meets the owner's deadlines, upstream by upstream in order of
// their IDs so that a replay gives the same outputs.
func (n *Node) tickOwned(now time.Duration) {
	for _, target := range n.ownedInOrder() {
		n.failStalled(now, target)
		n.refuseLate(now, target)
		n.watchSilence(now, target)
		n.startQueued(now, target)
	}
}

func (n *Node) ownedInOrder() []*owned {
	list := make([]*owned, 0, len(n.owned))
	for _, target := range n.owned {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b *owned) int { return cmp.Compare(a.id, b.id) })
	return list
}

// failStalled ends calls whose upstream makes no progress: a connection gone
// silent or a stuck engine. The entry resumes the answer elsewhere.
func (n *Node) failStalled(now time.Duration, target *owned) {
	var stalled []fleet.Attempt
	for attempt, r := range target.running {
		if r.dispatch != nil {
			n.tickDispatch(now, target, r)
			continue
		}
		if now-r.progress > n.config.Stall {
			stalled = append(stalled, attempt)
		}
	}
	sortAttempts(stalled)
	for _, attempt := range stalled {
		r := n.drop(target, attempt)
		n.emit(CancelUpstream{Attempt: attempt})
		n.send(r.from, fleet.End{Attempt: attempt, Outcome: protocol.UnknownRun, Reason: string(reason.UpstreamStalled)})
	}
}

func sortAttempts(attempts []fleet.Attempt) {
	slices.SortFunc(attempts, func(a, b fleet.Attempt) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number))
	})
}

// refuseLate answers at once what waited past its deadline.
func (n *Node) refuseLate(now time.Duration, target *owned) {
	kept := target.queue[:0]
	for _, r := range target.queue {
		if now < r.deadline {
			kept = append(kept, r)
			continue
		}
		n.replyPlace(PeerPlace{From: r.from, Place: r.place}, fleet.PlaceRefused, reason.DeadlinePassed, statusRetryAfter)
	}
	target.queue = kept
}

// ownedLostEntry cancels what was relayed to a router that is gone: nobody
// takes those answers any more.
func (n *Node) ownedLostEntry(now time.Duration, peer protocol.RouterID) {
	for _, target := range n.ownedInOrder() {
		var orphaned []fleet.Attempt
		for attempt, r := range target.running {
			if r.from == peer && r.dispatch == nil {
				orphaned = append(orphaned, attempt)
			}
		}
		sortAttempts(orphaned)
		for _, attempt := range orphaned {
			n.drop(target, attempt)
			n.emit(CancelUpstream{Attempt: attempt})
		}
		target.queue = slices.DeleteFunc(target.queue, func(r *relay) bool { return r.from == peer })
		n.startQueued(now, target)
	}
}
