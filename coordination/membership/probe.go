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
	// maxRelays bounds the probes made for others. Eight monitors with two
	// repeats each are far below it.
	maxRelays = 64
)

// probe is a question whether a member lives.
type probe struct {
	sequence    uint64
	target      protocol.RouterID
	incarnation Incarnation
	stage       int
	due         time.Duration
	helpers     int
	nacks       int
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
	p := &probe{sequence: c.sequence, target: id, incarnation: target.Incarnation}
	p.due = now + c.health.stretch(c.config.ProbeTimeout)
	c.probes = append(c.probes, p)
	c.ping(now, target, p)
}

func (c *Core) ping(now time.Duration, target *record, p *probe) {
	c.send(now, target, message{Kind: Ping, Sequence: p.sequence, Target: p.target}, classProbe)
}

// repeatOrFail moves a probe on and says whether it is over.
func (c *Core) repeatOrFail(now time.Duration, p *probe) bool {
	target := c.members[p.target]
	if target == nil || !target.State.living() || target.Incarnation != p.incarnation {
		return true
	}
	p.stage++
	if p.stage >= probeStages {
		c.probeFailed(now, target, p)
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

// probeFailed accuses the target, or doubts this member. A helper that says it
// got no answer either shows that this member is heard and hears in time.
// Without such a word the fault is more likely here.
func (c *Core) probeFailed(now time.Duration, target *record, p *probe) {
	if p.nacks == 0 {
		c.health.worse(1)
		target.failures++
		if target.failures < silentFailures {
			c.event(Doubted, c.self, WhyUnanswered, "")
			c.probeSoon(p.target)
			return
		}
	}
	target.failures = 0
	c.suspect(now, target.Member, c.config.Self, WhyProbeFailed)
}

// acknowledged ends a probe, or passes the answer on to whom it is for.
func (c *Core) acknowledged(now time.Duration, m message) {
	at := slices.IndexFunc(c.probes, func(p *probe) bool { return p.sequence == m.Sequence && p.target == m.Target })
	if at >= 0 {
		c.probes = slices.Delete(c.probes, at, at+1)
		c.health.better()
		if target := c.members[m.Target]; target != nil {
			target.failures = 0
		}
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

// tickRelays tells the askers of probes that were not answered.
func (c *Core) tickRelays(now time.Duration) {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if now < r.due {
			return false
		}
		if origin := c.members[r.origin]; origin != nil {
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
