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
	scheduleSteps = flag.Int("schedule.steps", 300_000, "steps of the random schedule, over all its seeds")
	scheduleSeed  = flag.Uint64("schedule.seed", 1, "first seed of the random schedule")
	searchSeeds   = flag.Int("schedule.search", 0, "seeds to try for each mutation; prints the first that fails")
)

// stepsPerSeed keeps one history short enough to read.
const stepsPerSeed = 6000

// schedule runs a world at random. Every seed draws its own weights, so that
// some histories are full of crashes and others of partitions.
type schedule struct {
	*world
	weights []int
	actions []func()
	total   int
	late    []Message
}

func newSchedule(seed uint64, m mutation) *schedule {
	hosts := 5
	if m.storm {
		hosts = 3
	}
	w := newWorld(seed, hosts, 3)
	s := &schedule{world: w}
	w.off = m.off
	w.sameDisk = m.sameDisk
	w.settings.Leaseless = m.leaseless
	w.settings.Open = m.leaseless
	if m.storm {
		w.settings.MaxAppendBytes = 1
	}
	w.settings.ElectionSpread = DefaultElectionTimeout / time.Duration(1+w.random.IntN(8))
	for _, h := range w.hosts {
		h.offset = time.Duration(w.random.Int64N(int64(time.Hour)))
		h.rate = 1 + (w.random.Float64()*2-1)*float64(DefaultDriftPerMille)/perMille
		w.start(h)
	}
	if m.storm {
		s.addStorm()
		s.run(3 * time.Second)
		return s
	}
	s.add(40+s.upTo(40), s.deliver)
	s.add(s.upTo(12), s.passTime)
	s.add(10+s.upTo(30), s.syncOne)
	s.add(s.upTo(8), s.proposeOne)
	s.add(s.upTo(6), s.crashOne)
	s.add(s.upTo(6), s.startOne)
	s.add(s.upTo(6), s.partition)
	s.add(s.upTo(4), s.heal)
	s.add(s.upTo(2), s.freezeOne)
	s.add(s.upTo(3), s.compactOne)
	s.add(s.upTo(3), s.deliverLate)
	s.add(1, s.calm)
	s.add(s.random.IntN(4), s.changeOne)
	s.add(s.random.IntN(3), s.wipeOne)
	s.add(s.random.IntN(3), s.handOverOne)
	if s.random.IntN(4) > 0 {
		s.run(3 * time.Second)
	}
	return s
}

// addStorm weighs the actions for ever new elections among three voters.
func (s *schedule) addStorm() {
	s.add(40+s.upTo(60), s.deliver)
	s.add(5+s.upTo(20), s.passTime)
	s.add(10+s.upTo(60), s.syncOne)
	s.add(s.upTo(5), s.proposeOne)
	s.add(s.upTo(12), s.crashOne)
	s.add(s.upTo(12), s.startOne)
	s.add(s.upTo(12), s.partition)
	s.add(s.upTo(8), s.heal)
	s.add(s.upTo(6), s.freezeOne)
	s.add(s.upTo(4), s.deliverLate)
	s.add(s.random.IntN(3), s.handOverOne)
}

// calm lets everything that is not cut off or frozen work for a while, so that
// histories get past the next election.
func (s *schedule) calm() { s.run(time.Duration(s.random.Int64N(int64(2 * time.Second)))) }

func (s *schedule) upTo(weight int) int { return 1 + s.random.IntN(weight) }

// victim is mostly the leader, since most that can go wrong starts there.
func (s *schedule) victim() *host {
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

// step does one random thing and checks the invariants.
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

// deliver takes a random message: that reorders. Some are lost or doubled.
func (s *schedule) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.random.IntN(min(len(s.network), 12))
	m := s.network[i]
	fate := s.random.IntN(100)
	if fate >= 3 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if fate < 93 {
		s.receive(m)
	}
	if fate >= 97 {
		s.late = append(s.late, m)
	}
}

// deliverLate takes a message that was under way for long.
func (s *schedule) deliverLate() {
	if len(s.late) > 0 {
		i := s.random.IntN(len(s.late))
		m := s.late[i]
		s.late = slices.Delete(s.late, i, i+1)
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
	if h := s.victim(); !h.down && s.random.IntN(4) == 0 {
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
		s.isolate(s.victim(), true)
		return
	}
	a, b := s.victim().router, s.any().router
	apart := s.random.IntN(2) == 0
	s.cut[[2]protocol.RouterID{a, b}] = apart
	s.cut[[2]protocol.RouterID{b, a}] = apart && s.random.IntN(4) > 0
}

func (s *schedule) heal() {
	if s.random.IntN(4) == 0 {
		clear(s.cut)
	}
}

func (s *schedule) freezeOne() {
	if h := s.victim(); !h.down && s.random.IntN(4) == 0 {
		s.counts["freeze"]++
		h.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
	}
}

func (s *schedule) compactOne() {
	if h := s.any(); !h.down && !s.frozen(h) {
		s.compact(h)
	}
}

func (s *schedule) handOverOne() {
	if h := s.leader(); h != nil && !s.frozen(h) && s.random.IntN(4) == 0 {
		_ = h.core.HandOver(s.clock(h))
		s.take(h)
	}
}

// changeOne asks every leader for a random membership step.
func (s *schedule) changeOne() {
	for _, h := range s.hosts {
		if h.down || s.frozen(h) || h.core.role != Leader {
			continue
		}
		status := h.core.Status()
		members := status.Configuration.Members()
		for _, seen := range status.Sightings {
			members = append(members, seen.Member)
		}
		change := Change{Kind: ChangeKind(1 + s.random.IntN(3)), Member: members[s.random.IntN(len(members))]}
		if h.core.ChangeMembership(s.clock(h), change) == nil {
			s.counts["change"]++
		}
		s.take(h)
	}
}

// wipeOne empties a disk, unless that would leave some configuration without
// a quorum of disks for good, or the cluster has not formed.
func (s *schedule) wipeOne() {
	victim := s.any()
	if s.random.IntN(4) > 0 || len(s.decided) == 1 || !s.survivesWithout(victim) {
		return
	}
	s.counts["wipe"]++
	victim.down = true
	victim.core = nil
	s.format(victim)
	s.start(victim)
}

func (s *schedule) survivesWithout(victim *host) bool {
	for _, h := range s.hosts {
		if h.down || !s.hasDisks(h, victim) {
			return false
		}
	}
	return true
}

// hasDisks reports whether a quorum of disks with a log exists for every configuration
// in a host's log, without the victim's.
func (s *schedule) hasDisks(h, victim *host) bool {
	for _, placed := range h.core.log.configurations {
		alive := 0
		for _, voter := range placed.configuration.Voters {
			owner := s.host(voter.Router)
			if owner != victim && owner.self() == voter && !owner.disk.blank() {
				alive++
			}
		}
		if alive < placed.configuration.Quorum() {
			return false
		}
	}
	return true
}

// runSeed runs one history and returns it with the first broken invariant.
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

// recovers heals all faults and checks that the world commits again and that
// all state machines become equal.
func (s *schedule) recovers() string {
	clear(s.cut)
	for _, h := range s.hosts {
		h.frozenUntil = 0
		if h.down {
			s.start(h)
		}
	}
	for _, h := range s.hosts {
		if !s.hasDisks(h, nil) {
			// A disk was wiped in the instant in which a change made it
			// needed: no protocol can go on from there.
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
	// Messages are lost, doubled and reordered, hosts crash with unsynced
	// writes, freeze and lose disks, clocks drift, members change. A caller
	// must never see a confirmed order vanish or a stale read; when all heals,
	// the cluster must work again.
	counts := map[string]int{}
	for i := range uint64(max(1, *scheduleSteps/stepsPerSeed)) {
		seed := *scheduleSeed + i
		s, violation := runSeed(seed, stepsPerSeed, mutation{storm: i%4 == 3})
		assert.Equal(t, violation, "", "seed %d", seed)
		assert.Equal(t, s.recovers(), "", "seed %d", seed)
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
	// The same, in an open cluster whose members vote and campaign from their
	// start on. What no lease guards, the votes on disk have to.
	for i := range uint64(max(1, *scheduleSteps/2/stepsPerSeed)) {
		seed := *scheduleSeed + 10_000 + i
		s, violation := runSeed(seed, stepsPerSeed, mutation{storm: i%4 == 3, leaseless: true})
		assert.Equal(t, violation, "", "seed %d", seed)
		assert.Equal(t, s.recovers(), "", "seed %d", seed)
	}
}
