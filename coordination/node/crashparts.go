package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

const (
	// maxCollectors is how many routers look for the parts of prompts that crash engines, so that
	// one is left if others fail.
	maxCollectors = 3
	// quarantinesReadInterval is how long a router that has started waits for another one to tell
	// it what is quarantined before it asks the next, and maxQuarantinesReads how many it asks.
	quarantinesReadInterval = time.Second
	maxQuarantinesReads     = 5
)

// crashParts is what a router knows of parts of prompts that crash engines.
type crashParts struct {
	list     *crashes.List
	answered *crashes.Answered
	// detector gets reports while this router is a collector.
	detector *crashes.Detector
	// readsLeft is how many routers are still to be asked what is quarantined, and readAt when the
	// next is.
	readsLeft int
	readAt    time.Duration
}

func newCrashParts(incarnation uint32) crashParts {
	list := crashes.NewList()
	return crashParts{list: list, answered: crashes.NewAnswered(), detector: crashes.NewDetector(list, uint64(incarnation)<<32), readsLeft: maxQuarantinesReads}
}

// left returns how much longer prompts with one of these parts are refused, 0 if they aren't.
func (c *crashParts) left(now time.Duration, parts []uint64) time.Duration {
	var left time.Duration
	for _, part := range parts {
		left = max(left, c.list.Left(now, crashes.Part, part))
	}
	return left
}

// quarantinedFor returns how much longer a chat is refused because it or a part of its prompt
// crashes engines, 0 if it isn't.
func (n *Node) quarantinedFor(now time.Duration, digest quarantine.Digest, parts []uint64) time.Duration {
	return max(n.crashParts.left(now, parts), n.quarantine.Check(now, digest).RetryAfter)
}

// collectors returns the routers that look for parts that crash engines.
func (n *Node) collectors() []protocol.RouterID {
	return n.view.Routers[:min(len(n.view.Routers), maxCollectors)]
}

// reportParts tells the collectors which parts the requests had that an engine had not answered as
// it crashed.
func (n *Node) reportParts(now time.Duration, target *ownedUpstream) {
	crash := crashes.Crash{Upstream: target.id, StartedAt: int64(target.incarnation), Parts: target.unansweredParts(now)}
	if len(crash.Parts) == 0 {
		return
	}
	crash.Parts = sample(n.config.Random, crash.Parts, crashes.MaxCrashParts)
	for _, collector := range n.collectors() {
		n.send(collector, crash)
	}
}

// unansweredParts returns the parts of the requests that the engine had not answered, or had only
// just begun to.
func (t *ownedUpstream) unansweredParts(now time.Duration) []uint64 {
	endedAt := now
	if len(t.crash.brokenCalls) > 0 {
		endedAt = t.crash.firstBrokenAt
	}
	var parts []uint64
	for _, r := range t.runningInOrder() {
		if r.chunks == 0 || endedAt-r.begunAt < crashes.JustBegun {
			parts = append(parts, r.place.Parts...)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// sample returns n of all at most, in any order. It reorders all.
func sample[T any](random *rand.Rand, all []T, n int) []T {
	if len(all) <= n {
		return all
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}

// tickCrashParts asks other routers about suspects, and quarantines parts that crash engines.
func (n *Node) tickCrashParts(now time.Duration) {
	n.crashParts.list.Expire(now)
	ask, found := n.crashParts.detector.Tick(now)
	for _, q := range found {
		n.emit(BroadcastPart{Quarantine: q})
	}
	n.recordPartQuarantines(found)
	if ask == nil {
		return
	}
	routers := sample(n.config.Random, slices.Clone(n.view.Routers), crashes.MaxAskedRouters)
	n.crashParts.detector.NoteAsked(*ask, len(routers))
	for _, id := range routers {
		n.send(id, *ask)
	}
}

// mergePartQuarantines takes over parts that another router has quarantined.
func (n *Node) mergePartQuarantines(now time.Duration, others []crashes.Quarantine) {
	n.recordPartQuarantines(n.crashParts.list.Merge(now, others))
}

func (n *Node) recordPartQuarantines(added []crashes.Quarantine) {
	for _, q := range added {
		n.emit(Event{Kind: "part-quarantined", Reason: reason.Quarantined, Detail: fmt.Sprintf("part %016x for %v, quarantined %d times", q.Key, q.Left, q.Times)})
	}
}

// handleSuspects answers a collector.
func (n *Node) handleSuspects(now time.Duration, in PeerSuspects) {
	if sound, any := n.crashParts.answered.Reply(now, in.Suspects); any {
		n.send(in.From, sound)
	}
}

// askForQuarantines asks another router what is quarantined, after a start.
func (n *Node) askForQuarantines(now time.Duration) {
	if n.crashParts.readsLeft == 0 || now < n.crashParts.readAt {
		return
	}
	others := slices.DeleteFunc(slices.Clone(n.view.Routers), func(id protocol.RouterID) bool { return id == n.config.Self })
	if len(others) == 0 {
		return
	}
	n.crashParts.readsLeft--
	n.crashParts.readAt = now + quarantinesReadInterval
	n.send(others[n.config.Random.IntN(len(others))], QuarantinesRead{})
}

// handleQuarantinesRead answers a router that has started, unless this one doesn't know either.
func (n *Node) handleQuarantinesRead(now time.Duration, in PeerQuarantinesRead) {
	if n.crashParts.readsLeft > 0 {
		return
	}
	n.send(in.From, Quarantines{Requests: n.quarantine.Notices(now), Parts: n.crashParts.list.Quarantines(now)})
}

// handleQuarantines takes over what another router has quarantined.
func (n *Node) handleQuarantines(now time.Duration, in Quarantines) {
	n.crashParts.readsLeft = 0
	n.mergePartQuarantines(now, in.Parts)
	for _, notice := range in.Requests {
		n.quarantine.Merge(now, notice)
	}
}
