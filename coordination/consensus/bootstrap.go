package consensus

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// A cluster forms once. Every blank router with a disk sends a hello to the
// others. The initial voter with the lowest router ID waits until all other
// routers, spares included, have said that they are blank and that they know its
// disk. Then it writes the configuration as entry 1 and sends it to the other
// initial voters.
//
// Failure: voters with wiped disks form a second cluster beside the first, and
// both accept orders. This can happen after the initial voters were replaced:
// later they lose their disks and restart while the VM that now holds the log
// is partitioned away. The guard is that the member that holds the log is among
// the peers and never reports that it is blank, and that a member which has
// received one hello from a member with a log forms no cluster.
//
// In an open cluster no member knows all peers, so only the initial voters have
// to be blank. There the guard is that a VM is given initial voters only at the
// very first start of the whole fleet.

// Limit: if a disk is lost in the seconds before entry 1 is on a quorum of
// disks, the voters may hold different first configurations and elect no
// leader. Nothing has been accepted by then: wipe all disks and start again.

// bootstrapTerm is the term of entry 1.
const bootstrapTerm = 1

// tickBlank sends hellos, and forms the cluster once that is allowed.
func (c *Core) tickBlank(now time.Duration) {
	c.sendHellos(now)
	if c.mayFormCluster() {
		c.formCluster(now)
	}
}

// sendHellos sends a hello to all other known routers, twice per election
// timeout.
func (c *Core) sendHellos(now time.Duration) {
	if now < c.helloAt {
		return
	}
	c.helloAt = now + c.settings.ElectionTimeout/2
	for _, router := range c.helloTargets() {
		if router != c.settings.Self.Router {
			c.sendHello(Member{Router: router, Disk: c.diskOf(router)})
		}
	}
}

// helloTargets returns the routers that receive hellos: the configured peers
// and, in an open cluster, also the members of the newest configuration and the
// leader that another member named.
//
// Failure: while this member is down, all of its configured peers are replaced
// by other VMs. When it returns it asks only the old ones and never joins
// again.
func (c *Core) helloTargets() []protocol.RouterID {
	targets := slices.Clone(c.settings.Peers)
	if !c.settings.Open {
		return targets
	}
	configuration, _ := c.log.configuration()
	for _, m := range configuration.Members() {
		targets = append(targets, m.Router)
	}
	if c.leaderHint != "" {
		targets = append(targets, c.leaderHint)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// SetPeers replaces the routers to ask first. It is meant for members of an
// open cluster.
func (c *Core) SetPeers(routers []protocol.RouterID) {
	c.settings.Peers = slices.Clone(routers)
}

// sendHello sends a hello to one router. The field To carries the disk that
// this member last saw there. A member of an open cluster also names the leader
// that it follows: only the leader admits new members, and they cannot know
// where it is.
func (c *Core) sendHello(to Member) {
	m := Message{Kind: MessageHello, To: to, Blank: c.log.blank()}
	if c.settings.Open {
		m.Leader = c.leader.Router
	}
	c.send(m)
}

// diskOf returns the disk that a router last reported, or zero.
func (c *Core) diskOf(router protocol.RouterID) DiskID {
	for _, s := range c.discovered {
		if s.member.Router == router {
			return s.member.Disk
		}
	}
	return 0
}

// recordDiscovered remembers the sender as the current member of its router.
func (c *Core) recordDiscovered(now time.Duration, m Message) {
	if !c.settings.Open && !slices.Contains(c.settings.Peers, m.From.Router) {
		return
	}
	found := discoveredMember{member: m.From, at: now, blank: m.Blank, knownAs: m.To}
	for i := range c.discovered {
		if c.discovered[i].member.Router == m.From.Router {
			c.discovered[i] = found
			return
		}
	}
	if len(c.discovered) >= maxDiscovered {
		c.discovered = c.discovered[1:]
	}
	c.discovered = append(c.discovered, found)
}

// maxDiscovered bounds the routers that are remembered. It is far more than the
// disk VMs of any fleet, and it keeps the memory small when addresses come and
// go for months.
const maxDiscovered = 64

// receiveHello remembers the sender. A member with a log replies to a blank
// sender: with the first configuration if that one contains the sender, else
// with a hello that keeps it from forming a cluster.
func (c *Core) receiveHello(now time.Duration, m Message) {
	if m.To.Router != c.settings.Self.Router || m.From.Router == c.settings.Self.Router {
		return
	}
	if !m.Blank && m.Epoch < c.epoch {
		c.sendHello(m.From)
		return
	}
	c.recordDiscovered(now, m)
	if !m.Blank {
		c.clusterExists = true
		c.checkSuperseded(now, m)
	}
	if m.Leader != "" && m.Leader != c.leaderHint {
		c.leaderHint = m.Leader
		c.helloAt = now
	}
	if c.log.blank() {
		return
	}
	if !m.Blank {
		c.sendLeaderHint(m)
		return
	}
	if first, ok := c.initialConfiguration(); ok && first.IsVoter(m.From) {
		c.sendAfterSync(Message{Kind: MessageBootstrap, To: m.From, Configuration: &first})
		return
	}
	c.sendHello(m.From)
}

// sendLeaderHint names the leader of an open cluster to a router that was
// removed and has come back with its log. The hello is marked as a reply, so
// that the receiver does not reply to it.
func (c *Core) sendLeaderHint(m Message) {
	configuration, _ := c.log.configuration()
	known := c.settings.Open && !c.leader.IsZero()
	if known && !m.Reply && !configuration.Contains(m.From) {
		c.send(Message{Kind: MessageHello, To: m.From, Leader: c.leader.Router, Reply: true})
	}
}

// initialConfiguration returns the configuration of entry 1 if the log still
// holds it.
func (c *Core) initialConfiguration() (Configuration, bool) {
	if c.log.base > 0 || len(c.log.configurations) == 0 || c.log.configurations[0].index != 1 {
		return Configuration{}, false
	}
	return c.log.configurations[0].configuration, true
}

// mayFormCluster reports whether this member is the initial voter with the
// lowest router ID, and all routers that must be blank have said so and know this
// member's disk.
func (c *Core) mayFormCluster() bool {
	voters := slices.Sorted(slices.Values(c.settings.InitialVoters))
	if c.clusterExists || len(voters) == 0 || voters[0] != c.settings.Self.Router {
		return false
	}
	mustBeBlank := c.settings.Peers
	if c.settings.Open {
		mustBeBlank = voters
	}
	for _, router := range mustBeBlank {
		if router == c.settings.Self.Router {
			continue
		}
		ready := slices.ContainsFunc(c.discovered, func(s discoveredMember) bool {
			return s.member.Router == router && s.blank && s.knownAs == c.settings.Self
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
	c.appendInitialConfiguration(now, configuration)
	for _, voter := range configuration.Voters[1:] {
		c.sendAfterSync(Message{Kind: MessageBootstrap, To: voter, Configuration: &configuration})
	}
}

// receiveBootstrap appends entry 1 if this member is blank and a voter in it.
func (c *Core) receiveBootstrap(now time.Duration, m Message) {
	if c.log.blank() && m.Configuration != nil && m.Configuration.IsVoter(c.settings.Self) {
		c.appendInitialConfiguration(now, *m.Configuration)
	}
}

// appendInitialConfiguration writes entry 1. This member may vote and campaign
// at once, because nobody can hold a lease yet.
func (c *Core) appendInitialConfiguration(now time.Duration, configuration Configuration) {
	c.term = max(c.term, bootstrapTerm)
	c.log.append([]Entry{{Index: 1, Term: bootstrapTerm, Kind: EntryConfiguration, Data: encodeConfiguration(configuration)}})
	c.leaderHeardAt = now - c.settings.ElectionTimeout
	c.electionAt = now + time.Duration(c.random.Int64N(int64(c.settings.ElectionSpread)))
	if c.isSoleVoter() {
		c.electionAt = now
	}
	c.event(EventClusterFormed, Member{}, "%d initial voters", len(configuration.Voters))
}
