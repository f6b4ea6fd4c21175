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
	// crashGrace is how long an owner waits after a connection broke to see
	// whether the others break too. A crash breaks all of them at once.
	crashGrace = 2 * TickInterval
	// reviveWait is how long an owner waits for an announcement that tells
	// whether an upstream that takes connections is the same process as
	// before. A fast restart would otherwise pass for a broken connection.
	reviveWait = upstreamapi.AnnounceInterval + 4*TickInterval
)

// crashWatch finds out whether broken connections mean a crash. Until it
// knows, the entries are not told, because they would start the request that
// may have caused it on the next engine.
type crashWatch struct {
	// broken are the ended calls whose cause isn't known yet.
	broken []UpstreamEnd
	since  time.Duration
	// probing says that the upstream was asked whether it takes connections,
	// and reachable that it does.
	probing   bool
	reachable bool
	// down means that the upstream takes no connections; its next
	// announcement ends that.
	down bool
}

func (c *crashWatch) holds(attempt fleet.Attempt) bool {
	for _, end := range c.broken {
		if end.Attempt == attempt {
			return true
		}
	}
	return false
}

func (c *crashWatch) forget(attempt fleet.Attempt) {
	kept := c.broken[:0]
	for _, end := range c.broken {
		if end.Attempt != attempt {
			kept = append(kept, end)
		}
	}
	c.broken = kept
}

// suspectCrash keeps a broken call until its cause is known.
func (n *Node) suspectCrash(now time.Duration, target *owned, r *relay, in UpstreamEnd) {
	if len(target.crash.broken) == 0 {
		target.crash.since = now
		target.crash.probing = false
		target.crash.reachable = false
	}
	target.crash.broken = append(target.crash.broken, in)
	if !in.Sent {
		// No connection could be made: the process is gone.
		n.crashed(now, target)
	}
}

// tickCrash moves a suspected crash on.
func (n *Node) tickCrash(now time.Duration, target *owned) {
	watch := &target.crash
	if len(watch.broken) == 0 || now-watch.since < crashGrace {
		return
	}
	if len(target.running) > len(watch.broken) {
		// Others go on: it was the connection.
		n.notCrashed(now, target)
		return
	}
	if !watch.probing {
		watch.probing = true
		n.emit(ProbeUpstream{Upstream: target.id, Address: target.config.Address})
		return
	}
	if watch.reachable && now-watch.since > reviveWait {
		n.notCrashed(now, target)
	}
}

// probed takes the answer to a probe.
func (n *Node) probed(now time.Duration, in UpstreamProbed) {
	target := n.owned[in.Upstream]
	if target == nil || len(target.crash.broken) == 0 {
		return
	}
	if !in.Reachable {
		n.crashed(now, target)
		return
	}
	target.crash.reachable = true
}

// crashed blames the requests in flight, tells all routers, and then the
// entries, which treat these requests with care.
func (n *Node) crashed(now time.Duration, target *owned) {
	target.crash.down = true
	report := n.crashes.Crashed(now, target.id, target.incarnation)
	n.shareNotices(report.Notices)
	n.emit(Event{
		Upstream: target.id, What: "crashed", Reason: reason.UpstreamFailed,
		Detail: fmt.Sprintf("%d requests were in flight, %d condemned", report.Suspects, len(report.Condemned)),
	})
	n.releaseBroken(now, target)
	n.handBack(now, target)
}

// notCrashed treats broken calls as broken connections.
func (n *Node) notCrashed(now time.Duration, target *owned) {
	n.releaseBroken(now, target)
}

func (n *Node) releaseBroken(now time.Duration, target *owned) {
	broken := target.crash.broken
	target.crash.broken = nil
	for _, end := range broken {
		if r := target.running[end.Attempt]; r != nil {
			n.closeRelay(now, target, r, end)
		}
	}
}

// shareNotices tells every router of crashes and quarantines.
func (n *Node) shareNotices(notices []quarantine.Notice) {
	for _, notice := range notices {
		n.emit(Spread{Notice: notice})
	}
}

// liftQuarantine lets a request run again, on every router.
func (n *Node) liftQuarantine(in LiftQuarantine) {
	n.shareNotices([]quarantine.Notice{n.crashes.Lift(in.Digest)})
	n.emit(Event{What: "quarantine-lifted", Reason: reason.Quarantined, Detail: fmt.Sprintf("digest %016x", uint64(in.Digest))})
}

// holdFor says whether a request must wait for a trial.
func (n *Node) holdFor(now time.Duration, target *owned, r *relay) quarantine.Hold {
	by := r.deadline - n.runTime(target, r)
	return n.crashes.MayStart(now, target.id, quarantine.Digest(r.place.Digest), by).Hold
}

// decideHold keeps, sends on or refuses a request that may not start yet.
func (n *Node) decideHold(now time.Duration, target *owned, r *relay, hold quarantine.Hold, final bool) {
	if hold == quarantine.HoldQuarantined {
		n.refusePlace(r, reason.Quarantined, n.crashes.Check(now, quarantine.Digest(r.place.Digest)).RetryAfter)
		return
	}
	if !final {
		n.spillOrSubmit(now, target, r, false, placement.Answer{Verdict: placement.NoCapacity})
		return
	}
	target.onHold = append(target.onHold, r)
	n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceQueued, Reason: string(reason.OnTrial)})
}

// reviewHeld decides again about what waited for a trial.
func (n *Node) reviewHeld(now time.Duration, target *owned) {
	waited := target.onHold
	target.onHold = nil
	for _, r := range waited {
		if now >= r.deadline {
			n.refusePlace(r, reason.DeadlinePassed, statusRetryAfter)
			continue
		}
		n.reviewOne(now, target, r)
	}
}

func (n *Node) reviewOne(now time.Duration, target *owned, r *relay) {
	hold := n.holdFor(now, target, r)
	switch hold {
	case quarantine.HoldNone:
		r.ask.Stage = placement.StageFinal
		n.decideEngine(now, target, r, true)
	case quarantine.HoldQuarantined:
		n.decideHold(now, target, r, hold, true)
	default:
		target.onHold = append(target.onHold, r)
	}
}
