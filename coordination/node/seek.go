package node

import (
	"cmp"
	"encoding/binary"
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
	// maxServiceSpills is how many servers of a plain service are asked
	// before the request queues at the first.
	maxServiceSpills = 3
	// noOwnerRetry is how long a request waits before it looks again for
	// upstreams that have an owner.
	noOwnerRetry = 200 * time.Millisecond
)

// place looks for an upstream from the start.
func (n *Node) place(now time.Duration, e *entry) {
	if e.template.Model == "" {
		e.candidates = n.rankServers(e)
		e.next = 0
		n.askServer(now, e)
		return
	}
	e.walking = false
	if e.template.Suspect && n.placeSuspect(now, e) {
		return
	}
	e.walking = true
	e.seen = nil
	e.walk = placement.StartWalk(n.setFor(e), n.policy, placement.Request{
		Chain:        e.chain,
		RootIndex:    e.template.RootIndex,
		OutputTokens: e.template.OutputTokens,
	})
	n.stepWalk(now, e)
}

// setFor returns the upstreams that serve a request's model, without those
// that it has failed on, unless no other is left.
func (n *Node) setFor(e *entry) *placement.Set {
	set := n.sets[e.template.Model]
	if len(e.avoid) == 0 {
		return set
	}
	var members []placement.Member
	for _, upstream := range n.view.Models[e.template.Model] {
		if upstream.placeable() && !slices.Contains(e.avoid, upstream.ID) {
			members = append(members, placement.Member{ID: upstream.ID, Weight: upstream.Capacity})
		}
	}
	if len(members) == 0 {
		e.avoid = nil
		return set
	}
	return newSet(n.view.Revision, members)
}

// newSet builds a set of members whose weights are known to be good.
func newSet(version uint64, members []placement.Member) *placement.Set {
	set, err := placement.NewSet(version, members)
	if err != nil {
		panic("node: the view holds upstreams that can't be ordered: " + err.Error())
	}
	return set
}

// placeable says whether an upstream may be asked for room.
func (u *Upstream) placeable() bool {
	return u.Owner != "" && !u.Drain && !u.Moving && u.Capacity > 0
}

// placeSuspect sends a request that was in flight at a crash to the upstream
// where all copies of it are tried, one at a time.
func (n *Node) placeSuspect(now time.Duration, e *entry) bool {
	var candidates []protocol.UpstreamID
	for _, upstream := range n.view.Models[e.template.Model] {
		if upstream.placeable() {
			candidates = append(candidates, upstream.ID)
		}
	}
	chosen, found := quarantine.TrialUpstream(quarantine.Digest(e.template.Digest), candidates)
	if !found {
		return false
	}
	n.ask(now, e, n.view.Upstreams[chosen], placement.StageFinal, false)
	return true
}

// stepWalk asks the walk's next question, or acts on its end.
func (n *Node) stepWalk(now time.Duration, e *entry) {
	step, more := e.walk.Next()
	if !more {
		n.walkEnded(now, e)
		return
	}
	upstream := n.view.Upstreams[step.Query.Upstream]
	if upstream == nil || !upstream.placeable() {
		e.walk.HandleAnswer(placement.NoAnswer)
		n.stepWalk(now, e)
		return
	}
	n.ask(now, e, upstream, step.Query.Stage, step.Query.FirstChoice)
}

// walkEnded waits for an upstream with an owner while there is time.
func (n *Node) walkEnded(now time.Duration, e *entry) {
	if e.walk.Result().Verdict != placement.Refused {
		return
	}
	n.waitForOwner(now, e)
}

// waitForOwner looks again after a while. Owners change within seconds.
func (n *Node) waitForOwner(now time.Duration, e *entry) {
	e.avoid = nil
	e.phase = phaseWaiting
	e.wakeAt = now + noOwnerRetry
}

// tellHome tells the owner of the chat's first choice where it runs instead,
// so that the next turn is led there.
func (n *Node) tellHome(result placement.Result, e *entry) {
	if !result.Moved {
		return
	}
	home := n.view.Upstreams[result.FirstChoice]
	if home == nil || home.Owner == "" {
		return
	}
	root := e.chain[e.template.RootIndex].Hash
	n.send(home.Owner, fleet.ChatMoved{FirstChoice: result.FirstChoice, Root: uint64(root), Ran: result.Upstream})
}

// rankServers orders the servers of a plain service by rendezvous hashing of
// the request, which spreads requests evenly and needs no state.
func (n *Node) rankServers(e *entry) []*Upstream {
	var ranked []*Upstream
	for _, upstream := range n.view.Services[e.service] {
		if upstream.placeable() && !slices.Contains(e.avoid, upstream.ID) {
			ranked = append(ranked, upstream)
		}
	}
	key := xxhash.Sum64String(string(e.request.ID))
	slices.SortFunc(ranked, func(a, b *Upstream) int {
		return cmp.Compare(serverScore(key, b), serverScore(key, a))
	})
	return ranked
}

func serverScore(key uint64, upstream *Upstream) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(string(upstream.ID))
	// 53 bits make a float64 in (0, 1).
	unit := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -upstream.Capacity / math.Log(unit)
}

// askServer asks the owner of the next server. After maxServiceSpills the
// first is asked to queue the request.
func (n *Node) askServer(now time.Duration, e *entry) {
	if len(e.candidates) == 0 {
		n.waitForOwner(now, e)
		return
	}
	stage := placement.StageInOrder
	index := e.next
	if e.next >= min(maxServiceSpills, len(e.candidates)) {
		stage = placement.StageFinal
		index = 0
	}
	e.next++
	n.ask(now, e, e.candidates[index], stage, false)
}

// ask sends a Place for a new attempt.
func (n *Node) ask(now time.Duration, e *entry, upstream *Upstream, stage placement.Stage, home bool) {
	e.attempt++
	if e.answer != nil && e.attempt > 1 {
		e.answer.Begin(int(e.attempt))
	}
	e.upstream = upstream
	e.phase = phaseAsking
	e.progress = now
	e.checkedAt = 0
	message := e.template
	message.Attempt = e.current()
	message.Upstream = upstream.ID
	message.Fence = upstream.Fence
	message.ResumeAt = e.delivered()
	message.Stage = uint8(stage)
	message.FirstChoice = home
	message.SeenLoad = e.seenBeside(upstream.ID)
	message.RemainingMS = (e.deadline - now).Milliseconds()
	n.send(upstream.Owner, message)
}

// heardLoad is what an owner said of its upstream's load.
type heardLoad struct {
	upstream protocol.UpstreamID
	tokens   float64
}

// hear keeps an upstream's load for the next questions of this walk.
func (e *entry) hear(tokens float64) {
	for i := range e.seen {
		if e.seen[i].upstream == e.upstream.ID {
			e.seen[i].tokens = tokens
			return
		}
	}
	e.seen = append(e.seen, heardLoad{e.upstream.ID, tokens})
}

// seenBeside sums what was heard of other upstreams.
func (e *entry) seenBeside(id protocol.UpstreamID) float64 {
	sum := 0.0
	for _, heard := range e.seen {
		if heard.upstream != id {
			sum += heard.tokens
		}
	}
	return sum
}

// entryReply takes an owner's decision.
func (n *Node) entryReply(now time.Duration, in PeerPlaceReply) {
	e := n.live(in.Reply.Attempt)
	if e == nil {
		return
	}
	e.progress = now
	switch in.Reply.Outcome {
	case fleet.PlaceStarted:
		n.entryStarted(e, in.Reply)
	case fleet.PlaceQueued:
		e.phase = phaseQueued
		n.noteWalk(e, placement.Answer{Verdict: placement.Queued})
	case fleet.PlaceSpilled:
		n.entrySpilled(now, e, in.Reply)
	case fleet.PlaceNotOwner:
		n.entryNotOwner(now, e)
	case fleet.PlaceRefused:
		n.placeRefused(now, e, in.Reply)
	}
}

// entryStarted notes that the upstream has the request.
func (n *Node) entryStarted(e *entry, reply fleet.PlaceReply) {
	if e.phase == phaseAsking {
		n.noteWalk(e, walkAnswer(reply))
	}
	e.phase = phaseRunning
}

// noteWalk ends a chat's walk with the answer that found room.
func (n *Node) noteWalk(e *entry, answer placement.Answer) {
	if !e.walking {
		return
	}
	e.walk.HandleAnswer(answer)
	n.tellHome(e.walk.Result(), e)
}

// walkAnswer is a reply as the walk understands it.
func walkAnswer(reply fleet.PlaceReply) placement.Answer {
	return placement.Answer{
		Verdict:    placement.Verdict(reply.Verdict),
		Reason:     loadbound.Reason(reply.Bound),
		Forward:    reply.Forward,
		SavedShare: reply.SavedShare,
		Ratio:      reply.Ratio,
	}
}

// entrySpilled asks the next owner.
func (n *Node) entrySpilled(now time.Duration, e *entry, reply fleet.PlaceReply) {
	e.hear(reply.Load)
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, What: "spilled", Reason: reason.Code(reply.Reason)})
	if e.phase == phaseQueued {
		// Offered again after a wait: look from the start.
		n.place(now, e)
		return
	}
	if e.template.Model == "" {
		n.askServer(now, e)
		return
	}
	if !e.walking {
		n.waitForOwner(now, e)
		return
	}
	e.walk.HandleAnswer(walkAnswer(reply))
	n.stepWalk(now, e)
}

// entryNotOwner goes on without the router that no longer owns the upstream.
func (n *Node) entryNotOwner(now time.Duration, e *entry) {
	if e.phase == phaseQueued || !e.walking {
		// The walk has ended, or there was none: look again from the start.
		n.waitForOwner(now, e)
		return
	}
	e.walk.HandleAnswer(placement.NoAnswer)
	n.stepWalk(now, e)
}

// placeRefused answers at once what an owner has given up on. No byte has
// gone to an upstream in this attempt; whether one did in an earlier one
// decides what the caller is told.
func (n *Node) placeRefused(now time.Duration, e *entry, reply fleet.PlaceReply) {
	if e.order != nil {
		n.orderRefused(now, e)
		return
	}
	e.phase = phaseWaiting
	wait := time.Duration(reply.RetryAfterMS) * time.Millisecond
	n.giveUp(now, e, 503, reason.Code(reply.Reason), "the upstreams are busy", wait)
}
