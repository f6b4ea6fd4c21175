package membership

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// probeStages is the number of pings without an ack after which a probe has
	// failed.
	probeStages = 3
	// urgentPerTick bounds the probes sent out of turn in one tick. They come in
	// bursts when many members are suspected together.
	urgentPerTick = 2
	// maxUnconfirmedFailures is the number of failed probes of one member after
	// which it is suspected even though no helper answered: a member that lost
	// all others would otherwise never detect it.
	maxUnconfirmedFailures = 3
	// isolationTimeout is how long a member that receives no acks suspects
	// nobody. It covers an overload of some seconds.
	isolationTimeout = 15 * time.Second
	// maxFailedProbes is the number of failed probes kept to match late acks.
	maxFailedProbes = 32
	// maxRelays bounds the probes made for other members. Eight monitors with
	// two repeats each need far fewer.
	maxRelays = 64
)

// probe is a probe of a member in progress.
type probe struct {
	sequence    uint64
	target      protocol.RouterID
	incarnation Incarnation
	startedAt   time.Duration
	stage       int
	due         time.Duration
	helpers     int
	nacks       int
	// shed means that a ping was not sent because of the limit on bytes per second,
	// so a missing reply says nothing about the target.
	shed bool
}

// relay is a ping sent for another member, the origin.
type relay struct {
	sequence       uint64
	origin         protocol.RouterID
	originSequence uint64
	target         protocol.RouterID
	due            time.Duration
}

// tickProbes starts the probes that are due, and repeats or fails those in
// progress whose timeout expired.
func (c *Core) tickProbes(now time.Duration) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		return now >= p.due && c.advanceProbe(now, p)
	})
	for range min(urgentPerTick, len(c.urgent)) {
		target := c.urgent[0]
		c.urgent = c.urgent[1:]
		c.startProbe(now, target)
	}
	if now < c.nextProbe || len(c.targets) == 0 {
		return
	}
	c.nextProbe = now + c.health.stretch(c.config.ProbePeriod)
	if c.nextTarget >= len(c.targets) {
		c.shuffle(c.targets)
		c.nextTarget = 0
	}
	target := c.targets[c.nextTarget]
	c.nextTarget++
	c.startProbe(now, target)
}

// probeSoon queues a probe out of turn.
func (c *Core) probeSoon(target protocol.RouterID) {
	c.urgent = appendUnique(c.urgent, target)
}

func (c *Core) startProbe(now time.Duration, id protocol.RouterID) {
	target := c.members[id]
	if target == nil || !target.State.living() || slices.ContainsFunc(c.probes, func(p *probe) bool { return p.target == id }) {
		return
	}
	c.sequence++
	p := &probe{sequence: c.sequence, target: id, incarnation: target.Incarnation, startedAt: now}
	p.due = now + c.health.stretch(c.config.ProbeTimeout)
	c.probes = append(c.probes, p)
	c.ping(now, target, p)
}

func (c *Core) ping(now time.Duration, target *record, p *probe) {
	if !c.send(now, target, message{Kind: Ping, Sequence: p.sequence, Target: p.target}, classProbe) {
		p.shed = true
	}
}

// advanceProbe repeats or fails a probe whose timeout expired, and reports
// whether the probe is over.
func (c *Core) advanceProbe(now time.Duration, p *probe) bool {
	target := c.members[p.target]
	if target == nil || !target.State.living() || target.Incarnation != p.incarnation {
		return true
	}
	p.stage++
	if p.stage >= probeStages {
		c.finishProbe(now, target, p)
		return true
	}
	p.due = now + c.health.stretch(c.config.ProbeTimeout)
	c.ping(now, target, p)
	for _, helper := range c.pickHelpers(p.target) {
		if c.send(now, helper, message{Kind: PingRequest, Sequence: p.sequence, Target: p.target}, classProbe) {
			p.helpers++
		}
	}
	return false
}

// pickHelpers chooses living neighbours other than the target.
func (c *Core) pickHelpers(target protocol.RouterID) []*record {
	var helpers []*record
	if len(c.neighbours) == 0 {
		return nil
	}
	first := c.random.IntN(len(c.neighbours))
	for i := range c.neighbours {
		m := c.members[c.neighbours[(first+i)%len(c.neighbours)]]
		if m == nil || m.State != Alive || m.ID == target {
			continue
		}
		helpers = append(helpers, m)
		if len(helpers) == c.config.Helpers {
			break
		}
	}
	return helpers
}

// finishProbe evaluates a probe that was not answered. If the budget did not
// allow all of its pings, the failure says nothing about the target, and the
// timeout of its suspicion starts again.
func (c *Core) finishProbe(now time.Duration, target *record, p *probe) {
	if p.shed {
		target.suspicion.since = now
		return
	}
	c.probeFailed(now, target, p)
}

// probeFailed suspects the target, or degrades this member's own health. A nack
// from a helper shows that this member's packets arrive and that it receives
// replies in time. Without a nack the fault is more likely here.
func (c *Core) probeFailed(now time.Duration, target *record, p *probe) {
	c.failed = append(c.failed, p)
	if len(c.failed) > maxFailedProbes {
		c.failed = slices.Delete(c.failed, 0, 1)
	}
	if p.nacks == 0 {
		c.health.degrade(1)
		if target.failures == 0 {
			target.unansweredSince = p.startedAt
		}
		target.failures++
		if target.failures < maxUnconfirmedFailures || c.isolated(now, target) {
			c.emit(HealthDegraded, c.self, WhyUnanswered, "")
			c.probeSoon(p.target)
			return
		}
	}
	target.failures = 0
	c.handleSuspicion(now, target.Member, c.config.Self, WhyProbeFailed)
}

// isolated reports whether this member has received no ack at all since the
// target stopped answering, so that the failed probes say nothing about the
// target. It returns false after isolationTimeout, because a member that lost all
// others has to detect that.
func (c *Core) isolated(now time.Duration, target *record) bool {
	return c.lastAck <= target.unansweredSince && now-target.unansweredSince < isolationTimeout
}

// handleAck ends a probe, or passes the ack on to the member for which this one
// sent the ping.
func (c *Core) handleAck(now time.Duration, m message) {
	at := slices.IndexFunc(c.probes, func(p *probe) bool { return p.sequence == m.Sequence && p.target == m.Target })
	if at >= 0 {
		p := c.probes[at]
		c.probes = slices.Delete(c.probes, at, at+1)
		c.health.improve()
		c.lastAck = now
		if target := c.members[m.Target]; target != nil {
			target.failures = 0
			if p.startedAt >= target.suspicion.since {
				c.clearSuspicion(now, target)
			}
		}
		return
	}
	if c.handleLateAck(now, m) {
		return
	}
	at = slices.IndexFunc(c.relays, func(r relay) bool { return r.sequence == m.Sequence && r.target == m.Target })
	if at < 0 {
		return
	}
	r := c.relays[at]
	c.relays = slices.Delete(c.relays, at, at+1)
	if origin := c.members[r.origin]; origin != nil {
		c.send(now, origin, message{Kind: Ack, Sequence: r.originSequence, Target: r.target}, classAck)
	}
}

// handleLateAck handles the ack of a probe that has failed. This member is the
// slow one, so it clears the suspicion that followed from the failure.
func (c *Core) handleLateAck(now time.Duration, m message) bool {
	at := slices.IndexFunc(c.failed, func(p *probe) bool { return p.sequence == m.Sequence && p.target == m.Target })
	if at < 0 {
		return false
	}
	c.failed = slices.Delete(c.failed, at, at+1)
	c.health.degrade(1)
	if target := c.members[m.Target]; target != nil {
		target.failures = 0
		c.clearSuspicion(now, target)
	}
	return true
}

// handlePingRequest pings a member for another one.
func (c *Core) handlePingRequest(now time.Duration, origin *record, m message) {
	target := c.members[m.Target]
	if target == nil || len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays = append(c.relays, relay{
		sequence: c.sequence, origin: origin.ID, originSequence: m.Sequence, target: m.Target,
		due: now + c.config.ProbeTimeout/2,
	})
	c.send(now, target, message{Kind: Ping, Sequence: c.sequence, Target: m.Target}, classProbe)
}

// maxNackScore is the highest health score with which a member sends nacks. A
// member that is late itself receives no ack in time, whatever the target does.
const maxNackScore = 1

// tickRelays sends nacks to the origins of pings that were not answered.
func (c *Core) tickRelays(now time.Duration) {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if now < r.due {
			return false
		}
		if origin := c.members[r.origin]; origin != nil && c.health.score <= maxNackScore {
			c.send(now, origin, message{Kind: Nack, Sequence: r.originSequence, Target: r.target}, classAck)
		}
		return true
	})
}

// handleNack counts the nack of a helper that the target did not answer.
func (c *Core) handleNack(m message) {
	for _, p := range c.probes {
		if p.sequence == m.Sequence && p.target == m.Target {
			p.nacks++
		}
	}
}
