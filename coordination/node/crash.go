package node

import (
	"fmt"
	"time"

	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

const (
	// crashGrace is how long an owner waits after a broken connection to see
	// whether the engine's other connections break too. A crash breaks all of
	// them at once.
	crashGrace = 2 * TickInterval
	// restartDetectTime is how long an owner waits for an announcement that shows
	// whether an upstream that accepts connections is still the same process.
	// Otherwise a fast restart would look like a broken connection.
	restartDetectTime = upstreamapi.AnnounceInterval + 4*TickInterval
)

// crashDetector finds out whether broken connections mean that the upstream has
// crashed. Until that is known the owner does not tell the entry routers that
// the calls ended, because they would start the request that may have caused the
// crash on the next engine.
type crashDetector struct {
	// brokenCalls holds the ended calls whose cause isn't known yet, and
	// firstBrokenAt the time of the first one.
	brokenCalls   []UpstreamEnd
	firstBrokenAt time.Duration
	// probing means that a probe of the upstream was sent, and reachable that the
	// upstream accepted the connection.
	probing   bool
	reachable bool
	// down means that the upstream crashed. Its next announcement resets it.
	down bool
}

// isSuspended reports whether an attempt is among the broken calls.
func (c *crashDetector) isSuspended(attempt fleet.Attempt) bool {
	for _, end := range c.brokenCalls {
		if end.Attempt == attempt {
			return true
		}
	}
	return false
}

// remove removes an attempt from the broken calls.
func (c *crashDetector) remove(attempt fleet.Attempt) {
	kept := c.brokenCalls[:0]
	for _, end := range c.brokenCalls {
		if end.Attempt != attempt {
			kept = append(kept, end)
		}
	}
	c.brokenCalls = kept
}

// suspendBrokenCall holds a broken call back until its cause is known.
func (n *Node) suspendBrokenCall(now time.Duration, target *ownedUpstream, r *relay, in UpstreamEnd) {
	if len(target.crash.brokenCalls) == 0 {
		target.crash.firstBrokenAt = now
		target.crash.probing = false
		target.crash.reachable = false
	}
	target.crash.brokenCalls = append(target.crash.brokenCalls, in)
	if !in.Sent {
		// No connection could be made: the process has ended.
		n.handleCrash(now, target)
	}
}

// advanceCrashDetection takes the next step once broken calls have waited for
// crashGrace.
func (n *Node) advanceCrashDetection(now time.Duration, target *ownedUpstream) {
	detector := &target.crash
	if len(detector.brokenCalls) == 0 || now-detector.firstBrokenAt < crashGrace {
		return
	}
	if len(target.running) > len(detector.brokenCalls) {
		// Other calls continue, so only the connection was broken.
		n.dismissCrash(now, target)
		return
	}
	if !detector.probing {
		detector.probing = true
		n.emit(ProbeUpstream{Upstream: target.id, Address: target.config.Address})
		return
	}
	if detector.reachable && now-detector.firstBrokenAt > restartDetectTime {
		n.dismissCrash(now, target)
	}
}

// connectProbeInterval is how often an owner probes an upstream that took no connection.
const connectProbeInterval = 500 * time.Millisecond

// setUnconnected records that no connection to an upstream could be made. It gets no work until a
// probe succeeds: its announcements come through other routers, and don't say that this one
// reaches it. What waits for it goes elsewhere.
func (n *Node) setUnconnected(now time.Duration, target *ownedUpstream) {
	if target.unconnected {
		return
	}
	target.unconnected = true
	target.connectProbeAt = now + connectProbeInterval
	n.returnWaiting(now, target, reason.UpstreamSilent)
}

// probeUnconnected probes an upstream that took no connection.
func (n *Node) probeUnconnected(now time.Duration, target *ownedUpstream) {
	if target.unconnected && now >= target.connectProbeAt {
		target.connectProbeAt = now + connectProbeInterval
		n.emit(ProbeUpstream{Upstream: target.id, Address: target.config.Address})
	}
}

// handleUpstreamProbed handles the result of a probe.
func (n *Node) handleUpstreamProbed(now time.Duration, in UpstreamProbed) {
	target := n.owned[in.Upstream]
	if target == nil {
		return
	}
	if in.Reachable && target.unconnected {
		target.unconnected = false
		n.startQueued(now, target)
	}
	if len(target.crash.brokenCalls) == 0 {
		return
	}
	if !in.Reachable {
		n.handleCrash(now, target)
		return
	}
	target.crash.reachable = true
}

// handleCrash marks the requests in flight as suspect, sends the notices to all
// routers, and then ends the broken calls. The entry routers place suspect
// requests with care.
func (n *Node) handleCrash(now time.Duration, target *ownedUpstream) {
	target.crash.down = true
	report := n.quarantine.Crashed(now, target.id, target.incarnation)
	n.broadcastNotices(report.Notices)
	if len(report.Notices) > 0 {
		n.reportParts(now, target)
	}
	n.emit(Event{
		Upstream: target.id, Kind: "crashed", Reason: reason.UpstreamFailed,
		Detail: fmt.Sprintf("%d requests were in flight, %d quarantined", report.Suspects, len(report.Quarantined)),
	})
	n.closeBrokenCalls(now, target)
	n.returnWaiting(now, target, reason.UpstreamLeaving)
}

// dismissCrash treats the broken calls as broken connections.
func (n *Node) dismissCrash(now time.Duration, target *ownedUpstream) {
	n.closeBrokenCalls(now, target)
}

// closeBrokenCalls ends the broken calls and tells their entry routers.
func (n *Node) closeBrokenCalls(now time.Duration, target *ownedUpstream) {
	broken := target.crash.brokenCalls
	target.crash.brokenCalls = nil
	for _, end := range broken {
		if r := target.running[end.Attempt]; r != nil {
			n.closeRelay(now, target, r, end)
		}
	}
}

// broadcastNotices sends notices of crashes and quarantines to every router.
func (n *Node) broadcastNotices(notices []quarantine.Notice) {
	for _, notice := range notices {
		n.emit(Broadcast{Notice: notice})
	}
}

// handleLiftQuarantine lets a request run again, on every router.
func (n *Node) handleLiftQuarantine(in LiftQuarantine) {
	n.broadcastNotices([]quarantine.Notice{n.quarantine.Lift(in.Digest)})
	n.emit(Event{Kind: "quarantine-lifted", Reason: reason.Quarantined, Detail: fmt.Sprintf("digest %016x", uint64(in.Digest))})
}

// holdFor returns whether, and why, a request must wait for a trial.
func (n *Node) holdFor(now time.Duration, target *ownedUpstream, r *relay) quarantine.Hold {
	if n.crashParts.left(now, r.place.Parts) > 0 {
		return quarantine.HoldQuarantined
	}
	latestStart := r.deadline - n.runTime(target, r)
	return n.quarantine.MayStart(now, target.id, quarantine.Digest(r.place.Digest), latestStart).Hold
}

// applyHold holds, spills or refuses a request that may not start now.
func (n *Node) applyHold(now time.Duration, target *ownedUpstream, r *relay, hold quarantine.Hold, final bool) {
	if hold == quarantine.HoldQuarantined {
		n.refusePlace(r, reason.Quarantined, n.quarantinedFor(now, quarantine.Digest(r.place.Digest), r.place.Parts))
		return
	}
	if !final {
		n.spillOrEnqueue(now, target, r, false, placement.Answer{Verdict: placement.NoCapacity})
		return
	}
	target.heldForTrial = append(target.heldForTrial, r)
	n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceQueued, Reason: string(reason.OnTrial)})
}

// recheckHeld decides again about the requests that wait for a trial.
func (n *Node) recheckHeld(now time.Duration, target *ownedUpstream) {
	waited := target.heldForTrial
	target.heldForTrial = nil
	for _, r := range waited {
		if now >= r.deadline {
			n.refusePlace(r, reason.DeadlinePassed, statusRetryAfter)
			continue
		}
		n.recheckOne(now, target, r)
	}
}

// recheckOne starts, refuses or keeps holding one request that waits for a
// trial.
func (n *Node) recheckOne(now time.Duration, target *ownedUpstream, r *relay) {
	hold := n.holdFor(now, target, r)
	switch hold {
	case quarantine.HoldNone:
		r.placeQuery.Stage = placement.StageFinal
		n.decideEngine(now, target, r, true)
	case quarantine.HoldQuarantined:
		n.applyHold(now, target, r, hold, true)
	default:
		target.heldForTrial = append(target.heldForTrial, r)
	}
}
