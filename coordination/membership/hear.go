package membership

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// joining is the time in which a new member is expected to fetch its list.
const joining = time.Minute

// hear takes the news of a packet: its rumours, and what the sender's own
// incarnation and digest say.
func (c *Core) hear(now time.Duration, m message) {
	for _, r := range m.Rumours {
		c.hearRumour(now, r, m.Kind == List)
	}
	from := c.members[m.From]
	if from != nil && from.State != Left && from.Incarnation.Started == m.Incarnation.Started {
		// A refutation reaches those it talks to without any rumour. One that
		// comes too late has to reach all that were told of a death.
		known := from.Member
		known.Incarnation = m.Incarnation
		c.alive(now, known, !from.State.living())
	}
	if m.Kind != Join {
		c.compare(now, m)
	}
}

func (c *Core) hearRumour(now time.Duration, r rumour, fromList bool) {
	switch r.Kind {
	case rumourAlive:
		// What a list tells a new member is news to it and not to the fleet:
		// passing it all on would spend the budget that it needs to join.
		c.alive(now, r.Member, !fromList || now-c.born > joining)
	case rumourSuspect:
		c.suspect(now, r.Member, r.By, WhyTold)
	case rumourDead:
		if fromList {
			// A list tells what its sender believes, which after a partition
			// is that all on the other side are dead. They get time to refute.
			c.suspect(now, r.Member, r.By, WhyTold)
			return
		}
		c.gone(now, r.Member, Dead, WhyTold, r.By)
	case rumourLeft:
		c.gone(now, r.Member, Left, WhyTold, r.Member.ID)
	case rumourItem:
		c.hearItem(now, r)
	}
}

// alive takes the news that a member lives in an incarnation, and passes on
// what came as a rumour.
func (c *Core) alive(now time.Duration, m Member, passOn bool) {
	if m.ID == c.config.Self {
		c.adopt(m.Incarnation)
		return
	}
	known := c.members[m.ID]
	if known == nil {
		c.join(now, m, passOn)
		return
	}
	if m.Incarnation.Compare(known.Incarnation) <= 0 {
		return
	}
	was := known.Member
	c.update(now, known, m)
	if passOn {
		c.rumours.add(rumour{Kind: rumourAlive, Member: known.Member})
	}
	switch {
	case !was.State.living():
		c.event(Joined, known, WhyTold, "")
	case was.Incarnation.Started != m.Incarnation.Started:
		c.event(Reborn, known, WhyTold, "")
	case was.State == Suspect:
		c.event(Refuted, known, WhyTold, "")
	}
	c.evict(now, known)
}

// update puts a member into a newer incarnation, in which it lives.
func (c *Core) update(now time.Duration, known *record, m Member) {
	if known.State.living() {
		c.count(known, -1)
	}
	c.countRevival(now, known, m)
	m.State = Alive
	known.Member = m
	known.changed = now
	known.failures = 0
	known.suspicion = suspicion{}
	c.count(known, 1)
}

// join adds a member. Forged or broken news can't make the list grow without
// bound.
func (c *Core) join(now time.Duration, m Member, passOn bool) {
	if len(c.order) >= c.config.MaxMembers {
		return
	}
	m.State = Alive
	added := c.insert(now, m)
	if passOn {
		c.rumours.add(rumour{Kind: rumourAlive, Member: m})
	}
	c.event(Joined, added, WhyTold, "")
	c.evict(now, added)
}

// evict declares the former user of an address dead: a VM that was replaced
// leaves a member that will never answer, at an address that does.
func (c *Core) evict(now time.Duration, newer *record) {
	for _, m := range c.order {
		if m == newer || m == c.self || m.Address != newer.Address || !m.State.living() {
			continue
		}
		if m.Incarnation.Started < newer.Incarnation.Started {
			c.gone(now, m.Member, Dead, WhyAddressTaken, c.config.Self)
		}
	}
}

// suspect takes an accusation. It is for the suspect and its monitors only,
// and the accuser sends it to them. Told to all, the accusations of a fleet
// that loses packets would be more than the byte budget can carry, refutations
// would wait behind them, and living members would die.
func (c *Core) suspect(now time.Duration, m Member, by protocol.RouterID, why Why) {
	if m.ID == c.config.Self {
		c.refute(now, m.Incarnation, false)
		return
	}
	known := c.members[m.ID]
	if known == nil || !known.State.living() || !c.current(known, m) {
		return
	}
	if known.State == Alive {
		// tickSuspicions probes it until it answers or dies.
		known.State = Suspect
		known.Incarnation = m.Incarnation
		known.changed = now
		known.suspicion = suspicion{since: now}
		c.suspects = append(c.suspects, known)
		c.event(Suspected, known, why, by)
	}
	accusers := known.suspicion.by
	if len(accusers) > c.config.Confirmations || slices.Contains(accusers, by) {
		return
	}
	known.suspicion.by = append(accusers, by)
	if by == c.config.Self {
		c.accuse(now, known)
	}
}

// accuse tells a suspect's other monitors, who confirm it or don't. The
// suspect itself hears it on the next probe.
func (c *Core) accuse(now time.Duration, known *record) {
	accusation := []rumour{{Kind: rumourSuspect, Member: known.Member, By: c.config.Self}}
	for _, id := range c.monitors(known) {
		c.send(now, c.members[id], message{Kind: Gossip, Rumours: accusation}, classProbe)
	}
}

// current says whether an accusation is about the life of the member that is
// known, and not older than what it said last.
func (c *Core) current(known *record, accused Member) bool {
	return known.Incarnation.Started == accused.Incarnation.Started &&
		accused.Incarnation.Compare(known.Incarnation) >= 0
}

// gone takes the news that a member died or left.
func (c *Core) gone(now time.Duration, m Member, state State, why Why, by protocol.RouterID) {
	if m.ID == c.config.Self {
		c.refute(now, m.Incarnation, true)
		return
	}
	known := c.members[m.ID]
	if known == nil || !known.State.living() || !c.current(known, m) {
		return
	}
	c.count(known, -1)
	known.State = state
	known.Incarnation = m.Incarnation
	known.changed = now
	known.suspicion = suspicion{}
	if state == Left {
		c.rumours.add(rumour{Kind: rumourLeft, Member: known.Member})
		c.event(Departed, known, why, by)
		return
	}
	c.rumours.add(rumour{Kind: rumourDead, Member: known.Member, By: by})
	c.event(Died, known, why, by)
}

// refute answers an accusation of this member by a higher incarnation. Being
// accused is a reason to doubt itself as well. Every packet carries the
// incarnation, so monitors learn of it by any; only an accusation that all
// believe has to be refuted to all.
func (c *Core) refute(now time.Duration, accused Incarnation, toAll bool) {
	c.adopt(accused)
	own := &c.self.Incarnation
	if c.leaving || accused.Started != own.Started || accused.Refuted < own.Refuted {
		return
	}
	own.Refuted = accused.Refuted + 1
	c.health.worse(1)
	c.event(Doubted, c.self, WhyAccused, "")
	if toAll {
		c.rumours.add(rumour{Kind: rumourAlive, Member: c.self.Member})
		return
	}
	for _, id := range c.neighbours {
		if to := c.members[id]; to != nil {
			c.send(now, to, message{Kind: Gossip}, classProbe)
		}
	}
}

// maxAdoptions bounds how often a process moves its start time on. Two
// processes under one ID would otherwise outbid each other for ever.
const maxAdoptions = 3

// adopt moves the start time of this process behind one that others remember.
// A clock that went back between two starts makes the new life look like the
// older one: nobody would take its news, and it could refute nothing.
func (c *Core) adopt(heard Incarnation) {
	if heard.Started <= c.self.Incarnation.Started || c.adoptions >= maxAdoptions {
		return
	}
	c.adoptions++
	c.count(c.self, -1)
	c.self.Incarnation = Incarnation{Started: heard.Started + 1}
	c.count(c.self, 1)
	c.rumours.add(rumour{Kind: rumourAlive, Member: c.self.Member})
}

// tickSuspicions declares those dead who did not refute in time.
func (c *Core) tickSuspicions(now time.Duration) {
	c.suspects = slices.DeleteFunc(c.suspects, func(m *record) bool {
		if m.State == Suspect && now-m.suspicion.since >= c.timeToRefute(m) {
			c.gone(now, m.Member, Dead, WhyNoRefutation, c.config.Self)
		}
		if m.State == Suspect && now >= m.suspicion.nextProbe {
			m.suspicion.nextProbe = now + c.config.ProbePeriod/2
			c.probeSoon(m.ID)
		}
		return m.State != Suspect
	})
}

// answered takes a suspicion back when the suspect answered a probe after it,
// through a helper perhaps, whose answer carries no incarnation.
func (c *Core) answered(now time.Duration, m *record) {
	if m.State != Suspect {
		return
	}
	m.State = Alive
	m.changed = now
	m.suspicion = suspicion{}
	c.event(Refuted, m, WhyAnswered, "")
}

// timeToRefute shrinks from SuspicionMax to SuspicionMin with the logarithm of
// the confirmations: the first says most. One accuser may be wrong about
// its own network, four in different places hardly.
func (c *Core) timeToRefute(m *record) time.Duration {
	confirmed := float64(min(len(m.suspicion.by)-1, c.config.Confirmations))
	share := math.Log(confirmed+1) / math.Log(float64(c.config.Confirmations)+1)
	spread := float64(c.config.SuspicionMax - c.config.SuspicionMin)
	alone := c.config.SuspicionMax - time.Duration(share*spread)
	return c.health.stretch(alone << m.revivals)
}

const (
	// maxRevivals bounds the time to refute to four times.
	maxRevivals = 2
	// calm is how long a member must live unsuspected to count as steady.
	calm = time.Minute
)

// countRevival gives a member that was wrongly held for dead more time with
// each time. An overloaded router would otherwise die and return every few
// seconds, and each time be news to the whole fleet.
func (c *Core) countRevival(now time.Duration, known *record, m Member) {
	switch {
	case known.Incarnation.Started != m.Incarnation.Started || now-known.changed > calm:
		known.revivals = 0
	case !known.State.living():
		known.revivals = min(maxRevivals, known.revivals+1)
	}
}
