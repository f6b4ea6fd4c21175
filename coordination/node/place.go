package node

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

const (
	// maxServersAsked is the number of servers of a plain service that are asked
	// to start a request before the request is queued at the first one.
	maxServersAsked = 3
	// noOwnerRetryInterval is how long a request waits before it looks again for
	// an upstream that has an owner.
	noOwnerRetryInterval = 200 * time.Millisecond
)

// place starts the search for an upstream from the beginning.
func (n *Node) place(now time.Duration, e *entryRequest) {
	if e.template.Model == "" {
		e.candidates = n.rankServers(e)
		e.next = 0
		n.askNextServer(now, e)
		return
	}
	if e.begun && !n.anyOfBuild(e) {
		n.giveUp(now, e, 502, reason.OtherBuild, "no upstream has the version of the software that began the answer", 0)
		return
	}
	e.walking = false
	if e.template.Suspect && n.placeSuspect(now, e) {
		return
	}
	e.walking = true
	e.reportedLoads = nil
	e.walk = placement.StartWalk(n.setFor(e), n.policy, placement.Request{
		Chain:        e.chain,
		RootIndex:    e.template.RootIndex,
		OutputTokens: e.template.OutputTokens,
	})
	n.stepWalk(now, e)
}

// setFor returns the upstreams that serve a request's model, without those on which it has
// failed and, for an answer that has begun, those of another build. If no other upstream is left,
// it returns also those on which it has failed.
func (n *Node) setFor(e *entryRequest) *placement.Set {
	if len(e.failedUpstreams) == 0 && !e.begun {
		return n.placementSets[e.template.Model]
	}
	if members := n.membersFor(e); len(members) > 0 {
		return newSet(n.view.Revision, members)
	}
	e.failedUpstreams = nil
	if !e.begun {
		return n.placementSets[e.template.Model]
	}
	return newSet(n.view.Revision, n.membersFor(e))
}

// membersFor returns the upstreams of a request's model that may get it and on which it hasn't
// failed.
func (n *Node) membersFor(e *entryRequest) []placement.Member {
	var members []placement.Member
	for _, upstream := range n.view.Models[e.template.Model] {
		if upstream.placeable() && e.fits(upstream) && !slices.Contains(e.failedUpstreams, upstream.ID) {
			members = append(members, placement.Member{ID: upstream.ID, Weight: upstream.Capacity})
		}
	}
	return members
}

// fits reports whether an upstream may go on with the answer: it hasn't begun, or at the
// upstream's build.
func (e *entryRequest) fits(upstream *Upstream) bool { return !e.begun || upstream.Build == e.build }

// anyOfBuild reports whether any upstream of the request's model has the build that began the
// answer, whether or not it may get requests now.
func (n *Node) anyOfBuild(e *entryRequest) bool {
	return slices.ContainsFunc(n.view.Models[e.template.Model], e.fits)
}

// newSet builds a placement set. The caller guarantees that the weights are
// valid.
func newSet(version uint64, members []placement.Member) *placement.Set {
	set, err := placement.NewSet(version, members)
	if err != nil {
		panic(fmt.Sprintf("node: can't build a placement set from the view of revision %d: %v", version, err))
	}
	return set
}

// placeable reports whether requests may be placed on an upstream.
func (u *Upstream) placeable() bool {
	return u.Owner != "" && !u.Drain && !u.Moving && u.Capacity > 0
}

// placeSuspect sends a request that was in flight at a crash to the upstream on
// which all copies of the request are tried, one at a time.
func (n *Node) placeSuspect(now time.Duration, e *entryRequest) bool {
	var candidates []protocol.UpstreamID
	for _, upstream := range n.view.Models[e.template.Model] {
		if upstream.placeable() && e.fits(upstream) {
			candidates = append(candidates, upstream.ID)
		}
	}
	chosen, found := quarantine.TrialUpstream(quarantine.Digest(e.template.Digest), candidates)
	if !found {
		return false
	}
	n.sendPlace(now, e, n.view.Upstreams[chosen], placement.StageFinal, false)
	return true
}

// stepWalk asks the next owner of the walk, or handles the end of the walk.
func (n *Node) stepWalk(now time.Duration, e *entryRequest) {
	step, more := e.walk.Next()
	if !more {
		n.walkEnded(now, e)
		return
	}
	upstream := n.view.Upstreams[step.Query.Upstream]
	if upstream == nil || !upstream.placeable() || !e.fits(upstream) {
		e.walk.HandleAnswer(placement.NoAnswer)
		n.stepWalk(now, e)
		return
	}
	n.sendPlace(now, e, upstream, step.Query.Stage, step.Query.FirstChoice)
}

// walkEnded handles the end of a walk. If the walk found no upstream, the
// request waits until one has an owner.
func (n *Node) walkEnded(now time.Duration, e *entryRequest) {
	if e.walk.Result().Verdict != placement.Refused {
		return
	}
	n.waitForOwner(now, e)
}

// waitForOwner makes the request look for an upstream again after
// noOwnerRetryInterval. Ownerships change within seconds.
func (n *Node) waitForOwner(now time.Duration, e *entryRequest) {
	e.failedUpstreams = nil
	e.phase = phaseWaiting
	e.wakeAt = now + noOwnerRetryInterval
}

// notifyFirstChoice tells the owner of a chat's first choice on which upstream
// the chat runs instead, so that the owner can refer the next turn there.
func (n *Node) notifyFirstChoice(result placement.Result, e *entryRequest) {
	if !result.Moved {
		return
	}
	firstChoice := n.view.Upstreams[result.FirstChoice]
	if firstChoice == nil || firstChoice.Owner == "" {
		return
	}
	root := e.chain[e.template.RootIndex].Hash
	n.send(firstChoice.Owner, fleet.ChatMoved{FirstChoice: result.FirstChoice, Root: uint64(root), Ran: result.Upstream})
}

// rankServers sorts the servers of a plain service by weighted rendezvous
// hashing of the request ID, which spreads requests evenly and needs no state.
func (n *Node) rankServers(e *entryRequest) []*Upstream {
	var ranked []*Upstream
	for _, upstream := range n.view.Services[e.service] {
		if upstream.placeable() && !slices.Contains(e.failedUpstreams, upstream.ID) {
			ranked = append(ranked, upstream)
		}
	}
	key := xxhash.Sum64String(string(e.request.ID))
	slices.SortFunc(ranked, func(a, b *Upstream) int {
		return cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a))
	})
	return ranked
}

// rendezvousScore is an upstream's score for a key, weighted by its capacity.
func rendezvousScore(key uint64, upstream *Upstream) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(string(upstream.ID))
	// 53 random bits give a float64 in (0, 1).
	unit := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -upstream.Capacity / math.Log(unit)
}

// askNextServer asks the owner of the next server. After maxServersAsked
// servers it asks the owner of the first one to queue the request.
func (n *Node) askNextServer(now time.Duration, e *entryRequest) {
	if len(e.candidates) == 0 {
		n.waitForOwner(now, e)
		return
	}
	stage := placement.StageInOrder
	index := e.next
	if e.next >= min(maxServersAsked, len(e.candidates)) {
		stage = placement.StageFinal
		index = 0
	}
	e.next++
	n.sendPlace(now, e, e.candidates[index], stage, false)
}

// sendPlace starts a new attempt and sends its Place to the upstream's owner.
func (n *Node) sendPlace(now time.Duration, e *entryRequest, upstream *Upstream, stage placement.Stage, firstChoice bool) {
	e.attempt++
	if e.assembler != nil && e.attempt > 1 {
		e.assembler.Begin(int(e.attempt))
	}
	e.upstream = upstream
	e.phase = phasePlacing
	e.lastProgress = now
	e.checkedAt = 0
	message := e.template
	message.Attempt = e.current()
	message.Upstream = upstream.ID
	message.Fence = upstream.Fence
	message.ResumeAt = e.delivered()
	message.OnlyBuild, message.Build = e.begun, e.build
	message.Stage = uint8(stage)
	message.FirstChoice = firstChoice
	message.OthersLoad = e.othersLoad(upstream.ID)
	message.RemainingMS = (e.deadline - now).Milliseconds()
	n.send(upstream.Owner, message)
}

// reportedLoad is an upstream's load as its owner reported it.
type reportedLoad struct {
	upstream protocol.UpstreamID
	tokens   float64
}

// recordLoad records the load of the current upstream for the next Place of
// this walk.
func (e *entryRequest) recordLoad(tokens float64) {
	for i := range e.reportedLoads {
		if e.reportedLoads[i].upstream == e.upstream.ID {
			e.reportedLoads[i].tokens = tokens
			return
		}
	}
	e.reportedLoads = append(e.reportedLoads, reportedLoad{e.upstream.ID, tokens})
}

// othersLoad sums the reported loads of all other upstreams.
func (e *entryRequest) othersLoad(id protocol.UpstreamID) float64 {
	sum := 0.0
	for _, seen := range e.reportedLoads {
		if seen.upstream != id {
			sum += seen.tokens
		}
	}
	return sum
}

// handlePlaceReply handles an owner's decision on a Place.
func (n *Node) handlePlaceReply(now time.Duration, in PeerPlaceReply) {
	e := n.currentEntry(in.Reply.Attempt)
	if e == nil {
		return
	}
	e.lastProgress = now
	switch in.Reply.Outcome {
	case fleet.PlaceStarted:
		n.handlePlaceStarted(e, in.Reply)
	case fleet.PlaceQueued:
		e.phase = phaseQueued
		n.endWalk(e, placement.Answer{Verdict: placement.Queued})
	case fleet.PlaceSpilled:
		n.handlePlaceSpilled(now, e, in.Reply)
	case fleet.PlaceNotOwner:
		n.handleNotOwner(now, e)
	case fleet.PlaceRefused:
		n.handlePlaceRefused(now, e, in.Reply)
	}
}

// handlePlaceStarted records that the upstream has the request.
func (n *Node) handlePlaceStarted(e *entryRequest, reply fleet.PlaceReply) {
	if e.phase == phasePlacing {
		n.endWalk(e, walkAnswer(reply))
	}
	e.phase = phaseRunning
}

// endWalk ends a chat's walk with the answer of the owner that accepted it.
func (n *Node) endWalk(e *entryRequest, answer placement.Answer) {
	if !e.walking {
		return
	}
	e.walk.HandleAnswer(answer)
	n.notifyFirstChoice(e.walk.Result(), e)
}

// walkAnswer converts an owner's reply for the walk.
func walkAnswer(reply fleet.PlaceReply) placement.Answer {
	return placement.Answer{
		Verdict:    placement.Verdict(reply.Verdict),
		Reason:     loadbound.Reason(reply.Bound),
		Forward:    reply.Forward,
		SavedShare: reply.SavedShare,
		Ratio:      reply.Ratio,
	}
}

// handlePlaceSpilled asks the next owner after one spilled the request: it did not
// start the request, and did not queue it or returned it from its queue.
func (n *Node) handlePlaceSpilled(now time.Duration, e *entryRequest, reply fleet.PlaceReply) {
	e.recordLoad(reply.Load)
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, Kind: "spilled", Reason: reason.Code(reply.Reason)})
	if e.phase == phaseQueued {
		// The owner returned it from its queue: search from the beginning.
		n.place(now, e)
		return
	}
	if e.template.Model == "" {
		n.askNextServer(now, e)
		return
	}
	if !e.walking {
		n.waitForOwner(now, e)
		return
	}
	e.walk.HandleAnswer(walkAnswer(reply))
	n.stepWalk(now, e)
}

// handleNotOwner continues the search after the asked router could not accept
// the request as the upstream's owner.
func (n *Node) handleNotOwner(now time.Duration, e *entryRequest) {
	if e.phase == phaseQueued || !e.walking {
		// The walk has ended, or the request has none: wait, then start a new
		// search.
		n.waitForOwner(now, e)
		return
	}
	e.walk.HandleAnswer(placement.NoAnswer)
	n.stepWalk(now, e)
}

// handlePlaceRefused refuses the caller's request at once after an owner has
// refused it. This attempt sent no byte to an upstream; the outcome that the
// caller gets depends on whether an earlier attempt did.
func (n *Node) handlePlaceRefused(now time.Duration, e *entryRequest, reply fleet.PlaceReply) {
	if e.order != nil {
		n.orderRefused(now, e)
		return
	}
	e.phase = phaseWaiting
	wait := time.Duration(reply.RetryAfterMS) * time.Millisecond
	n.giveUp(now, e, 503, reason.Code(reply.Reason), "the upstreams are busy", wait)
}
