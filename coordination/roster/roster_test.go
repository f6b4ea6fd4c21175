package roster

import (
	"math/rand/v2"
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
	assert.Assert(t, r.Refresh(now+s.ForgetSilent/2, Heard{ID: "u3", Born: 100, Sequence: 2}))
	assert.Equal(t, len(r.Expire(now+s.ForgetSilent-1)), 0)
	silent := r.Expire(now + s.ForgetSilent)
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, stateOf(r, "2"), Gone)
	assert.Equal(t, stateOf(r, "3"), Ready)
	r.Expire(now + s.ForgetGone)
	assert.Equal(t, len(r.Entries()), 0)
}

func TestRefreshOfAnUnknownStartAsksForTheEntry(t *testing.T) {
	r := New(DefaultSettings())
	assert.Assert(t, !r.Refresh(now, Heard{ID: "u1", Born: 100, Sequence: 2}))
	r.Merge(now, ready("1", "a", 100, 1))
	assert.Assert(t, r.Refresh(now, Heard{ID: "u1", Born: 100, Sequence: 2}))
	assert.Assert(t, !r.Refresh(now, Heard{ID: "u1", Born: 300, Sequence: 1}))
}
