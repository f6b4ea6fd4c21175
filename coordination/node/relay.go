package node

import (
	"fmt"
	"slices"
	"time"

	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/coordination/stream"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// start sends a request to its upstream.
func (n *Node) start(now time.Duration, target *owned, r *relay, why reason.Code) {
	r.sentAt = now
	r.progress = now
	target.running[r.place.Attempt] = r
	n.running[r.place.Attempt] = target
	n.replyPlace(r.from, r.place, fleet.PlaceReply{
		Outcome:    fleet.PlaceStarted,
		Reason:     string(why),
		Verdict:    uint8(r.answer.Verdict),
		Bound:      string(r.answer.Reason),
		SavedShare: r.answer.SavedShare,
		Ratio:      r.answer.Ratio,
	})
	if target.isEngine() {
		n.crashes.Started(now, target.id, quarantine.Digest(r.place.Digest), r.place.Customer)
	}
	if r.place.Order != nil {
		n.startDispatch(now, r)
	} else {
		n.emit(CallUpstream{Attempt: r.place.Attempt, Address: target.config.Address, Place: r.place})
	}
	n.emit(Event{
		Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer,
		Upstream: target.id, Router: r.from, What: "placed", Reason: why,
		Detail: fmt.Sprintf("running %d of %d, load %.2f of the mean, %.0f%% of the prompt cached", len(target.running), target.config.MaxConcurrent, r.answer.Ratio, 100*r.answer.SavedShare),
	})
}

// ownerChunk relays a piece of an answer.
func (n *Node) ownerChunk(now time.Duration, in UpstreamChunk) {
	target := n.running[in.Chunk.Attempt]
	if target == nil {
		return
	}
	r := target.running[in.Chunk.Attempt]
	n.noteProgress(now, target, r)
	if r.dispatch != nil {
		r.dispatch.take(in.Chunk)
		return
	}
	n.send(r.from, in.Chunk)
}

// paceMemory is the weight of one new token time in the average.
const paceMemory = 0.05

// noteProgress teaches the upstream's pace.
func (n *Node) noteProgress(now time.Duration, target *owned, r *relay) {
	wait := now - r.progress
	phase := stream.NextToken
	if r.chunks == 0 {
		phase = stream.FirstToken
		n.drained(target, r, r.cost-float64(r.ask.OutputTokens))
	} else {
		n.drained(target, r, 1)
		target.tokenTime += time.Duration(paceMemory * float64(wait-target.tokenTime))
	}
	if r.place.Streamed {
		target.pace.Observe(stream.Sample{Phase: phase, Wait: wait})
	}
	r.chunks++
	r.progress = now
}

// drained notes work that the upstream has done. Counting it as
// it is done, and not at the end of each answer, keeps the queue from taking
// an engine that has just filled up for one that does nothing.
func (n *Node) drained(target *owned, r *relay, tokens float64) {
	tokens = min(tokens, r.cost-r.drained)
	whole := int(r.drained+tokens) - int(r.drained)
	r.drained += tokens
	target.done += whole
}

// tellQueue passes on what the streams did since the last time.
func (n *Node) tellQueue(now time.Duration, target *owned) {
	if target.done == 0 && len(target.running) == 0 {
		return
	}
	target.queue.Drained(now, target.done, len(target.running))
	target.done = 0
}

// ownerEnd closes an upstream call and tells the entry how it ended.
func (n *Node) ownerEnd(now time.Duration, in UpstreamEnd) {
	target := n.running[in.Attempt]
	if target == nil {
		return
	}
	r := target.running[in.Attempt]
	if r.dispatch != nil {
		n.dispatchEnded(now, target, r, in)
		return
	}
	if !in.Complete && target.isEngine() && in.Status == 0 {
		n.suspectCrash(now, target, r, in)
		return
	}
	n.closeRelay(now, target, r, in)
}

// closeRelay takes an ended call off the count and tells the entry.
func (n *Node) closeRelay(now time.Duration, target *owned, r *relay, in UpstreamEnd) {
	ending := quarantine.Interrupted
	end := fleet.End{Attempt: in.Attempt, Outcome: failedOutcome(in.Sent), Reason: string(failedReason(in))}
	if in.Complete {
		ending = quarantine.Completed
		end = fleet.End{Attempt: in.Attempt, Complete: true, Outcome: protocol.Ran, CachedTokens: in.CachedTokens}
	}
	n.drop(now, target, r, ending, in.CachedTokens, in.Complete)
	n.send(r.from, end)
	n.emit(Event{
		Request: in.Attempt.Request, Attempt: in.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
		What: "ended", Reason: endReason(in), Detail: fmt.Sprintf("status %d, cached %d of %d prompt tokens", in.Status, in.CachedTokens, r.place.PromptTokens),
	})
	n.startQueued(now, target)
}

func failedOutcome(sent bool) protocol.RunOutcome {
	if sent {
		return protocol.UnknownRun
	}
	return protocol.NotRun
}

func failedReason(in UpstreamEnd) reason.Code {
	if in.Status != 0 {
		return reason.UpstreamRefused
	}
	return reason.UpstreamFailed
}

func endReason(in UpstreamEnd) reason.Code {
	if in.Complete {
		return reason.Completed
	}
	return failedReason(in)
}

// drop takes an attempt out of every count of its upstream.
func (n *Node) drop(now time.Duration, target *owned, r *relay, ending quarantine.End, cached int, whole bool) {
	delete(target.running, r.place.Attempt)
	delete(n.running, r.place.Attempt)
	// What the answer did not need of its estimate is room as well.
	n.drained(target, r, r.cost-r.drained)
	if !target.isEngine() {
		return
	}
	if !whole {
		cached = -1
	}
	n.placer.Finish(now, r.answer.Ticket, r.answer.Hit, cached)
	n.crashes.Ended(now, target.id, quarantine.Digest(r.place.Digest), ending)
}

// ownerCancel gives up an attempt, wherever it stands.
func (n *Node) ownerCancel(now time.Duration, in PeerCancel) {
	attempt := in.Cancel.Attempt
	if target := n.running[attempt]; target != nil {
		r := target.running[attempt]
		target.crash.forget(attempt)
		n.drop(now, target, r, quarantine.Interrupted, 0, false)
		n.emit(CancelUpstream{Attempt: attempt})
		n.startQueued(now, target)
		return
	}
	id := queueID(attempt)
	for _, target := range n.owned {
		if target.waiting[id] != nil {
			target.queue.Cancel(now, id)
			delete(target.waiting, id)
		}
		target.onHold = slices.DeleteFunc(target.onHold, func(r *relay) bool { return r.place.Attempt == attempt })
	}
}

// tickOwned meets the owner's deadlines.
func (n *Node) tickOwned(now time.Duration) {
	for _, target := range n.ownedInOrder() {
		n.tellQueue(now, target)
		n.failStalled(now, target)
		n.refuseLate(now, target)
		n.tickCrash(now, target)
		n.watchSilence(now, target)
		n.startQueued(now, target)
		n.reoffer(now, target)
	}
}

// failStalled ends calls whose upstream makes no progress against what it
// lately delivered: a connection gone silent or a stuck engine. The entry
// resumes the answer over a new connection, then elsewhere.
func (n *Node) failStalled(now time.Duration, target *owned) {
	for _, r := range target.runningInOrder() {
		if r.dispatch != nil {
			n.tickDispatch(now, target, r)
			continue
		}
		if target.crash.holds(r.place.Attempt) || now-r.progress <= n.allowedSilence(target, r) {
			continue
		}
		n.drop(now, target, r, quarantine.Interrupted, 0, false)
		n.emit(CancelUpstream{Attempt: r.place.Attempt})
		n.send(r.from, fleet.End{Attempt: r.place.Attempt, Outcome: protocol.UnknownRun, Reason: string(reason.UpstreamStalled)})
		n.emit(Event{
			Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
			What: "stalled", Reason: reason.UpstreamStalled, Detail: fmt.Sprintf("silent for %v after %d pieces", (now - r.progress).Round(time.Millisecond), r.chunks),
		})
	}
}

// allowedSilence is how long an upstream may take for the next piece. Only a
// token stream has a pace; the whole of another answer comes at its end.
func (n *Node) allowedSilence(target *owned, r *relay) time.Duration {
	if !r.place.Streamed {
		return max(n.config.Stall, r.deadline-r.sentAt)
	}
	phase := stream.NextToken
	if r.chunks == 0 {
		phase = stream.FirstToken
	}
	return target.pace.MaxSilence(phase)
}

func (t *owned) runningInOrder() []*relay {
	list := make([]*relay, 0, len(t.running))
	for _, r := range t.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *relay) int { return compareAttempts(a.place.Attempt, b.place.Attempt) })
	return list
}

// ownedLostEntry cancels what was relayed to a router that is gone: nobody
// takes those answers any more. Orders go on; their answers are recorded.
func (n *Node) ownedLostEntry(now time.Duration, peer protocol.RouterID) {
	for _, target := range n.ownedInOrder() {
		for _, r := range target.runningInOrder() {
			if r.from == peer && r.dispatch == nil {
				n.drop(now, target, r, quarantine.Interrupted, 0, false)
				n.emit(CancelUpstream{Attempt: r.place.Attempt})
			}
		}
		for id, r := range target.waiting {
			if r.from == peer {
				target.queue.Cancel(now, id)
				delete(target.waiting, id)
			}
		}
		target.onHold = slices.DeleteFunc(target.onHold, func(r *relay) bool { return r.from == peer })
		n.startQueued(now, target)
	}
}
