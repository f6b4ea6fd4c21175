package consensus

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// openWorld has hosts that know only the first three of them, of which the
// first start of the fleet makes voters.
func openWorld(seed uint64, hosts int) *world {
	w := newWorld(seed, hosts, 3)
	w.settings.Open = true
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

// startWith boots a host that knows other routers than the rest and takes no
// part in a first start.
func (w *world) startWith(h *host, contacts ...protocol.RouterID) {
	w.start(h)
	h.core.settings.InitialVoters = nil
	h.core.SetContacts(contacts)
}

// admit lets the leader take in whoever asks, as package repair would.
func (w *world) admit(rounds int) {
	for range rounds {
		w.run(200 * time.Millisecond)
		leader := w.leader()
		if leader == nil {
			continue
		}
		s := leader.core.Status()
		for _, p := range s.Peers {
			if !p.Voter && p.CaughtUp {
				_ = leader.core.ChangeMembership(w.clock(leader), Change{Kind: Promote, Member: p.Member, Reason: "test"})
			}
		}
		for _, seen := range s.Sightings {
			_ = leader.core.ChangeMembership(w.clock(leader), Change{Kind: AddLearner, Member: seen.Member, Reason: "test"})
		}
		w.take(leader)
	}
}

func TestDiskVMsFindEachOtherFromThreeSeeds(t *testing.T) {
	// A platform starts five disk VMs and tells each of them the same three
	// addresses, and not how many there are. Without a list of all, none of
	// them may wait for the others for ever, and all five must end as voters.
	w := openWorld(11, 5)
	w.admit(30)
	c, _ := w.leader().core.log.configuration()
	assert.Equal(t, len(c.Voters), 5)
	w.commit(t, 2)
	assert.Equal(t, w.violation, "")
}

func TestARouterFindsTheLeaderThroughOneThatOnlyFollows(t *testing.T) {
	// All VMs that a newcomer was told of have been replaced but one, and that
	// one does not lead. Asking it alone must be enough: only the leader takes
	// newcomers in, and nobody else tells the newcomer where it is.
	w := openWorld(12, 4)
	w.hosts[3].down = true
	w.run(5 * time.Second)
	leader := w.leader()
	follower := w.others(leader)[0]
	w.format(w.hosts[3])
	w.startWith(w.hosts[3], follower.router)
	w.admit(15)
	c, _ := w.leader().core.log.configuration()
	assert.Assert(t, c.IsVoter(w.hosts[3].self()))
	assert.Equal(t, w.violation, "")
}

func TestARemovedVoterThatReturnsIsTakenInAgain(t *testing.T) {
	// A voter was silent for so long that it was removed. It comes back with
	// its disk and an old configuration, and knows only a follower. It must
	// not stay outside for good.
	w := openWorld(13, 4)
	w.admit(20)
	leader := w.leader()
	back := w.others(leader)[0]
	w.crash(back)
	w.run(3 * time.Second)
	leader = w.leader()
	assert.NilError(t, leader.core.ChangeMembership(w.clock(leader), Change{Kind: Remove, Member: back.self(), Reason: "silent"}))
	w.take(leader)
	w.run(time.Second)
	follower := w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h != back && h != leader })]
	w.startWith(back, follower.router)
	w.admit(40)
	c, _ := w.leader().core.log.configuration()
	assert.Assert(t, c.IsVoter(back.self()))
	assert.Equal(t, w.violation, "")
}

func TestWipedSeedsOfAnOpenFleetFormNoSecondCluster(t *testing.T) {
	// The fleet has moved on to other VMs; its three first ones come back with
	// empty disks while the rest is cut off. They are not told that this is a
	// first start, so they must wait: two tables would run beside each other.
	w := openWorld(14, 4)
	holder := w.hosts[3]
	c := Configuration{Voters: []Member{holder.self()}}
	first := Entry{Index: 1, Term: 5, Kind: EntryConfiguration, Data: encodeConfiguration(c)}
	holder.disk.stored = Stored{HardState: HardState{Term: 5}, Entries: []Entry{first}}
	w.start(holder)
	w.isolate(holder, true)
	for _, h := range w.hosts[:3] {
		w.format(h)
		w.startWith(h, w.settings.Peers[:3]...)
	}
	w.run(20 * time.Second)
	for _, h := range w.hosts[:3] {
		assert.Assert(t, h.core.log.blank())
	}
	w.isolate(holder, false)
	w.run(time.Second)
	assert.Equal(t, w.leader(), holder)
}

func TestAClusterThatLostPowerLeadsAgainWithinARound(t *testing.T) {
	// All VMs of a platform lose power and are back a second later. Until the
	// disk VMs have a leader no router knows the table, and every caller is
	// refused. With a lease, each voter would first wait out what it may have
	// promised before.
	w := openWorld(15, 5)
	w.settings.Leaseless = true
	w.admit(30)
	w.commit(t, 3)
	for _, h := range w.hosts {
		w.crash(h)
	}
	w.now += time.Second
	for _, h := range w.hosts {
		w.startWith(h, w.settings.Peers[:3]...)
	}
	w.run(w.hosts[0].core.settings.ElectionSpread + 50*time.Millisecond)
	leader := w.leader()
	assert.Assert(t, leader != nil)
	assert.Assert(t, leader.core.log.commit >= leader.core.ownStart)
	assert.Assert(t, !leader.core.HoldsLease(w.clock(leader)))
	assert.Equal(t, w.violation, "")
}

func TestAMemberThatStartsAloneDisturbsNoLeader(t *testing.T) {
	// One VM restarts while the others have a leader. It campaigns at once, and
	// must neither depose the leader nor raise the term.
	w := openWorld(16, 5)
	w.settings.Leaseless = true
	w.admit(30)
	leader := w.leader()
	term := leader.core.term
	for _, h := range w.others(leader) {
		w.crash(h)
		w.startWith(h, w.settings.Peers[:3]...)
		w.run(3 * time.Second)
	}
	assert.Equal(t, w.leader(), leader)
	assert.Equal(t, leader.core.term, term)
	assert.Equal(t, w.violation, "")
}
