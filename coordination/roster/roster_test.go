package roster

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

const now = time.Hour

func ready(id string, address string, born int64, sequence uint64) Entry {
	return Entry{ID: protocol.UpstreamID("u" + id), Service: "chat", Address: address, State: Ready, Born: born, Sequence: sequence}
}

func stateOf(r *Roster, id string) State {
	e, _ := r.Entry(protocol.UpstreamID("u" + id))
	return e.State
}

func TestALateAnnouncementOfOneThatLeftChangesNothing(t *testing.T) {
	// An upstream says that it is draining and leaves. One of its earlier
	// announcements was held up and arrives seconds later. Taken for new, it
	// would bring work to an upstream that is gone.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 5))
	assert.Assert(t, r.Leave(now, "u1", 0, 0))
	assert.Assert(t, !r.Merge(now, ready("1", "a", 100, 6)))
	assert.Equal(t, stateOf(r, "1"), Gone)
}

func TestAStartUnderTheSameNameCountsAnew(t *testing.T) {
	// An upstream crashes and starts again under its name. Its numbers start
	// at 1, below those of before; only the time of its start tells them apart.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 50))
	r.Leave(now, "u1", 0, 0)
	assert.Assert(t, r.Merge(now, ready("1", "a", 200, 1)))
	assert.Equal(t, stateOf(r, "1"), Ready)
	assert.Assert(t, !r.Merge(now, ready("1", "a", 100, 51)))
	e, _ := r.Entry("u1")
	assert.Equal(t, e.Sequence, uint64(1))
}

func TestTheLaterStartHoldsAnAddress(t *testing.T) {
	// An upstream dies silently and its address goes to another one. Then a
	// delayed announcement of the dead one arrives. Requests for the dead one
	// would reach another service.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 5))
	assert.Assert(t, r.Merge(now, ready("2", "a", 200, 1)))
	assert.Equal(t, stateOf(r, "1"), Gone)
	r.Merge(now, ready("1", "a", 100, 6))
	assert.Equal(t, stateOf(r, "1"), Gone)
	assert.Equal(t, stateOf(r, "2"), Ready)

	// The dead one is first heard of after its successor.
	r.Merge(now, ready("3", "a", 150, 1))
	assert.Equal(t, stateOf(r, "3"), Gone)
	assert.Equal(t, stateOf(r, "2"), Ready)
}

func TestVMsAgreeWhateverArrivesInWhateverOrder(t *testing.T) {
	// Three disk VMs hear parts of what upstreams say and exchange entries,
	// late, twice and in any order. In the end they must list the same.
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var said []Entry
		for range 30 {
			e := ready(string('1'+rune(random.IntN(3))), "a"+string('1'+rune(random.IntN(3))), int64(100+random.IntN(3)), uint64(random.IntN(9)))
			e.Address = "a" + string(e.ID[1:])
			e.State = State(1 + random.IntN(3))
			// One start says one thing under one number.
			e.State = State(1 + (uint64(e.Born)+e.Sequence)%2)
			if random.IntN(10) == 0 {
				e.State = Gone
			}
			said = append(said, e)
		}
		var lists [3][]Entry
		for vm := range lists {
			r := New(DefaultSettings())
			for _, i := range random.Perm(len(said)) {
				r.Merge(now, said[i])
				r.Merge(now, said[random.IntN(len(said))])
			}
			lists[vm] = r.Entries()
		}
		assert.DeepEqual(t, lists[0], lists[1])
		assert.DeepEqual(t, lists[0], lists[2])
	}
}

func TestProofOfLifeDoesNotMakeAnOldStateNew(t *testing.T) {
	// An upstream says "draining" and, a second later, that it still is. The
	// first word reaches one disk VM, the way to the other stalls, and the proof
	// of life overtakes it there. The other VM's "ready" must not come out with
	// the newer number and bring work to an upstream that leaves.
	one, other := New(DefaultSettings()), New(DefaultSettings())
	for _, r := range []*Roster{one, other} {
		r.Merge(now, ready("1", "a", 100, 33))
	}
	draining := ready("1", "a", 100, 34)
	draining.State = Draining
	one.Announced(now, draining)
	draining.Sequence = 35
	one.Announced(now+1, draining)
	for _, heard := range one.AnnouncedSince(now) {
		assert.Assert(t, !other.Refresh(now+2, heard), "the entry has to be asked for")
	}
	for _, e := range other.Entries() {
		assert.Assert(t, !one.Merge(now+3, e))
	}
	for _, e := range one.Entries() {
		other.Merge(now+4, e)
	}
	assert.Equal(t, stateOf(one, "1"), Draining)
	assert.Equal(t, stateOf(other, "1"), Draining)
}

func TestProofsOfLifeAreTakenWithoutWhatIsNew(t *testing.T) {
	// A router takes proofs of life and says so to the disk VMs. Taking a change
	// with them would keep it from everybody else.
	r := New(DefaultSettings())
	assert.Assert(t, !r.Confirm(0, ready("1", "a", 100, 33)), "not known here")
	r.Merge(0, ready("1", "a", 100, 33))
	revision := r.Revision()
	assert.Assert(t, r.Confirm(1, ready("1", "a", 100, 35)))
	assert.Assert(t, r.Confirm(2, ready("1", "a", 100, 34)), "one that was late")
	draining := ready("1", "a", 100, 36)
	draining.State = Draining
	assert.Assert(t, !r.Confirm(3, draining))
	assert.Assert(t, !r.Confirm(3, ready("1", "a", 200, 1)), "another start")
	assert.Equal(t, r.Revision(), revision)
	assert.Equal(t, r.AnnouncedSince(0)[0].Sequence, uint64(35))
	r.Leave(4, "u1", 0, 0)
	assert.Assert(t, !r.Confirm(5, ready("1", "a", 100, 37)))
}

func TestTheNewestWordWinsWhateverIsLostBetweenVMs(t *testing.T) {
	// An upstream's announcements reach one disk VM or another. Between the VMs
	// entries and proofs of life are lost, late and in any order. Once they have
	// exchanged their lists, all list what it said last.
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 2))
		vms := [3]*Roster{New(DefaultSettings()), New(DefaultSettings()), New(DefaultSettings())}
		at := now
		var last Entry
		for sequence := uint64(1); sequence <= 12; sequence++ {
			last = ready("1", "a"+string('1'+rune(random.IntN(2))), 100, sequence)
			last.State = State(1 + random.IntN(2))
			at++
			vms[random.IntN(3)].Announced(at, last)
			for range random.IntN(4) {
				from, to := vms[random.IntN(3)], vms[random.IntN(3)]
				if random.IntN(3) == 0 {
					mergeAll(at, to, from)
					continue
				}
				for _, heard := range from.AnnouncedSince(at - time.Duration(random.IntN(3))) {
					to.Refresh(at, heard)
				}
			}
		}
		for range 2 {
			for _, to := range vms {
				for _, from := range vms {
					mergeAll(at, to, from)
				}
			}
		}
		for _, r := range vms {
			e, _ := r.Entry("u1")
			assert.Assert(t, sameToRouters(e, last), "seed %d: %+v, last said %+v", seed, e, last)
		}
	}
}

// mergeAll gives a VM all entries of another one.
func mergeAll(at time.Duration, to, from *Roster) {
	for _, e := range from.Entries() {
		to.Merge(at, e)
	}
}

func TestOnlyChangesThatMatterArePushed(t *testing.T) {
	// 94 upstreams announce themselves every second. Pushing each announcement
	// to 87 routers would fill the disk VMs' links.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 1))
	revision := r.Revision()
	assert.Assert(t, !r.Merge(now, ready("1", "a", 100, 2)))
	assert.Equal(t, len(r.ChangedSince(revision)), 0)
	draining := ready("1", "a", 100, 3)
	draining.State = Draining
	assert.Assert(t, r.Merge(now, draining))
	assert.Equal(t, len(r.ChangedSince(revision)), 1)
}

func TestSilentOnesAreForgottenLateAndTombstonesLater(t *testing.T) {
	s := DefaultSettings()
	r := New(s)
	r.Merge(now, ready("1", "a", 100, 1))
	r.Merge(now, ready("2", "b", 100, 1))
	r.Leave(now, "u2", 0, 0)
	r.Merge(now, ready("3", "c", 100, 1))
	assert.Assert(t, r.Refresh(now+s.ForgetSilent/2, heardOf(ready("3", "c", 100, 2))))
	assert.Equal(t, len(r.Expire(now+s.ForgetSilent-1)), 0)
	silent := r.Expire(now + s.ForgetSilent)
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, stateOf(r, "2"), Gone)
	assert.Equal(t, stateOf(r, "3"), Ready)
	r.Expire(now + s.ForgetGone)
	assert.Equal(t, len(r.Entries()), 0)
}

func TestProofsOfLifeAreNotPassedOn(t *testing.T) {
	// A thousand upstreams announce themselves, each to one of five disk VMs. If
	// the VMs told each other what they were told, proofs of life alone would fill
	// their links.
	one, other := New(DefaultSettings()), New(DefaultSettings())
	one.Announced(now, ready("1", "a", 100, 1))
	mergeAll(now, other, one)
	one.Announced(now+1, ready("1", "a", 100, 2))
	proofs := one.AnnouncedSince(now)
	assert.Equal(t, len(proofs), 1)
	assert.Assert(t, other.Refresh(now+2, proofs[0]))
	assert.Equal(t, len(other.AnnouncedSince(0)), 0)
	assert.Equal(t, len(other.Expire(now+2+DefaultSettings().ForgetSilent-1)), 0, "it lives there too")
}

func TestAnEmptyListIsToldFromNone(t *testing.T) {
	// The only upstream leaves right after a restart, before any VM follows the
	// one that it told. The others have to ask for the list, though it is empty.
	r := New(DefaultSettings())
	r.Announced(now, ready("1", "a", 100, 1))
	r.Leave(now, "u1", 0, 0)
	assert.Assert(t, r.Digest() != 0)
}

func TestTheDigestIsThatOfWhatIsListed(t *testing.T) {
	// Two VMs that list the same must have the same digest, whatever they heard
	// before; else each asks the other for its list again and again.
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		r := New(DefaultSettings())
		at := now
		for range 60 {
			at += time.Duration(random.IntN(3)) * time.Second
			e := ready(string('1'+rune(random.IntN(4))), "a"+string('1'+rune(random.IntN(3))), int64(100+random.IntN(3)), uint64(random.IntN(20)))
			e.State = State(1 + random.IntN(3))
			r.Announced(at, e)
			if random.IntN(5) == 0 {
				r.Expire(at)
			}
			anew := New(DefaultSettings())
			for _, listed := range r.Entries() {
				anew.include(listed)
			}
			assert.Equal(t, r.Digest(), anew.Digest(), "seed %d", seed)
			assert.Equal(t, r.Usable(), anew.Usable(), "seed %d", seed)
		}
	}
}

// BenchmarkManyStart is a disk VM that hears of a thousand upstreams for the first
// time and compares its list with another's after each.
func BenchmarkManyStart(b *testing.B) {
	for b.Loop() {
		r := New(DefaultSettings())
		for i := range 1000 {
			name := strconv.Itoa(i)
			r.Announced(now, ready(name, "a"+name, 100, 1))
			r.Digest()
		}
	}
}

func TestRefreshOfAnUnknownStartAsksForTheEntry(t *testing.T) {
	r := New(DefaultSettings())
	assert.Assert(t, !r.Refresh(now, Heard{ID: "u1", Born: 100, Sequence: 2}))
	r.Merge(now, ready("1", "a", 100, 1))
	assert.Assert(t, r.Refresh(now, heardOf(ready("1", "a", 100, 2))))
	assert.Assert(t, !r.Refresh(now, heardOf(ready("1", "a", 300, 1))))
}
