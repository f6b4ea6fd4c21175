package consensus

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// A cluster forms once. Every blank router with a disk says hello to the
// others. When all of them, spares included, have said that they are blank, and
// that they know the disk of the first initial voter by name, that first one
// writes the configuration as entry 1 and sends it to the other initial voters.
//
// Failure: a voter with a wiped disk starts a second cluster beside the first,
// and two histories of orders run. It shows when the first voters have been
// replaced, later lose their disks, and the one that now holds the log is cut
// off. The guard: whoever holds the log is among the peers and never says that
// it is blank, and one hello of a member with a log stops the forming for good.
//
// In an open cluster nobody knows all peers, and the initial voters alone are
// asked. There the guard is that a VM is told initial voters only at the very
// first start of the whole fleet.

// Limit: a disk that is lost in the seconds before entry 1 is on a quorum of
// disks may leave voters that hold different first configurations, and no
// leader. Nothing has been accepted by then: wipe all and start again.

// genesisTerm is the term of entry 1.
const genesisTerm = 1

// tickBlank says hello, and forms the cluster when it may.
func (c *Core) tickBlank(now time.Duration) {
	c.sendHellos(now)
	if c.mayFormCluster() {
		c.formCluster(now)
	}
}

// sendHellos tells all other routers of this member, once in an election
// timeout.
func (c *Core) sendHellos(now time.Duration) {
	if now < c.helloAt {
		return
	}
	c.helloAt = now + c.settings.ElectionTimeout/2
	for _, router := range c.contacts() {
		if router != c.settings.Self.Router {
			c.sendHello(Member{Router: router, Disk: c.diskOf(router)})
		}
	}
}

// contacts returns the routers that hellos go to: those that were listed, and
// in an open cluster also those of the newest configuration and the leader
// that an answer named.
//
// Failure: the listed routers are replaced by others while this one is down;
// it returns, asks only them and stays outside for good.
func (c *Core) contacts() []protocol.RouterID {
	contacts := slices.Clone(c.settings.Peers)
	if !c.settings.Open {
		return contacts
	}
	configuration, _ := c.log.configuration()
	for _, m := range configuration.Members() {
		contacts = append(contacts, m.Router)
	}
	if c.namedLeader != "" {
		contacts = append(contacts, c.namedLeader)
	}
	slices.Sort(contacts)
	return slices.Compact(contacts)
}

// SetContacts replaces the routers to ask first in an open cluster.
func (c *Core) SetContacts(routers []protocol.RouterID) {
	c.settings.Peers = slices.Clone(routers)
}

// sendHello tells one router of this member. To carries the disk this member
// knows there.
// A member of an open cluster names the leader that it follows: only the
// leader takes newcomers in, and they can't know where it is.
func (c *Core) sendHello(to Member) {
	m := Message{Kind: MessageHello, To: to, Blank: c.log.blank()}
	if c.settings.Open {
		m.Leader = c.leader.Router
	}
	c.send(m)
}

// diskOf returns the disk last heard of at a router, or zero.
func (c *Core) diskOf(router protocol.RouterID) DiskID {
	for _, s := range c.sightings {
		if s.member.Router == router {
			return s.member.Disk
		}
	}
	return 0
}

// sight remembers the member that now speaks for a router.
func (c *Core) sight(now time.Duration, m Message) {
	if !c.settings.Open && !slices.Contains(c.settings.Peers, m.From.Router) {
		return
	}
	seen := sighting{member: m.From, at: now, blank: m.Blank, knows: m.To}
	for i := range c.sightings {
		if c.sightings[i].member.Router == m.From.Router {
			c.sightings[i] = seen
			return
		}
	}
	if len(c.sightings) >= maxSightings {
		c.sightings = c.sightings[1:]
	}
	c.sightings = append(c.sightings, seen)
}

// maxSightings bounds the routers remembered outside the configuration: far
// more than the disk VMs of any fleet, so that addresses which came and went
// for months take no memory.
const maxSightings = 64

// receiveHello remembers the sender. A member with a log answers a blank one:
// with the first configuration if the sender is in it, else with a hello that
// keeps it from forming a cluster.
func (c *Core) receiveHello(now time.Duration, m Message) {
	if m.To.Router != c.settings.Self.Router || m.From.Router == c.settings.Self.Router {
		return
	}
	if !m.Blank && m.Epoch < c.epoch {
		c.sendHello(m.From)
		return
	}
	c.sight(now, m)
	if !m.Blank {
		c.clusterExists = true
		c.checkSuperseded(now, m)
	}
	if m.Leader != "" && m.Leader != c.namedLeader {
		c.namedLeader = m.Leader
		c.helloAt = now
	}
	if c.log.blank() {
		return
	}
	if !m.Blank {
		c.directNewcomer(m)
		return
	}
	if first, ok := c.genesis(); ok && first.IsVoter(m.From) {
		c.sendAfterSync(Message{Kind: MessageGenesis, To: m.From, Configuration: &first})
		return
	}
	c.sendHello(m.From)
}

// directNewcomer tells a router that was removed, and has come back with its
// log, who leads an open cluster. The answer is marked, so that it is not
// answered in its turn.
func (c *Core) directNewcomer(m Message) {
	configuration, _ := c.log.configuration()
	known := c.settings.Open && !c.leader.IsZero()
	if known && !m.Answer && !configuration.Contains(m.From) {
		c.send(Message{Kind: MessageHello, To: m.From, Leader: c.leader.Router, Answer: true})
	}
}

// genesis returns the configuration of entry 1 if the log still holds it.
func (c *Core) genesis() (Configuration, bool) {
	if c.log.base > 0 || len(c.log.configurations) == 0 || c.log.configurations[0].index != 1 {
		return Configuration{}, false
	}
	return c.log.configurations[0].configuration, true
}

// mayFormCluster reports whether this member is the first initial voter and
// all other routers with a disk are blank and ready to take its word.
func (c *Core) mayFormCluster() bool {
	voters := slices.Sorted(slices.Values(c.settings.InitialVoters))
	if c.clusterExists || len(voters) == 0 || voters[0] != c.settings.Self.Router {
		return false
	}
	blankNeeded := c.settings.Peers
	if c.settings.Open {
		blankNeeded = voters
	}
	for _, router := range blankNeeded {
		if router == c.settings.Self.Router {
			continue
		}
		ready := slices.ContainsFunc(c.sightings, func(s sighting) bool {
			return s.member.Router == router && s.blank && s.knows == c.settings.Self
		})
		if !ready {
			return false
		}
	}
	return true
}

// formCluster writes entry 1 and sends it to the other initial voters.
func (c *Core) formCluster(now time.Duration) {
	configuration := Configuration{Voters: []Member{c.settings.Self}}
	voters := slices.Sorted(slices.Values(c.settings.InitialVoters))
	for _, router := range voters[1:] {
		configuration.Voters = append(configuration.Voters, Member{Router: router, Disk: c.diskOf(router)})
	}
	c.startFrom(now, configuration)
	for _, voter := range configuration.Voters[1:] {
		c.sendAfterSync(Message{Kind: MessageGenesis, To: voter, Configuration: &configuration})
	}
}

// receiveGenesis takes entry 1 if this member is blank and named in it.
func (c *Core) receiveGenesis(now time.Duration, m Message) {
	if c.log.blank() && m.Configuration != nil && m.Configuration.IsVoter(c.settings.Self) {
		c.startFrom(now, *m.Configuration)
	}
}

// startFrom writes the first entry. Nobody can hold a lease yet.
func (c *Core) startFrom(now time.Duration, configuration Configuration) {
	c.term = max(c.term, genesisTerm)
	c.log.append([]Entry{{Index: 1, Term: genesisTerm, Kind: EntryConfiguration, Data: encodeConfiguration(configuration)}})
	c.contact = now - c.settings.ElectionTimeout
	c.electionAt = now + time.Duration(c.random.Int64N(int64(c.settings.ElectionSpread)))
	if c.isSoleVoter() {
		c.electionAt = now
	}
	c.event(EventGenesis, Member{}, "%d initial voters", len(configuration.Voters))
}
