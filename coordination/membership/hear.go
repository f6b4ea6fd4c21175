package membership

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// hear takes the news of a packet: its rumours, and what the sender's own
// incarnation and digest say.
func (c *Core) hear(now time.Duration, m message) {
	for _, r := range m.Rumours {
		c.hearRumour(now, r, m.Kind == List)
	}
	from := c.members[m.From]
	if from != nil && from.State.living() && from.Incarnation.Started == m.Incarnation.Started {
		// A refutation reaches those it talks to without any rumour.
		known := from.Member
		known.Incarnation = m.Incarnation
		c.alive(now, known)
	}
	if m.Kind != Join {
		c.compare(now, m)
	}
}

func (c *Core) hearRumour(now time.Duration, r rumour, fromList bool) {
	switch r.Kind {
	case rumourAlive:
		c.alive(now, r.Member)
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

// alive takes the news that a member lives in an incarnation.
func (c *Core) alive(now time.Duration, m Member) {
	if m.ID == c.config.Self {
		c.adopt(m.Incarnation)
		return
	}
	known := c.members[m.ID]
	if known == nil {
		c.join(now, m)
		return
	}
	if m.Incarnation.Compare(known.Incarnation) <= 0 {
		return
	}
	was := known.Member
	c.update(now, known, m)
	c.rumours.add(rumour{Kind: rumourAlive, Member: known.Member})
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
	m.State = Alive
	known.Member = m
	known.changed = now
	known.failures = 0
	known.suspicion = suspicion{}
	c.count(known, 1)
}

// join adds a member. Forged or broken news can't make the list grow without
// bound.
func (c *Core) join(now time.Duration, m Member) {
	if len(c.order) >= c.config.MaxMembers {
		return
	}
	m.State = Alive
	added := c.insert(now, m)
	c.rumours.add(rumour{Kind: rumourAlive, Member: m})
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

// suspect takes an accusation.
func (c *Core) suspect(now time.Duration, m Member, by protocol.RouterID, why Why) {
	if m.ID == c.config.Self {
		c.refute(m.Incarnation)
		return
	}
	known := c.members[m.ID]
	if known == nil || !known.State.living() || !c.current(known, m) {
		return
	}
	if known.State == Alive {
		known.State = Suspect
		known.Incarnation = m.Incarnation
		known.changed = now
		known.suspicion = suspicion{since: now, by: []protocol.RouterID{by}}
		c.suspects = append(c.suspects, known)
		c.event(Suspected, known, why, by)
		c.rumours.add(rumour{Kind: rumourSuspect, Member: known.Member, By: by})
		if by != c.config.Self && slices.Contains(c.targets, m.ID) {
			c.probeSoon(m.ID)
		}
		return
	}
	accusers := known.suspicion.by
	if len(accusers) <= c.config.Confirmations && !slices.Contains(accusers, by) {
		known.suspicion.by = append(accusers, by)
		c.rumours.add(rumour{Kind: rumourSuspect, Member: known.Member, By: by})
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
		c.refute(m.Incarnation)
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
// accused is a reason to doubt itself as well.
func (c *Core) refute(accused Incarnation) {
	c.adopt(accused)
	own := &c.self.Incarnation
	if c.leaving || accused.Started != own.Started || accused.Refuted < own.Refuted {
		return
	}
	own.Refuted = accused.Refuted + 1
	c.health.worse(1)
	c.rumours.add(rumour{Kind: rumourAlive, Member: c.self.Member})
	c.event(Doubted, c.self, WhyAccused, "")
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
		return m.State != Suspect
	})
}

// timeToRefute shrinks from SuspicionMax to SuspicionMin with the logarithm of
// the confirmations: the first says most. One accuser may be wrong about
// its own network, four in different places hardly.
func (c *Core) timeToRefute(m *record) time.Duration {
	confirmed := float64(min(len(m.suspicion.by)-1, c.config.Confirmations))
	share := math.Log(confirmed+1) / math.Log(float64(c.config.Confirmations)+1)
	spread := float64(c.config.SuspicionMax - c.config.SuspicionMin)
	return c.health.stretch(c.config.SuspicionMax - time.Duration(share*spread))
}
