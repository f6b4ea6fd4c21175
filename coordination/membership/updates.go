package membership

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// joinPeriod is the time in which a new member is expected to fetch its list.
const joinPeriod = time.Minute

// applyUpdates applies the updates in a packet: its rumours, and the sender's own
// incarnation and digest.
func (c *Core) applyUpdates(now time.Duration, m message) {
	for _, r := range m.Rumours {
		c.applyRumour(now, r, m.Kind == List)
	}
	from := c.members[m.From]
	if from != nil && from.State != Left && from.Incarnation.Started == m.Incarnation.Started {
		// Every packet carries its sender's incarnation, so a refutation reaches
		// the sender's partners without a rumour. If it comes after the sender was
		// declared dead, it has to reach all members that were told of the death.
		known := from.Member
		known.Incarnation = m.Incarnation
		c.handleAlive(now, known, !from.State.living())
	}
	if m.Kind != Join {
		c.compareDigest(now, m)
	}
}

func (c *Core) applyRumour(now time.Duration, r rumour, fromList bool) {
	switch r.Kind {
	case rumourAlive:
		// The entries of a list are new to a new member, but not to the fleet.
		// Passing them on would spend the budget that the member needs to join.
		c.handleAlive(now, r.Member, !fromList || now-c.startedAt > joinPeriod)
	case rumourSuspect:
		c.handleSuspicion(now, r.Member, r.By, WhyReported)
	case rumourDead:
		if fromList {
			// After a partition, the sender's list holds all members of the other
			// side as dead. They get time to refute.
			c.handleSuspicion(now, r.Member, r.By, WhyReported)
			return
		}
		c.handleDeadOrLeft(now, r.Member, Dead, WhyReported, r.By)
	case rumourLeft:
		c.handleDeadOrLeft(now, r.Member, Left, WhyReported, r.Member.ID)
	case rumourItem:
		c.handleItem(now, r)
	}
}

// handleAlive handles the update that a member is alive in an incarnation. If
// passOn is set, it queues the update as a rumour.
func (c *Core) handleAlive(now time.Duration, m Member, passOn bool) {
	if m.ID == c.config.Self {
		c.advanceStart(m.Incarnation)
		return
	}
	known := c.members[m.ID]
	if known == nil {
		c.addMember(now, m, passOn)
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
		c.emit(Joined, known, WhyReported, "")
	case was.Incarnation.Started != m.Incarnation.Started:
		c.emit(Restarted, known, WhyReported, "")
	case was.State == Suspect:
		c.emit(Refuted, known, WhyReported, "")
	}
	c.evictFormerMember(now, known)
}

// update moves a member to a newer incarnation, in which it is alive.
func (c *Core) update(now time.Duration, known *record, m Member) {
	if known.State.living() {
		c.updateDigest(known, -1)
	}
	c.countFalseDeath(now, known, m)
	m.State = Alive
	known.Member = m
	known.changed = now
	known.failures = 0
	known.suspicion = suspicion{}
	c.updateDigest(known, 1)
}

// addMember adds a member, unless the list is full: forged or malformed updates
// must not make it grow without bound.
func (c *Core) addMember(now time.Duration, m Member, passOn bool) {
	if len(c.order) >= c.config.MaxMembers {
		return
	}
	m.State = Alive
	added := c.insert(now, m)
	if passOn {
		c.rumours.add(rumour{Kind: rumourAlive, Member: m})
	}
	c.emit(Joined, added, WhyReported, "")
	c.evictFormerMember(now, added)
}

// evictFormerMember declares the former member at an address dead. When a VM is
// replaced, its former member never answers again, but another member answers
// at its address.
func (c *Core) evictFormerMember(now time.Duration, newer *record) {
	for _, m := range c.order {
		if m == newer || m == c.self || m.Address != newer.Address || !m.State.living() {
			continue
		}
		if m.Incarnation.Started < newer.Incarnation.Started {
			c.handleDeadOrLeft(now, m.Member, Dead, WhyAddressTaken, c.config.Self)
		}
	}
}

// handleSuspicion handles a suspicion. The member that suspects sends it only to
// the suspect and to the suspect's monitors. If suspicions were spread to all, a
// fleet that loses packets would produce more of them than the byte budget can
// carry, refutations would be delayed behind them, and living members would be
// declared dead.
func (c *Core) handleSuspicion(now time.Duration, m Member, by protocol.RouterID, why Why) {
	if m.ID == c.config.Self {
		c.refute(now, m.Incarnation, false)
		return
	}
	known := c.members[m.ID]
	if known == nil || !known.State.living() || !c.isCurrent(known, m) {
		return
	}
	if known.State == Alive {
		// tickSuspicions probes the member until it answers or is declared dead.
		known.State = Suspect
		known.Incarnation = m.Incarnation
		known.changed = now
		known.suspicion = suspicion{since: now}
		c.suspects = append(c.suspects, known)
		c.emit(Suspected, known, why, by)
	}
	reporters := known.suspicion.by
	if len(reporters) > c.config.Confirmations || slices.Contains(reporters, by) {
		return
	}
	known.suspicion.by = append(reporters, by)
	if by == c.config.Self {
		c.notifyMonitors(now, known)
	}
}

// notifyMonitors sends the suspicion to the suspect's other monitors, which
// confirm it or don't. The suspect itself receives it with the next probe.
func (c *Core) notifyMonitors(now time.Duration, known *record) {
	suspicion := []rumour{{Kind: rumourSuspect, Member: known.Member, By: c.config.Self}}
	for _, id := range c.monitors(known) {
		c.send(now, c.members[id], message{Kind: Gossip, Rumours: suspicion}, classProbe)
	}
}

// isCurrent reports whether a suspicion, death or leave concerns the known
// process of the member, and no incarnation older than the known one.
func (c *Core) isCurrent(known *record, reported Member) bool {
	return known.Incarnation.Started == reported.Incarnation.Started &&
		reported.Incarnation.Compare(known.Incarnation) >= 0
}

// handleDeadOrLeft handles the update that a member died or left.
func (c *Core) handleDeadOrLeft(now time.Duration, m Member, state State, why Why, by protocol.RouterID) {
	if m.ID == c.config.Self {
		c.refute(now, m.Incarnation, true)
		return
	}
	known := c.members[m.ID]
	if known == nil || !known.State.living() || !c.isCurrent(known, m) {
		return
	}
	c.updateDigest(known, -1)
	known.State = state
	known.Incarnation = m.Incarnation
	known.changed = now
	known.suspicion = suspicion{}
	if state == Left {
		c.rumours.add(rumour{Kind: rumourLeft, Member: known.Member})
		c.emit(Departed, known, why, by)
		return
	}
	c.rumours.add(rumour{Kind: rumourDead, Member: known.Member, By: by})
	c.emit(Died, known, why, by)
}

// refute raises the incarnation of this member above the suspected one. Being
// suspected also lowers this member's own health. Every packet carries the
// incarnation, so any packet tells the monitors; only a death, which has been
// spread to all, has to be refuted to all.
func (c *Core) refute(now time.Duration, suspected Incarnation, toAll bool) {
	c.advanceStart(suspected)
	own := &c.self.Incarnation
	if c.leaving || suspected.Started != own.Started || suspected.Refuted < own.Refuted {
		return
	}
	own.Refuted = suspected.Refuted + 1
	c.health.degrade(1)
	c.emit(HealthDegraded, c.self, WhySuspected, "")
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

// maxStartAdvances bounds how often a process advances its start time. Two
// processes with one ID would otherwise keep advancing past each other.
const maxStartAdvances = 3

// advanceStart moves the start time of this process past a later one that others
// have recorded for its ID. If the clock went back between two starts, the new
// process looks like the older one: the others would ignore its updates, and it
// could refute nothing.
func (c *Core) advanceStart(recorded Incarnation) {
	if recorded.Started <= c.self.Incarnation.Started || c.startAdvances >= maxStartAdvances {
		return
	}
	c.startAdvances++
	c.updateDigest(c.self, -1)
	c.self.Incarnation = Incarnation{Started: recorded.Started + 1}
	c.updateDigest(c.self, 1)
	c.rumours.add(rumour{Kind: rumourAlive, Member: c.self.Member})
}

// tickSuspicions declares the suspects dead that did not refute in time, and
// probes the others.
func (c *Core) tickSuspicions(now time.Duration) {
	c.suspects = slices.DeleteFunc(c.suspects, func(m *record) bool {
		if m.State == Suspect && now-m.suspicion.since >= c.suspicionTimeout(m) {
			c.handleDeadOrLeft(now, m.Member, Dead, WhyNoRefutation, c.config.Self)
		}
		if m.State == Suspect && now >= m.suspicion.nextProbe {
			m.suspicion.nextProbe = now + c.config.ProbePeriod/2
			c.probeSoon(m.ID)
		}
		return m.State != Suspect
	})
}

// clearSuspicion ends the suspicion of a member that answered a probe. The ack
// may come through a helper, and then does not carry the suspect's incarnation.
func (c *Core) clearSuspicion(now time.Duration, m *record) {
	if m.State != Suspect {
		return
	}
	m.State = Alive
	m.changed = now
	m.suspicion = suspicion{}
	c.emit(Refuted, m, WhyAnswered, "")
}

// suspicionTimeout returns the time that a suspect has to refute. It shrinks from
// SuspicionMax to SuspicionMin with the logarithm of the number of confirmations,
// so the first one counts most. A single member may suspect wrongly because of
// its own network; that four members in different places all do is unlikely.
func (c *Core) suspicionTimeout(m *record) time.Duration {
	confirmed := float64(min(len(m.suspicion.by)-1, c.config.Confirmations))
	share := math.Log(confirmed+1) / math.Log(float64(c.config.Confirmations)+1)
	spread := float64(c.config.SuspicionMax - c.config.SuspicionMin)
	timeout := c.config.SuspicionMax - time.Duration(share*spread)
	return c.health.stretch(timeout << m.falseDeaths)
}

const (
	// maxFalseDeaths bounds the time to refute to four times its length.
	maxFalseDeaths = 2
	// steadyTime is how long a member must live without a suspicion until its
	// earlier false deaths no longer count.
	steadyTime = time.Minute
)

// countFalseDeath doubles the time to refute of a member each time that it was
// wrongly declared dead. An overloaded router would otherwise be declared dead
// and return every few seconds, and each time the whole fleet would be told.
func (c *Core) countFalseDeath(now time.Duration, known *record, m Member) {
	switch {
	case known.Incarnation.Started != m.Incarnation.Started || now-known.changed > steadyTime:
		known.falseDeaths = 0
	case !known.State.living():
		known.falseDeaths = min(maxFalseDeaths, known.falseDeaths+1)
	}
}
