package consensus

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

var (
	scheduleSteps = flag.Int("schedule.steps", 300_000, "steps of the random schedule, in total over all seeds")
	scheduleSeed  = flag.Uint64("schedule.seed", 1, "first seed of the random schedule")
	searchSeeds   = flag.Int("schedule.search", 0, "seeds to try for each mutation; prints the first that fails")
)

// stepsPerSeed keeps one run short enough to read.
const stepsPerSeed = 6000

// schedule runs a simulation with random actions. Every seed draws its own
// weights, so that some runs have many crashes and others many partitions.
type schedule struct {
	*simulation
	weights []int
	actions []func()
	total   int
	delayed []Message
}

func newSchedule(seed uint64, m mutation) *schedule {
	hosts := 5
	if m.electionStorm {
		hosts = 3
	}
	sim := newSimulation(seed, hosts, 3)
	s := &schedule{simulation: sim}
	sim.unsafe = m.unsafe
	sim.sameDisk = m.sameDisk
	sim.settings.Leaseless = m.leaseless
	sim.settings.Open = m.leaseless
	if m.electionStorm {
		sim.settings.MaxAppendBytes = 1
	}
	sim.settings.ElectionSpread = DefaultElectionTimeout / time.Duration(1+sim.random.IntN(8))
	for _, h := range sim.hosts {
		h.offset = time.Duration(sim.random.Int64N(int64(time.Hour)))
		h.rate = 1 + (sim.random.Float64()*2-1)*float64(DefaultDriftPerMille)/perMille
		sim.start(h)
	}
	if m.electionStorm {
		s.addElectionStorm()
		s.run(3 * time.Second)
		return s
	}
	s.add(40+s.randomWeight(40), s.deliver)
	s.add(s.randomWeight(12), s.passTime)
	s.add(10+s.randomWeight(30), s.syncOne)
	s.add(s.randomWeight(8), s.proposeOne)
	s.add(s.randomWeight(6), s.crashOne)
	s.add(s.randomWeight(6), s.startOne)
	s.add(s.randomWeight(6), s.partition)
	s.add(s.randomWeight(4), s.heal)
	s.add(s.randomWeight(2), s.freezeOne)
	s.add(s.randomWeight(3), s.compactOne)
	s.add(s.randomWeight(3), s.deliverDelayed)
	s.add(1, s.runFaultFree)
	s.add(s.random.IntN(4), s.changeOne)
	s.add(s.random.IntN(3), s.wipeOne)
	s.add(s.random.IntN(3), s.transferOne)
	if s.random.IntN(4) > 0 {
		s.run(3 * time.Second)
	}
	return s
}

// addElectionStorm adds the actions with weights that cause continual elections
// among three voters.
func (s *schedule) addElectionStorm() {
	s.add(40+s.randomWeight(60), s.deliver)
	s.add(5+s.randomWeight(20), s.passTime)
	s.add(10+s.randomWeight(60), s.syncOne)
	s.add(s.randomWeight(5), s.proposeOne)
	s.add(s.randomWeight(12), s.crashOne)
	s.add(s.randomWeight(12), s.startOne)
	s.add(s.randomWeight(12), s.partition)
	s.add(s.randomWeight(8), s.heal)
	s.add(s.randomWeight(6), s.freezeOne)
	s.add(s.randomWeight(4), s.deliverDelayed)
	s.add(s.random.IntN(3), s.transferOne)
}

// runFaultFree lets everything that is not isolated or frozen work for a while,
// so that a run gets past the next election.
func (s *schedule) runFaultFree() { s.run(time.Duration(s.random.Int64N(int64(2 * time.Second)))) }

func (s *schedule) randomWeight(weight int) int { return 1 + s.random.IntN(weight) }

// anyPreferLeader returns the leader in at least half of the calls, since most
// failures start there.
func (s *schedule) anyPreferLeader() *host {
	if leader := s.leader(); leader != nil && s.random.IntN(2) == 0 {
		return leader
	}
	return s.any()
}

func (s *schedule) add(weight int, action func()) {
	s.weights = append(s.weights, weight)
	s.actions = append(s.actions, action)
	s.total += weight
}

// step runs one random action and checks the lease invariants.
func (s *schedule) step() {
	pick := s.random.IntN(s.total)
	for i, weight := range s.weights {
		if pick < weight {
			s.actions[i]()
			break
		}
		pick -= weight
	}
	s.now += time.Duration(s.random.Int64N(int64(time.Millisecond)))
	s.checkLease()
}

func (s *schedule) any() *host { return s.hosts[s.random.IntN(len(s.hosts))] }

// deliver delivers a random one of the oldest messages, which reorders them.
// Some messages are lost, delivered twice, or delivered once more much later.
func (s *schedule) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.random.IntN(min(len(s.network), 12))
	m := s.network[i]
	draw := s.random.IntN(100)
	if draw >= 3 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if draw < 93 {
		s.receive(m)
	}
	if draw >= 97 {
		s.delayed = append(s.delayed, m)
	}
}

// deliverDelayed delivers a message that was sent long ago.
func (s *schedule) deliverDelayed() {
	if len(s.delayed) > 0 {
		i := s.random.IntN(len(s.delayed))
		m := s.delayed[i]
		s.delayed = slices.Delete(s.delayed, i, i+1)
		s.receive(m)
	}
}

func (s *schedule) passTime() {
	s.now += time.Duration(s.random.Int64N(int64(80 * time.Millisecond)))
	for _, h := range s.hosts {
		s.tick(h)
	}
}

func (s *schedule) syncOne() {
	if h := s.any(); !h.down && !s.frozen(h) {
		s.sync(h)
	}
}

func (s *schedule) proposeOne() {
	for _, h := range s.hosts {
		if !h.down && !s.frozen(h) && h.core.role == Leader {
			s.propose(h)
		}
	}
}

func (s *schedule) crashOne() {
	if h := s.anyPreferLeader(); !h.down && s.random.IntN(4) == 0 {
		s.counts["crash"]++
		s.crash(h)
	}
}

func (s *schedule) startOne() {
	for _, h := range s.hosts {
		if h.down {
			s.start(h)
			return
		}
	}
}

func (s *schedule) partition() {
	if s.random.IntN(8) == 0 {
		s.counts["partition"]++
		s.isolate(s.anyPreferLeader(), true)
		return
	}
	a, b := s.anyPreferLeader().router, s.any().router
	apart := s.random.IntN(2) == 0
	s.cutLinks[[2]protocol.RouterID{a, b}] = apart
	s.cutLinks[[2]protocol.RouterID{b, a}] = apart && s.random.IntN(4) > 0
}

func (s *schedule) heal() {
	if s.random.IntN(4) == 0 {
		clear(s.cutLinks)
	}
}

func (s *schedule) freezeOne() {
	if h := s.anyPreferLeader(); !h.down && s.random.IntN(4) == 0 {
		s.counts["freeze"]++
		h.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
	}
}

func (s *schedule) compactOne() {
	if h := s.any(); !h.down && !s.frozen(h) {
		s.compact(h)
	}
}

func (s *schedule) transferOne() {
	if h := s.leader(); h != nil && !s.frozen(h) && s.random.IntN(4) == 0 {
		_ = h.core.TransferLeadership(s.clock(h))
		s.take(h)
	}
}

// changeOne starts a random membership change on every leader.
func (s *schedule) changeOne() {
	for _, h := range s.hosts {
		if h.down || s.frozen(h) || h.core.role != Leader {
			continue
		}
		status := h.core.Status()
		members := status.Configuration.Members()
		for _, found := range status.Discovered {
			members = append(members, found.Member)
		}
		change := Change{Kind: ChangeKind(1 + s.random.IntN(3)), Member: members[s.random.IntN(len(members))]}
		if h.core.ChangeMembership(s.clock(h), change) == nil {
			s.counts["change"]++
		}
		s.take(h)
	}
}

// wipeOne empties a disk, unless the cluster has not formed or some
// configuration would have no quorum of disks left.
func (s *schedule) wipeOne() {
	victim := s.any()
	if s.random.IntN(4) > 0 || len(s.decided) == 1 || !s.hasQuorumsWithout(victim) {
		return
	}
	s.counts["wipe"]++
	victim.down = true
	victim.core = nil
	s.format(victim)
	s.start(victim)
}

// hasQuorumsWithout reports whether all hosts run and all their configurations
// have a quorum of disks without the victim.
func (s *schedule) hasQuorumsWithout(victim *host) bool {
	for _, h := range s.hosts {
		if h.down || !s.hasQuorumOfDisks(h, victim) {
			return false
		}
	}
	return true
}

// hasQuorumOfDisks reports whether, for every configuration in a host's log, a
// quorum of disks holds a log without counting the victim's disk.
func (s *schedule) hasQuorumOfDisks(h, victim *host) bool {
	for _, indexed := range h.core.log.configurations {
		alive := 0
		for _, voter := range indexed.configuration.Voters {
			owner := s.host(voter.Router)
			if owner != victim && owner.self() == voter && !owner.disk.blank() {
				alive++
			}
		}
		if alive < indexed.configuration.Quorum() {
			return false
		}
	}
	return true
}

// runSeed runs one schedule and returns it with the first invariant that it
// broke, or "".
func runSeed(seed uint64, steps int, m mutation) (s *schedule, violation string) {
	s = newSchedule(seed, m)
	defer func() {
		if broken := recover(); broken != nil {
			violation = fmt.Sprint(broken)
		}
	}()
	for range steps {
		s.step()
		if s.violation != "" {
			break
		}
	}
	return s, s.violation
}

// checkRecovery ends all faults and checks that the cluster commits again and
// that all state machines become equal. It returns the first violation, or "".
func (s *schedule) checkRecovery() string {
	clear(s.cutLinks)
	for _, h := range s.hosts {
		h.frozenUntil = 0
		if h.down {
			s.start(h)
		}
	}
	for _, h := range s.hosts {
		if !s.hasQuorumOfDisks(h, nil) {
			// A disk was wiped at the moment in which a membership change made
			// it necessary for a quorum. No protocol can continue from there.
			s.counts["quorum-lost"]++
			return s.violation
		}
	}
	s.run(20 * time.Second)
	leader := s.leader()
	if leader == nil {
		return "no leader after all faults are healed"
	}
	before := leader.machine.applied
	s.propose(leader)
	s.run(2 * time.Second)
	configuration, _ := leader.core.log.configuration()
	for _, h := range s.hosts {
		if configuration.Contains(h.self()) && (h.machine != leader.machine || h.machine.applied <= before) {
			return fmt.Sprintf("%s has applied %d, the leader %d", h.self(), h.machine.applied, leader.machine.applied)
		}
	}
	return s.violation
}

func TestScheduleKeepsInvariants(t *testing.T) {
	// Guards against a confirmed order that vanishes, a stale read, and a
	// cluster that no longer works after all faults have ended. Messages are
	// lost, duplicated and reordered; hosts crash with unsynced writes, freeze
	// and lose their disks; clocks drift; members change.
	counts := map[string]int{}
	for i := range uint64(max(1, *scheduleSteps/stepsPerSeed)) {
		seed := *scheduleSeed + i
		s, violation := runSeed(seed, stepsPerSeed, mutation{electionStorm: i%4 == 3})
		assert.Equal(t, violation, "", "seed %d", seed)
		assert.Equal(t, s.checkRecovery(), "", "seed %d", seed)
		for kind, n := range s.counts {
			counts[kind] += n
		}
		counts["committed"] += len(s.decided)
	}
	for _, kind := range []string{"crash", "wipe", "freeze", "partition", "change", "snapshot-received", "entries-replaced", "hands-over", "became-leader", "committed"} {
		assert.Assert(t, counts[kind] > 0, "the schedule never has %s", kind)
	}
	t.Log(counts)
}

func TestScheduleKeepsInvariantsWithoutLeases(t *testing.T) {
	// Guards against the same failures in an open cluster without leases, whose
	// members vote and campaign as soon as they start. There the votes on disk
	// have to provide what otherwise the lease does.
	for i := range uint64(max(1, *scheduleSteps/2/stepsPerSeed)) {
		seed := *scheduleSeed + 10_000 + i
		s, violation := runSeed(seed, stepsPerSeed, mutation{electionStorm: i%4 == 3, leaseless: true})
		assert.Equal(t, violation, "", "seed %d", seed)
		assert.Equal(t, s.checkRecovery(), "", "seed %d", seed)
	}
}
