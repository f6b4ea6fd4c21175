package builds

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

const service protocol.Service = "s"

func pair(build string) Pair { return Pair{Service: service, Build: build} }

// world is a fleet of disk VMs and routers in which a new build appears.
type world struct {
	now     time.Duration
	random  *rand.Rand
	diskVMs map[protocol.RouterID]*diskVM
	ids     []protocol.RouterID
	routers []*Quorum
	// reaches says which disk VMs each router reaches.
	reaches []map[protocol.RouterID]bool
}

// diskVM is a disk VM's set and what is on its disk.
type diskVM struct {
	set  *Set
	disk []Pair
	down bool
}

func newWorld(seed uint64, diskVMs, routers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), diskVMs: map[protocol.RouterID]*diskVM{}, now: time.Minute}
	for i := range diskVMs {
		id := protocol.RouterID(fmt.Sprint("d", i))
		vm := &diskVM{set: NewSet()}
		vm.list(w.now, pair("v1"))
		w.ids, w.diskVMs[id] = append(w.ids, id), vm
	}
	for range routers {
		q := NewQuorum()
		q.SetDiskVMs(w.ids)
		w.routers = append(w.routers, q)
		w.reaches = append(w.reaches, map[protocol.RouterID]bool{})
	}
	return w
}

// list records a build and writes it to disk.
func (vm *diskVM) list(now time.Duration, p Pair) {
	vm.set.Note(now, p)
	vm.disk = vm.set.Pairs()
	vm.set.MarkSaved(vm.disk)
}

// restart makes the disk VM forget what isn't on its disk.
func (vm *diskVM) restart(now time.Duration) {
	vm.set = NewSet()
	vm.set.Restore(now, vm.disk)
}

// cut draws which disk VMs each router reaches.
func (w *world) cut() {
	for _, reached := range w.reaches {
		for _, id := range w.ids {
			reached[id] = w.random.IntN(3) > 0
		}
	}
}

// read lets a router read until a majority has answered or it gives up.
func (w *world) read(router int) Answer {
	q := w.routers[router]
	q.Ask(1)
	for range 100 {
		messages, answers := q.Tick(w.now, false)
		for _, m := range messages {
			if answer, done := w.deliver(router, m); done {
				return answer
			}
		}
		if len(answers) > 0 {
			return answers[0]
		}
		w.now += 50 * time.Millisecond
	}
	panic("the read didn't end")
}

// deliver passes a Read to the disk VMs that the router reaches, in random order, and their replies
// back.
func (w *world) deliver(router int, m Message) (Answer, bool) {
	to := slices.Clone(m.To)
	w.random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	for _, id := range to {
		vm := w.diskVMs[id]
		if vm.down || !w.reaches[router][id] {
			continue
		}
		if answer, done := w.routers[router].HandleReply(id, vm.set.Reply(w.now, m.Read)); done {
			return answer, true
		}
	}
	return Answer{}, false
}

func TestNoRouterTakesABuildForTheOnlyOneOnceStreamsBeginAtAnother(t *testing.T) {
	// Guards: disk VMs and routers are cut off from each other, a new build is listed on one side,
	// and a router of the other side goes on with one of its streams at the old build.
	for seed := range uint64(300) {
		w := newWorld(seed, 5, 6)
		begun := false
		for step := range 120 {
			w.cut()
			router := w.random.IntN(len(w.routers))
			vm := w.diskVMs[w.ids[w.random.IntN(len(w.ids))]]
			switch w.random.IntN(5) {
			case 0:
				if step < 60 {
					vm.list(w.now, pair("v2"))
				}
			case 1:
				vm.restart(w.now)
			case 2:
				vm.down = !vm.down
			default:
				wasBegun := begun
				answer := w.read(router)
				begun = begun || w.routers[router].IsConfirmed(pair("v2"))
				build, only := answer.Only([]protocol.Service{service})
				assert.Assert(t, !wasBegun || !only, "seed %d: %s is taken for the only build", seed, build)
			}
		}
	}
}

func TestOneBuildAloneIsKnownWithAMinorityOfDiskVMsDown(t *testing.T) {
	// Guards: two of five disk VMs are down, and callers who take their streams up are refused
	// although there is one build.
	w := newWorld(1, 5, 1)
	w.cut()
	for i, id := range w.ids {
		w.reaches[0][id] = true
		w.diskVMs[id].down = i < 2
	}
	build, only := w.read(0).Only([]protocol.Service{service})
	assert.Assert(t, only)
	assert.Equal(t, build, "v1")
	w.diskVMs[w.ids[2]].down = true
	answer := w.read(0)
	assert.Assert(t, !answer.Known, "two of five disk VMs are no majority")
}

func TestADiskVMThatLostItsDiskIsNoPartOfAMajorityAtFirst(t *testing.T) {
	// Guards: a disk VM told of a build, loses its disk, and tells right after its start that
	// there is another one alone.
	fresh := NewSet()
	fresh.Note(0, pair("v1"))
	fresh.MarkSaved(fresh.Pairs())
	assert.Assert(t, !fresh.Reply(settleTime-1, Read{}).Settled)
	assert.Assert(t, fresh.Reply(settleTime, Read{}).Settled)
}

func TestABuildIsToldOnlyOnceItIsOnDisk(t *testing.T) {
	// Guards: a disk VM tells of a build, streams begin there, and it forgets the build with a
	// restart.
	s := NewSet()
	s.Note(0, pair("v1"))
	assert.Equal(t, len(s.Reply(settleTime, Read{}).Pairs), 0)
	s.MarkSaved([]Pair{pair("v1")})
	assert.Equal(t, len(s.Reply(settleTime, Read{}).Pairs), 1)
}

func TestABuildCountsForMinutesAfterItsLastUpstreamHasLeft(t *testing.T) {
	// Guards: a roll ends, and callers who come back with streams of the old build get the rest
	// from the new one.
	s := NewSet()
	s.Note(0, pair("v1"))
	s.Note(0, pair("v2"))
	for now := time.Duration(0); now < keepFor; now += time.Second {
		s.Note(now, pair("v2"))
		s.Expire(now)
		assert.Assert(t, s.IsMixed(service))
	}
	s.Expire(keepFor + time.Second)
	assert.Assert(t, !s.IsMixed(service))
}

func TestASetThatIsFullTellsNothingOfWhichIsTheOnlyBuild(t *testing.T) {
	// Guards: announcements with ever new versions fill the memory, or push the build out that
	// began a stream.
	s := NewSet()
	for i := range 2 * maxPairs {
		s.Note(0, Pair{Service: protocol.Service(fmt.Sprint("s", i)), Build: "v1"})
	}
	assert.Equal(t, s.Size(), maxPairs)
	assert.Assert(t, !s.Reply(time.Hour, Read{}).Settled)
}

func TestQuestionsWaitForAReadThatBeginsAfterThem(t *testing.T) {
	// Guards: a question is answered by replies that are older than it is, so than the stream
	// that it is about.
	w := newWorld(1, 3, 1)
	q := w.routers[0]
	q.Ask(1)
	first, _ := q.Tick(w.now, false)
	q.Ask(2)
	var answers []Answer
	for _, id := range w.ids[:2] {
		if answer, done := q.HandleReply(id, w.diskVMs[id].set.Reply(w.now, first[0].Read)); done {
			answers = append(answers, answer)
		}
	}
	assert.Equal(t, len(answers), 1)
	assert.DeepEqual(t, answers[0].Waiters, []Waiter{1})
	second, _ := q.Tick(w.now, false)
	assert.Assert(t, second[0].Read.Call != first[0].Read.Call)
}

func TestDiskVMsAreAskedRarelyByALargeFleet(t *testing.T) {
	// Guards: hundreds of routers that learn of a new build at once ask the disk VMs so often that
	// these do nothing else.
	const mostPerSecond = 500
	for _, routers := range []int{9, 87, 984, 1968} {
		q := NewQuorum()
		q.SetDiskVMs([]protocol.RouterID{"d1", "d2", "d3"})
		q.SetRouters(routers)
		reads := 0
		const period = 200 * time.Second
		for now := time.Minute; now < time.Minute+period; now += 50 * time.Millisecond {
			messages, _ := q.Tick(now, true)
			for _, m := range messages {
				reads++
				for _, id := range m.To {
					q.HandleReply(id, Reply{Call: m.Read.Call, Settled: true})
				}
			}
		}
		assert.Assert(t, float64((reads-1)*routers)/period.Seconds() <= mostPerSecond, "%d routers: %d reads each", routers, reads)
	}
}
