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

// start sends a request to its upstream and tells the entry router.
func (n *Node) start(now time.Duration, target *ownedUpstream, r *relay, why reason.Code) {
	r.sentAt = now
	r.lastProgress = now
	target.running[r.place.Attempt] = r
	n.running[r.place.Attempt] = target
	n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{
		Outcome:    fleet.PlaceStarted,
		Reason:     string(why),
		Verdict:    uint8(r.placeAnswer.Verdict),
		Bound:      string(r.placeAnswer.Reason),
		SavedShare: r.placeAnswer.SavedShare,
		Ratio:      r.placeAnswer.Ratio,
	})
	if target.isEngine() {
		n.quarantine.Started(now, target.id, quarantine.Digest(r.place.Digest), r.place.Customer)
	}
	if r.place.Order != nil {
		n.startOrderDispatch(now, r)
	} else {
		n.emit(CallUpstream{Attempt: r.place.Attempt, Address: target.config.Address, Place: r.place})
	}
	n.emit(Event{
		Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer,
		Upstream: target.id, Router: r.entryRouter, Kind: "placed", Reason: why,
		Detail: fmt.Sprintf("running %d of %d, load %.2f of the mean, %.0f%% of the prompt cached", len(target.running), target.config.MaxConcurrent, r.placeAnswer.Ratio, 100*r.placeAnswer.SavedShare),
	})
}

// handleUpstreamChunk relays a chunk of an answer to the entry router.
func (n *Node) handleUpstreamChunk(now time.Duration, in UpstreamChunk) {
	target := n.running[in.Chunk.Attempt]
	if target == nil {
		return
	}
	r := target.running[in.Chunk.Attempt]
	n.recordProgress(now, target, r)
	if r.dispatch != nil {
		r.dispatch.addChunk(in.Chunk)
		return
	}
	n.send(r.entryRouter, in.Chunk)
}

// tokenTimeWeight is the weight of a new sample in the moving average of token
// times.
const tokenTimeWeight = 0.05

// recordProgress records how long the upstream took for a chunk.
func (n *Node) recordProgress(now time.Duration, target *ownedUpstream, r *relay) {
	wait := now - r.lastProgress
	phase := stream.NextToken
	if r.chunks == 0 {
		r.begunAt = now
		phase = stream.FirstToken
		n.recordDone(target, r, r.cost-float64(r.placeQuery.OutputTokens))
	} else {
		n.recordDone(target, r, 1)
		target.tokenTime += time.Duration(tokenTimeWeight * float64(wait-target.tokenTime))
	}
	if r.place.Streamed {
		target.waitEstimator.Observe(stream.Sample{Phase: phase, Wait: wait})
	}
	r.chunks++
	r.lastProgress = now
}

// recordDone records work that the upstream has done, in tokens. It is counted
// as it is done and not at the end of each answer: otherwise an engine that has
// just filled up would look to the queue like an engine that does nothing.
func (n *Node) recordDone(target *ownedUpstream, r *relay, tokens float64) {
	tokens = min(tokens, r.cost-r.doneCost)
	whole := int(r.doneCost+tokens) - int(r.doneCost)
	r.doneCost += tokens
	target.unreportedTokens += whole
}

// updateQueue tells the queue how many tokens the streams have produced since
// the last call.
func (n *Node) updateQueue(now time.Duration, target *ownedUpstream) {
	if target.unreportedTokens == 0 && len(target.running) == 0 {
		return
	}
	target.queue.RecordProgress(now, target.unreportedTokens, len(target.running))
	target.unreportedTokens = 0
}

// handleUpstreamEnd handles the end of an upstream call. The end of an engine's
// call without an answer is held back until it is known whether the engine
// crashed.
func (n *Node) handleUpstreamEnd(now time.Duration, in UpstreamEnd) {
	target := n.running[in.Attempt]
	if target == nil {
		return
	}
	r := target.running[in.Attempt]
	if in.RetryAfter > 0 {
		n.pauseUpstream(now, target, in.RetryAfter)
	}
	if !in.Sent {
		n.setUnconnected(now, target)
	}
	if r.dispatch != nil {
		n.dispatchEnded(now, target, r, in)
		return
	}
	if !in.Complete && target.isEngine() && in.Status == 0 && !in.TooLong {
		n.suspendBrokenCall(now, target, r, in)
		return
	}
	n.closeRelay(now, target, r, in)
}

// pauseUpstream records that an upstream wants no requests for some time. Those that wait for
// it go elsewhere.
func (n *Node) pauseUpstream(now time.Duration, target *ownedUpstream, length time.Duration) {
	target.pausedUntil = max(target.pausedUntil, now+length)
	n.returnWaiting(now, target, reason.UpstreamRefused)
}

// closeRelay removes an ended call and tells the entry router how it ended.
func (n *Node) closeRelay(now time.Duration, target *ownedUpstream, r *relay, in UpstreamEnd) {
	ending := quarantine.Interrupted
	end := fleet.End{Attempt: in.Attempt, Outcome: failedOutcome(in.Sent), Reason: string(failedReason(in))}
	if in.Complete {
		ending = quarantine.Completed
		n.crashParts.answered.Note(now, r.place.Parts)
		end = fleet.End{Attempt: in.Attempt, Complete: true, Outcome: protocol.Ran, CachedTokens: in.CachedTokens}
	}
	n.removeRelay(now, target, r, ending, in.CachedTokens, in.Complete)
	n.send(r.entryRouter, end)
	n.emit(Event{
		Request: in.Attempt.Request, Attempt: in.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
		Kind: "ended", Reason: endReason(in), Detail: fmt.Sprintf("status %d, cached %d of %d prompt tokens", in.Status, in.CachedTokens, r.place.PromptTokens),
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
	switch {
	case in.TooLong:
		return reason.AnswerTooLong
	case in.Status != 0:
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

// removeRelay removes an attempt and its load from its upstream.
func (n *Node) removeRelay(now time.Duration, target *ownedUpstream, r *relay, ending quarantine.RunEnd, cached int, complete bool) {
	delete(target.running, r.place.Attempt)
	delete(n.running, r.place.Attempt)
	// The part of the estimated cost that the answer did not need counts as done
	// too.
	n.recordDone(target, r, r.cost-r.doneCost)
	if !target.isEngine() {
		return
	}
	if !complete {
		cached = -1
	}
	n.placer.Finish(now, r.placeAnswer.Ticket, r.placeAnswer.Hit, cached)
	n.quarantine.Ended(now, target.id, quarantine.Digest(r.place.Digest), ending)
}

// handleCancel cancels an attempt that runs, is queued or is held for a trial.
func (n *Node) handleCancel(now time.Duration, in PeerCancel) {
	attempt := in.Cancel.Attempt
	if target := n.running[attempt]; target != nil {
		r := target.running[attempt]
		target.crash.remove(attempt)
		n.removeRelay(now, target, r, quarantine.Interrupted, 0, false)
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
		target.heldForTrial = slices.DeleteFunc(target.heldForTrial, func(r *relay) bool { return r.place.Attempt == attempt })
	}
}

// tickOwnedUpstreams acts on everything that is due on the owned upstreams.
func (n *Node) tickOwnedUpstreams(now time.Duration) {
	for _, target := range n.ownedInOrder() {
		n.updateQueue(now, target)
		n.failStalled(now, target)
		n.refuseExpired(now, target)
		n.advanceCrashDetection(now, target)
		n.probeUnconnected(now, target)
		n.removeIfSilent(now, target)
		n.startQueued(now, target)
		n.returnForReoffer(now, target)
	}
}

// failStalled cancels calls that have been silent for longer than the upstream's
// recent answers allow: the connection is silent, or the engine hangs. The entry
// router resumes the answer over a new connection first, then on another
// upstream.
func (n *Node) failStalled(now time.Duration, target *ownedUpstream) {
	for _, r := range target.runningInOrder() {
		if r.dispatch != nil {
			n.tickDispatch(now, target, r)
			continue
		}
		if target.crash.isSuspended(r.place.Attempt) || now-r.lastProgress <= n.allowedSilence(target, r) {
			continue
		}
		n.removeRelay(now, target, r, quarantine.Interrupted, 0, false)
		n.emit(CancelUpstream{Attempt: r.place.Attempt})
		n.send(r.entryRouter, fleet.End{Attempt: r.place.Attempt, Outcome: protocol.UnknownRun, Reason: string(reason.UpstreamStalled)})
		n.emit(Event{
			Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
			Kind: "stalled", Reason: reason.UpstreamStalled, Detail: fmt.Sprintf("silent for %v after %d chunks", (now - r.lastProgress).Round(time.Millisecond), r.chunks),
		})
	}
}

// allowedSilence is how long an upstream may take for the next chunk. Only a
// token stream is expected to arrive steadily; any other answer may arrive all
// at once at its end, so it may take until its deadline.
func (n *Node) allowedSilence(target *ownedUpstream, r *relay) time.Duration {
	if !r.place.Streamed {
		return max(n.config.StallTimeout, r.deadline-r.sentAt)
	}
	phase := stream.NextToken
	if r.chunks == 0 {
		phase = stream.FirstToken
	}
	return target.waitEstimator.MaxSilence(phase)
}

func (t *ownedUpstream) runningInOrder() []*relay {
	list := make([]*relay, 0, len(t.running))
	for _, r := range t.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *relay) int { return compareAttempts(a.place.Attempt, b.place.Attempt) })
	return list
}

// handleEntryLost cancels the attempts of an unreachable entry router, because
// nobody receives their answers any more. Orders that were sent to their
// upstream continue, because the journal records their answers.
func (n *Node) handleEntryLost(now time.Duration, peer protocol.RouterID) {
	for _, target := range n.ownedInOrder() {
		for _, r := range target.runningInOrder() {
			if r.entryRouter == peer && r.dispatch == nil {
				n.removeRelay(now, target, r, quarantine.Interrupted, 0, false)
				n.emit(CancelUpstream{Attempt: r.place.Attempt})
			}
		}
		for id, r := range target.waiting {
			if r.entryRouter == peer {
				target.queue.Cancel(now, id)
				delete(target.waiting, id)
			}
		}
		target.heldForTrial = slices.DeleteFunc(target.heldForTrial, func(r *relay) bool { return r.entryRouter == peer })
		n.startQueued(now, target)
	}
}
