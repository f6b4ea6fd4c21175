package membership

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// probeStages is how often a probe is sent before it failed.
	probeStages = 3
	// urgentPerTick bounds probes out of turn, which come in a burst when
	// many members are suspected together.
	urgentPerTick = 2
	// silentFailures is how many probes of one member that nobody answers,
	// helpers included, make an accusation all the same: a fleet that lost
	// all others would otherwise never notice.
	silentFailures = 3
	// deafPatience is how long a member that hears nobody accuses nobody.
	// It covers an overload of seconds.
	deafPatience = 15 * time.Second
	// maxFailed is how many failed probes are remembered for late answers.
	maxFailed = 32
	// maxRelays bounds the probes made for others. Eight monitors with two
	// repeats each are far below it.
	maxRelays = 64
)

// probe is a question whether a member lives.
type probe struct {
	sequence    uint64
	target      protocol.RouterID
	incarnation Incarnation
	began       time.Duration
	stage       int
	due         time.Duration
	helpers     int
	nacks       int
	// shed says that the budget did not allow one of its packets.
	shed bool
}

// relay is a probe made for another member.
type relay struct {
	sequence uint64
	origin   protocol.RouterID
	theirs   uint64
	target   protocol.RouterID
	due      time.Duration
}

// tickProbes begins the probes that are due and moves those under way on.
func (c *Core) tickProbes(now time.Duration) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		return now >= p.due && c.repeatOrFail(now, p)
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

// probeSoon asks for a probe out of turn.
func (c *Core) probeSoon(target protocol.RouterID) {
	c.urgent = appendOnce(c.urgent, target)
}

func (c *Core) startProbe(now time.Duration, id protocol.RouterID) {
	target := c.members[id]
	if target == nil || !target.State.living() || slices.ContainsFunc(c.probes, func(p *probe) bool { return p.target == id }) {
		return
	}
	c.sequence++
	p := &probe{sequence: c.sequence, target: id, incarnation: target.Incarnation, began: now}
	p.due = now + c.health.stretch(c.config.ProbeTimeout)
	c.probes = append(c.probes, p)
	c.ping(now, target, p)
}

func (c *Core) ping(now time.Duration, target *record, p *probe) {
	if !c.send(now, target, message{Kind: Ping, Sequence: p.sequence, Target: p.target}, classProbe) {
		p.shed = true
	}
}

// repeatOrFail moves a probe on and says whether it is over.
func (c *Core) repeatOrFail(now time.Duration, p *probe) bool {
	target := c.members[p.target]
	if target == nil || !target.State.living() || target.Incarnation != p.incarnation {
		return true
	}
	p.stage++
	if p.stage >= probeStages {
		c.probeEnded(now, target, p)
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

// probeEnded judges a probe that was not answered. One that the budget kept
// from being sent in full says nothing, and its suspect gets its time anew.
func (c *Core) probeEnded(now time.Duration, target *record, p *probe) {
	if p.shed {
		target.suspicion.since = now
		return
	}
	c.probeFailed(now, target, p)
}

// probeFailed accuses the target, or doubts this member. A helper that says it
// got no answer either shows that this member is heard and hears in time.
// Without such a word the fault is more likely here.
func (c *Core) probeFailed(now time.Duration, target *record, p *probe) {
	c.failed = append(c.failed, p)
	if len(c.failed) > maxFailed {
		c.failed = slices.Delete(c.failed, 0, 1)
	}
	if p.nacks == 0 {
		c.health.worse(1)
		if target.failures == 0 {
			target.silentSince = p.began
		}
		target.failures++
		if target.failures < silentFailures || c.deaf(now, target) {
			c.event(Doubted, c.self, WhyUnanswered, "")
			c.probeSoon(p.target)
			return
		}
	}
	target.failures = 0
	c.suspect(now, target.Member, c.config.Self, WhyProbeFailed)
}

// deaf says that silence says nothing about one member, because no other has
// answered this one since either. It doesn't hold for ever: a member that lost
// all others has to notice.
func (c *Core) deaf(now time.Duration, target *record) bool {
	return c.lastAnswer <= target.silentSince && now-target.silentSince < deafPatience
}

// acknowledged ends a probe, or passes the answer on to whom it is for.
func (c *Core) acknowledged(now time.Duration, m message) {
	at := slices.IndexFunc(c.probes, func(p *probe) bool { return p.sequence == m.Sequence && p.target == m.Target })
	if at >= 0 {
		p := c.probes[at]
		c.probes = slices.Delete(c.probes, at, at+1)
		c.health.better()
		c.lastAnswer = now
		if target := c.members[m.Target]; target != nil {
			target.failures = 0
			if p.began >= target.suspicion.since {
				c.answered(now, target)
			}
		}
		return
	}
	if c.late(now, m) {
		return
	}
	at = slices.IndexFunc(c.relays, func(r relay) bool { return r.sequence == m.Sequence && r.target == m.Target })
	if at < 0 {
		return
	}
	r := c.relays[at]
	c.relays = slices.Delete(c.relays, at, at+1)
	if origin := c.members[r.origin]; origin != nil {
		c.send(now, origin, message{Kind: Ack, Sequence: r.theirs, Target: r.target}, classAnswer)
	}
}

// late takes an answer to a probe that had failed. It is this member that is
// slow, and what it concluded from the failure doesn't hold.
func (c *Core) late(now time.Duration, m message) bool {
	at := slices.IndexFunc(c.failed, func(p *probe) bool { return p.sequence == m.Sequence && p.target == m.Target })
	if at < 0 {
		return false
	}
	c.failed = slices.Delete(c.failed, at, at+1)
	c.health.worse(1)
	if target := c.members[m.Target]; target != nil {
		target.failures = 0
		c.answered(now, target)
	}
	return true
}

// relay probes a member for another.
func (c *Core) relay(now time.Duration, origin *record, m message) {
	target := c.members[m.Target]
	if target == nil || len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays = append(c.relays, relay{
		sequence: c.sequence, origin: origin.ID, theirs: m.Sequence, target: m.Target,
		due: now + c.config.ProbeTimeout/2,
	})
	c.send(now, target, message{Kind: Ping, Sequence: c.sequence, Target: m.Target}, classProbe)
}

// witnessDoubt is the most doubt with which a member bears witness. One that
// is late itself finds that nobody answers it in time.
const witnessDoubt = 1

// tickRelays tells the askers of probes that were not answered.
func (c *Core) tickRelays(now time.Duration) {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if now < r.due {
			return false
		}
		if origin := c.members[r.origin]; origin != nil && c.health.doubt <= witnessDoubt {
			c.send(now, origin, message{Kind: Nack, Sequence: r.theirs, Target: r.target}, classAnswer)
		}
		return true
	})
}

// refusedBy counts a helper's word that the target did not answer it.
func (c *Core) refusedBy(m message) {
	for _, p := range c.probes {
		if p.sequence == m.Sequence && p.target == m.Target {
			p.nacks++
		}
	}
}
