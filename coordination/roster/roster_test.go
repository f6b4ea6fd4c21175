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

func ready(id string, address string, startedAt int64, sequence uint64) Entry {
	return Entry{ID: protocol.UpstreamID("u" + id), Service: "chat", Address: address, State: Ready, StartedAt: startedAt, Sequence: sequence}
}

func stateOf(r *Roster, id string) State {
	e, _ := r.Entry(protocol.UpstreamID("u" + id))
	return e.State
}

func TestLateAnnouncementAfterLeaveChangesNothing(t *testing.T) {
	// An upstream leaves, and one of its earlier announcements arrives seconds
	// later. If it counted as new, routers would send requests to an upstream
	// that is gone.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 5))
	assert.Assert(t, r.Leave(now, "u1", 0, 0))
	assert.Assert(t, !r.Merge(now, ready("1", "a", 100, 6)))
	assert.Equal(t, stateOf(r, "1"), Gone)
}

func TestRestartUnderTheSameNameReplacesTheEntry(t *testing.T) {
	// An upstream crashes and restarts under its name. Its sequence numbers begin
	// again at 1, below those from before the crash; only the start time shows
	// which announcement is newer.
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
	// An upstream dies silently, and another one gets its address. Then a delayed
	// announcement of the dead one arrives. If it counted, requests for the dead
	// upstream would reach another service.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 5))
	assert.Assert(t, r.Merge(now, ready("2", "a", 200, 1)))
	assert.Equal(t, stateOf(r, "1"), Gone)
	r.Merge(now, ready("1", "a", 100, 6))
	assert.Equal(t, stateOf(r, "1"), Gone)
	assert.Equal(t, stateOf(r, "2"), Ready)

	// The first announcement of a dead upstream arrives after that of its successor.
	r.Merge(now, ready("3", "a", 150, 1))
	assert.Equal(t, stateOf(r, "3"), Gone)
	assert.Equal(t, stateOf(r, "2"), Ready)
}

func TestVMsConvergeInAnyOrderOfDelivery(t *testing.T) {
	// Three disk VMs receive the same announcements late, twice and in any order.
	// In the end all must list the same entries.
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var announced []Entry
		for range 30 {
			e := ready(string('1'+rune(random.IntN(3))), "a"+string('1'+rune(random.IntN(3))), int64(100+random.IntN(3)), uint64(random.IntN(9)))
			e.Address = "a" + string(e.ID[1:])
			e.State = State(1 + random.IntN(3))
			// An incarnation announces one state under one sequence number.
			e.State = State(1 + (uint64(e.StartedAt)+e.Sequence)%2)
			if random.IntN(10) == 0 {
				e.State = Gone
			}
			announced = append(announced, e)
		}
		var lists [3][]Entry
		for vm := range lists {
			r := New(DefaultSettings())
			for _, i := range random.Perm(len(announced)) {
				r.Merge(now, announced[i])
				r.Merge(now, announced[random.IntN(len(announced))])
			}
			lists[vm] = r.Entries()
		}
		assert.DeepEqual(t, lists[0], lists[1])
		assert.DeepEqual(t, lists[0], lists[2])
	}
}

func TestHeartbeatDoesNotRenewAnOldState(t *testing.T) {
	// An upstream announces "draining", and a second later announces it again. One
	// disk VM receives both. At the other VM the heartbeat for the second arrives
	// before the first. If that VM gave its old "ready" the newer sequence number,
	// routers would send requests to an upstream that is leaving.
	one, other := New(DefaultSettings()), New(DefaultSettings())
	for _, r := range []*Roster{one, other} {
		r.Merge(now, ready("1", "a", 100, 33))
	}
	draining := ready("1", "a", 100, 34)
	draining.State = Draining
	one.RecordAnnouncement(now, draining)
	draining.Sequence = 35
	one.RecordAnnouncement(now+1, draining)
	for _, heartbeat := range one.HeartbeatsSince(now) {
		assert.Assert(t, !other.Refresh(now+2, heartbeat), "the whole entry is needed")
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

func TestConfirmUnchangedRejectsChanges(t *testing.T) {
	// A router records heartbeats and forwards them to the disk VMs. If it also
	// took over a change that comes with one, the disk VMs would never receive it.
	r := New(DefaultSettings())
	assert.Assert(t, !r.ConfirmUnchanged(0, ready("1", "a", 100, 33)), "unknown upstream")
	r.Merge(0, ready("1", "a", 100, 33))
	revision := r.Revision()
	assert.Assert(t, r.ConfirmUnchanged(1, ready("1", "a", 100, 35)))
	assert.Assert(t, r.ConfirmUnchanged(2, ready("1", "a", 100, 34)), "late announcement")
	draining := ready("1", "a", 100, 36)
	draining.State = Draining
	assert.Assert(t, !r.ConfirmUnchanged(3, draining))
	assert.Assert(t, !r.ConfirmUnchanged(3, ready("1", "a", 200, 1)), "another incarnation")
	assert.Equal(t, r.Revision(), revision)
	assert.Equal(t, r.HeartbeatsSince(0)[0].Sequence, uint64(35))
	r.Leave(4, "u1", 0, 0)
	assert.Assert(t, !r.ConfirmUnchanged(5, ready("1", "a", 100, 37)))
}

func TestLatestAnnouncementWinsDespiteLossBetweenVMs(t *testing.T) {
	// Each announcement of an upstream reaches one of three disk VMs. Between the
	// VMs, entries and heartbeats are lost, delayed and reordered. Once the VMs
	// have exchanged their lists, all must list the latest announcement.
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 2))
		vms := [3]*Roster{New(DefaultSettings()), New(DefaultSettings()), New(DefaultSettings())}
		at := now
		var last Entry
		for sequence := uint64(1); sequence <= 12; sequence++ {
			last = ready("1", "a"+string('1'+rune(random.IntN(2))), 100, sequence)
			last.State = State(1 + random.IntN(2))
			at++
			vms[random.IntN(3)].RecordAnnouncement(at, last)
			for range random.IntN(4) {
				from, to := vms[random.IntN(3)], vms[random.IntN(3)]
				if random.IntN(3) == 0 {
					mergeAll(at, to, from)
					continue
				}
				for _, heartbeat := range from.HeartbeatsSince(at - time.Duration(random.IntN(3))) {
					to.Refresh(at, heartbeat)
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
			assert.Assert(t, sameToRouters(e, last), "seed %d: listed %+v, last announced %+v", seed, e, last)
		}
	}
}

// mergeAll merges all entries of one VM into another.
func mergeAll(at time.Duration, to, from *Roster) {
	for _, e := range from.Entries() {
		to.Merge(at, e)
	}
}

// changedSince returns the entries that changed after a revision.
func changedSince(t *testing.T, r *Roster, revision uint64) []Entry {
	t.Helper()
	changed, complete := r.ChangedSince(revision)
	assert.Assert(t, complete)
	return changed
}

// heartbeatOf returns the heartbeat of an upstream with this entry.
func heartbeatOf(e Entry) Heartbeat {
	return (&record{Entry: e, digest: entryDigest(e)}).heartbeat()
}

func TestOnlyChangesThatMatterArePushed(t *testing.T) {
	// 94 upstreams announce themselves every second. If each announcement were
	// pushed to 87 routers, the disk VMs' links would be saturated.
	r := New(DefaultSettings())
	r.Merge(now, ready("1", "a", 100, 1))
	revision := r.Revision()
	assert.Assert(t, !r.Merge(now, ready("1", "a", 100, 2)))
	assert.Equal(t, len(changedSince(t, r, revision)), 0)
	draining := ready("1", "a", 100, 3)
	draining.State = Draining
	assert.Assert(t, r.Merge(now, draining))
	assert.Equal(t, len(changedSince(t, r, revision)), 1)
}

func TestSilentEntriesExpireBeforeTombstones(t *testing.T) {
	// A silent upstream is removed after ForgetSilent. A tombstone must outlive
	// that, or a late announcement would list an upstream that has left.
	s := DefaultSettings()
	r := New(s)
	r.Merge(now, ready("1", "a", 100, 1))
	r.Merge(now, ready("2", "b", 100, 1))
	r.Leave(now, "u2", 0, 0)
	r.Merge(now, ready("3", "c", 100, 1))
	assert.Assert(t, r.Refresh(now+s.ForgetSilent/2, heartbeatOf(ready("3", "c", 100, 2))))
	assert.Equal(t, len(r.Expire(now+s.ForgetSilent-1)), 0)
	silent := r.Expire(now + s.ForgetSilent)
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, stateOf(r, "2"), Gone)
	assert.Equal(t, stateOf(r, "3"), Ready)
	r.Expire(now + s.ForgetGone)
	assert.Equal(t, len(r.Entries()), 0)
}

func TestReceivedHeartbeatsAreNotForwarded(t *testing.T) {
	// A thousand upstreams announce themselves, each to one of five disk VMs. If
	// the VMs forwarded the heartbeats that they receive from each other,
	// heartbeats alone would saturate their links.
	one, other := New(DefaultSettings()), New(DefaultSettings())
	one.RecordAnnouncement(now, ready("1", "a", 100, 1))
	mergeAll(now, other, one)
	one.RecordAnnouncement(now+1, ready("1", "a", 100, 2))
	heartbeats := one.HeartbeatsSince(now)
	assert.Equal(t, len(heartbeats), 1)
	assert.Assert(t, other.Refresh(now+2, heartbeats[0]))
	assert.Equal(t, len(other.HeartbeatsSince(0)), 0)
	assert.Equal(t, len(other.Expire(now+2+DefaultSettings().ForgetSilent-1)), 0, "the heartbeat keeps it listed at the other VM")
}

func TestDigestOfAnEmptyRosterIsNotZero(t *testing.T) {
	// Right after a restart of the disk VMs, the only upstream sends one of them
	// that it leaves, before another one follows that VM. The others must still
	// request its list, though it is empty; a digest of 0 would mean that there is
	// no list.
	r := New(DefaultSettings())
	r.RecordAnnouncement(now, ready("1", "a", 100, 1))
	r.Leave(now, "u1", 0, 0)
	assert.Assert(t, r.Digest() != 0)
}

func TestDigestDependsOnlyOnListedEntries(t *testing.T) {
	// Two VMs that list the same entries must have the same digest, whatever they
	// received before. Otherwise each requests the other's list again and again.
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		r := New(DefaultSettings())
		at := now
		for range 60 {
			at += time.Duration(random.IntN(3)) * time.Second
			e := ready(string('1'+rune(random.IntN(4))), "a"+string('1'+rune(random.IntN(3))), int64(100+random.IntN(3)), uint64(random.IntN(20)))
			e.State = State(1 + random.IntN(3))
			r.RecordAnnouncement(at, e)
			if random.IntN(5) == 0 {
				r.Expire(at)
			}
			recomputed := New(DefaultSettings())
			for _, listed := range r.Entries() {
				recomputed.store(at, nil, listed)
			}
			assert.Equal(t, r.Digest(), recomputed.Digest(), "seed %d", seed)
			assert.Equal(t, r.Usable(), recomputed.Usable(), "seed %d", seed)
		}
	}
}

// BenchmarkManyStart measures a disk VM that receives the first announcements of a
// thousand upstreams and computes its digest after each.
func BenchmarkManyStart(b *testing.B) {
	for b.Loop() {
		r := New(DefaultSettings())
		for i := range 1000 {
			name := strconv.Itoa(i)
			r.RecordAnnouncement(now, ready(name, "a"+name, 100, 1))
			r.Digest()
		}
	}
}

func TestRefreshOfAnUnknownIncarnationNeedsTheEntry(t *testing.T) {
	// A heartbeat of an unknown upstream or incarnation has no entry to refresh, so
	// the whole entry is needed.
	r := New(DefaultSettings())
	assert.Assert(t, !r.Refresh(now, Heartbeat{ID: "u1", StartedAt: 100, Sequence: 2}))
	r.Merge(now, ready("1", "a", 100, 1))
	assert.Assert(t, r.Refresh(now, heartbeatOf(ready("1", "a", 100, 2))))
	assert.Assert(t, !r.Refresh(now, heartbeatOf(ready("1", "a", 300, 1))))
}
