package router

import (
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/reach"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/transport/forward"
)

const (
	// endedTime is how long after its connections broke an upstream must be found to take no
	// connection to count as ended, not as one that breaks connections.
	endedTime = time.Second
	// maxEnding bounds the broken requests that wait for that.
	maxEnding = 256
	// maxCrashesTold is how many broken requests others are told of at once. A busy upstream that
	// ends has as many in flight; a part that crashes it is in one of them, and in the next crash.
	maxCrashesTold = 64
)

// crashState is what a router knows of requests that crash upstreams.
type crashState struct {
	contents *crashes.Record
	// list is what all routers and disk VMs have quarantined.
	list     *crashes.List
	answered *crashes.Answered
	// ending are broken requests with parts that may have crashed their upstreams, until it is
	// known whether these have ended.
	ending []endingUpstream
	// probing are the upstreams that are being probed because they broke a request.
	probing map[protocol.UpstreamID]struct{}
}

// endingUpstream is a crash of an upstream that may have ended.
type endingUpstream struct {
	crash crashes.Crash
	at    time.Duration
}

func newCrashState() crashState {
	return crashState{
		contents: crashes.New(crashes.DefaultSettings()), list: crashes.NewList(), answered: crashes.NewAnswered(),
		probing: map[protocol.UpstreamID]struct{}{},
	}
}

// QuarantinedFor implements forward.Fleet.
func (r *Router) QuarantinedFor(job forward.Job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	left := max(r.crashes.contents.QuarantinedFor(now, job.Digest), r.crashes.list.Left(now, crashes.Content, job.Digest))
	for _, part := range job.Prompt.SharedParts() {
		left = max(left, r.crashes.list.Left(now, crashes.Part, part))
	}
	return left
}

// UpstreamCrashed implements forward.Fleet.
func (r *Router) UpstreamCrashed(broken crashes.Broken) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	e, known := r.balancer.Entry(broken.Upstream)
	if known && !r.paths.IsIsolated() {
		r.slowStart.NoteUnreachable(now, broken.Upstream, e.Service)
	}
	r.paths.Hold(now, reach.Failure{
		Upstream: broken.Upstream, Crash: true, Digest: broken.Digest, StartedAt: broken.StartedAt, Parts: broken.Parts,
	})
	if known && len(broken.Parts) > 0 {
		r.probeBroken(e)
	}
}

// probeBroken finds out whether an upstream that broke a request still takes connections. One that
// ends breaks many requests at once and is probed once. The lock is held.
func (r *Router) probeBroken(e roster.Entry) {
	if _, underWay := r.crashes.probing[e.ID]; underWay {
		return
	}
	r.crashes.probing[e.ID] = struct{}{}
	go func() {
		r.probeUpstream(e)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.crashes.probing, e.ID)
	}()
}

// AnswerCompleted implements forward.Fleet.
func (r *Router) AnswerCompleted(job forward.Job) {
	parts := job.Prompt.SharedParts()
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes.answered.Note(r.now(), parts)
}

// applyConfirmed records the failures that upstreams have caused, and not the path to them. The
// lock is held.
func (r *Router) applyConfirmed(now time.Duration) {
	told := 0
	for _, failure := range r.paths.TakeConfirmed(now) {
		if !failure.Crash {
			r.balancer.RecordResult(now, failure.Upstream, balance.Failed)
			continue
		}
		crash := crashes.Crash{Digest: failure.Digest, Upstream: failure.Upstream, StartedAt: failure.StartedAt, Attempt: r.random.Uint64()}
		r.recordCrash(now, crash)
		if told++; told > maxCrashesTold {
			continue
		}
		r.fabric.SendEach(r.someOthers(), crash)
		crash.Parts = failure.Parts
		r.awaitEnd(now, crash)
	}
	r.tellEnded(now)
}

// awaitEnd tells disk VMs of a crash, with the parts that may have caused it once the upstream is
// known to have ended. The lock is held.
func (r *Router) awaitEnd(now time.Duration, crash crashes.Crash) {
	if len(crash.Parts) == 0 || len(r.crashes.ending) >= maxEnding {
		crash.Parts = nil
		r.fabric.SendEach(r.follower.AliveDiskVMIDs(now), crash)
		return
	}
	r.crashes.ending = append(r.crashes.ending, endingUpstream{crash: crash, at: now})
}

// tellEnded tells disk VMs of the crashes of upstreams that have ended, or of which it isn't known.
// An isolated router can't know it. The lock is held.
func (r *Router) tellEnded(now time.Duration) {
	r.crashes.ending = slices.DeleteFunc(r.crashes.ending, func(e endingUpstream) bool {
		ended := !r.paths.IsReachable(e.crash.Upstream) && !r.paths.IsIsolated()
		if !ended && now-e.at < endedTime {
			return false
		}
		crash := e.crash
		if !ended {
			crash.Parts = nil
		}
		r.fabric.SendEach(r.follower.AliveDiskVMIDs(now), crash)
		return true
	})
}

// recordCrash counts a crash and logs if the request is quarantined for it. The lock is
// held.
func (r *Router) recordCrash(now time.Duration, crash crashes.Crash) {
	r.log.Info().Str("event", "crash-counted").Uint64("digest", crash.Digest).Str("upstream", string(crash.Upstream)).Send()
	if r.crashes.contents.Note(now, crash) {
		r.log.Warn().Str("event", "request-condemned").Uint64("digest", crash.Digest).Str("upstream", string(crash.Upstream)).Send()
	}
}

// handleSuspects answers a disk VM that asks which parts were answered. The lock is held.
func (r *Router) handleSuspects(now time.Duration, from protocol.RouterID, s crashes.Suspects) {
	if sound, any := r.crashes.answered.Reply(now, s); any {
		r.fabric.Send(from, sound)
	}
}
