package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

const (
	forever = 24 * time.Hour
	engineA = protocol.UpstreamID("a")
	engineB = protocol.UpstreamID("b")
	engineC = protocol.UpstreamID("c")
	engineD = protocol.UpstreamID("d")
)

func digest(name string) Digest { return DigestOf("customer", []byte(name)) }

// crashWith starts the named requests on an upstream and crashes it 300 ms
// later.
func crashWith(t *Tracker, now time.Duration, upstream protocol.UpstreamID, incarnation uint64, names ...string) Report {
	for _, name := range names {
		t.Started(now, upstream, digest(name), "customer")
	}
	return t.Crashed(now+300*time.Millisecond, upstream, incarnation)
}

// quarantinedTracker returns a tracker that has quarantined "bad" after crashes
// at 0 and 10 s.
func quarantinedTracker(t *testing.T) *Tracker {
	tracker := New(DefaultConfig())
	assert.Equal(t, len(crashWith(tracker, 0, engineA, 1, "bad", "x", "y").Quarantined), 0)
	report := crashWith(tracker, 10*time.Second, engineB, 1, "bad")
	assert.DeepEqual(t, report.Quarantined, []Digest{digest("bad")})
	return tracker
}

// A caller's request crashes each engine that runs it, and the caller sends it
// again through another router. After the second crash every router that
// received the notices must refuse the request; the harmless requests of the
// first crash may run.
func TestResendThroughAnotherRouterIsRefused(t *testing.T) {
	first, second := New(DefaultConfig()), New(DefaultConfig())
	for _, n := range crashWith(first, 0, engineA, 1, "bad", "x", "y").Notices {
		second.Merge(time.Second, n)
		second.Merge(2*time.Second, n) // a repeat counts once
	}
	assert.Equal(t, second.Check(2*time.Second, digest("bad")), CheckResult{Status: Suspect, Crashes: 1})
	for _, n := range crashWith(second, 10*time.Second, engineB, 1, "bad").Notices {
		first.Merge(11*time.Second, n)
	}
	for _, tracker := range []*Tracker{first, second} {
		result := tracker.Check(12*time.Second, digest("bad"))
		assert.Equal(t, result.Status, Quarantined)
		assert.Assert(t, result.RetryAfter > 4*time.Minute)
		assert.Equal(t, tracker.Check(12*time.Second, digest("x")).Status, Suspect)
	}
	second.Ended(12*time.Second, engineC, digest("x"), Completed)
}

// A harmless request is quarantined because it ran on two engines that crashed
// for another reason. It must not be refused for good: the quarantine expires,
// the request runs alone, and its answer clears it.
func TestInnocentOutlivesItsQuarantine(t *testing.T) {
	tracker := quarantinedTracker(t)
	later := 10 * time.Minute
	assert.Equal(t, tracker.Check(later, digest("bad")).Status, Suspect)
	tracker.Started(later, engineC, digest("bad"), "customer")
	tracker.Ended(later+time.Second, engineC, digest("bad"), Interrupted)
	assert.Equal(t, tracker.Check(later+time.Second, digest("bad")).Status, Suspect)
	tracker.Started(later, engineC, digest("bad"), "customer")
	tracker.Ended(later+time.Second, engineC, digest("bad"), Completed)
	assert.Equal(t, tracker.Check(later+time.Second, digest("bad")).Status, Clear)
}

// A request that crashes an engine again after its quarantine is quarantined
// for twice as long.
func TestRepeatedQuarantineDoubles(t *testing.T) {
	tracker := quarantinedTracker(t)
	later := 10 * time.Minute
	assert.Equal(t, tracker.Check(later, digest("bad")).Status, Suspect)
	report := crashWith(tracker, later, engineC, 1, "bad")
	assert.Equal(t, len(report.Quarantined), 1)
	list := tracker.List(later + time.Second)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Strikes, 2)
	assert.Equal(t, list[0].Expires, later+300*time.Millisecond+10*time.Minute)
	assert.Equal(t, list[0].Customer, protocol.CustomerID("customer"))
}

// An operator lifts a quarantine. Every router must clear the request, not only
// the one that received the command.
func TestLift(t *testing.T) {
	tracker := quarantinedTracker(t)
	other := New(DefaultConfig())
	other.Merge(0, Notice{Kind: QuarantineNotice, Crash: 7, Digest: digest("bad"), Strikes: 1, Seconds: 300})
	assert.Equal(t, other.Check(0, digest("bad")).Status, Quarantined)
	other.Merge(0, tracker.Lift(digest("bad")))
	for _, tr := range []*Tracker{tracker, other} {
		assert.Equal(t, tr.Check(11*time.Second, digest("bad")).Status, Clear)
		assert.Equal(t, len(tr.List(11*time.Second)), 0)
	}
}

// A rack fails, and with it four engines within a second. Requests of the first
// engine restart on the next one and fail there too. No request may be
// quarantined, not even one that ran alone.
func TestRackLossQuarantinesNothing(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "lonely", "p")
	at := 10 * time.Second
	report := crashWith(tracker, at, engineB, 1, "lonely")
	assert.Equal(t, len(report.Quarantined), 1)
	started := time.Second
	for i := range 3 {
		id := protocol.UpstreamID(fmt.Sprint("rack-", i))
		tracker.Started(started, id, digest("carried"), "customer")
		report = crashWith(tracker, at, id, 1, fmt.Sprint("q", i))
		started = at + 350*time.Millisecond
		at += 400 * time.Millisecond
	}
	assert.Assert(t, report.MassFailure)
	assert.Equal(t, tracker.Check(at, digest("lonely")).Status, Suspect)
	assert.Equal(t, tracker.Check(at, digest("q0")).Status, Clear)
	assert.Equal(t, len(tracker.List(at)), 0)
}

// Three crashes in less than two seconds are caused by one request if it was in
// all of them at the same age; they must not count as a mass failure.
func TestFastSerialCrashesAreNotAMassFailure(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "bad", "x")
	crashWith(tracker, 600*time.Millisecond, engineB, 1, "bad", "y")
	report := crashWith(tracker, 1200*time.Millisecond, engineC, 1, "bad", "z")
	assert.Assert(t, !report.MassFailure)
	assert.DeepEqual(t, report.Quarantined, []Digest{digest("bad")})
}

// Three engines of a rack fail, and a request of the first one had just been
// restarted on the second. That doesn't make it the cause.
func TestRestartWithinALostRackIsNotTheCause(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "twice", "x")
	crashWith(tracker, 100*time.Millisecond, engineB, 1, "twice", "y")
	assert.Assert(t, crashWith(tracker, 200*time.Millisecond, engineC, 1, "z").MassFailure)
	assert.Equal(t, tracker.Check(time.Second, digest("twice")).Status, Clear)
}

// Two bad requests crash four engines within a second. The last two crashes are
// trials of requests that were in the first two, so there are only two causes
// and no mass failure.
func TestTwoBadRequestsAreNotALostRack(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "bad1", "x")
	crashWith(tracker, 100*time.Millisecond, engineB, 1, "bad2", "y")
	assert.Equal(t, len(crashWith(tracker, 500*time.Millisecond, engineC, 1, "bad1").Quarantined), 1)
	report := crashWith(tracker, 600*time.Millisecond, engineD, 1, "bad2")
	assert.Assert(t, !report.MassFailure)
	assert.Equal(t, len(tracker.List(time.Second)), 2)
}

// A request crashes its engine only late in its run, after the end of every
// trial. After the third crash it is the only suspect in common.
func TestLateCrasherIsFoundByIntersection(t *testing.T) {
	tracker := New(DefaultConfig())
	var report Report
	for i, upstream := range []protocol.UpstreamID{engineA, engineB, engineC} {
		at := time.Duration(i) * time.Minute
		tracker.Started(at, upstream, digest("bad"), "customer")
		tracker.Started(at+8*time.Second, upstream, digest(fmt.Sprint("fresh", i)), "customer")
		report = tracker.Crashed(at+10*time.Second, upstream, 1)
	}
	assert.DeepEqual(t, report.Quarantined, []Digest{digest("bad")})
}

// A suspect waits for an engine on which it can run alone. Its deadline ends
// the wait, because being a suspect must not make a harmless request late.
// After the trial, other requests may start before the next suspect.
func TestSuspectWaitsToRunAloneUntilItsDeadline(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "s", "other")
	at := 10 * time.Second
	tracker.Started(at, engineB, digest("fresh"), "customer")
	hold := tracker.MayStart(at, engineB, digest("s"), forever)
	assert.Equal(t, hold, StartDecision{Hold: HoldRecentStart, CheckAt: at + time.Second})
	assert.Equal(t, tracker.MayStart(at, engineB, digest("s"), at).Hold, HoldNone)
	assert.Equal(t, tracker.MayStart(at, engineB, digest("new"), forever).Hold, HoldTrial)
	at += time.Second
	assert.Equal(t, tracker.MayStart(at, engineB, digest("s"), forever).Hold, HoldNone)
	tracker.Started(at, engineB, digest("s"), "customer")
	assert.Equal(t, tracker.MayStart(at, engineB, digest("other"), forever).Hold, HoldTrial)
	assert.Equal(t, tracker.MayStart(at, engineB, digest("new"), forever).Hold, HoldTrial)
	at += time.Second // the trial is over; other requests may start
	assert.Equal(t, tracker.MayStart(at, engineB, digest("new"), forever).Hold, HoldNone)
	assert.Equal(t, tracker.MayStart(at, engineB, digest("other"), forever).Hold, HoldTrial)
}

// A second bad request starts beside a suspect on trial because its deadline
// didn't let it wait. The crash must not quarantine the suspect.
func TestSharedTrialQuarantinesNothing(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "s", "other")
	tracker.Started(10*time.Second, engineB, digest("s"), "customer")
	tracker.Started(10*time.Second, engineB, digest("bad2"), "customer")
	report := tracker.Crashed(10*time.Second+300*time.Millisecond, engineB, 1)
	assert.Equal(t, len(report.Quarantined), 0)
	assert.Equal(t, tracker.Check(11*time.Second, digest("bad2")).Status, Suspect)
}

// A notice of a crash must stay small on the wire, also with 64 requests in
// flight.
func TestNoticeBytes(t *testing.T) {
	size := func(n Notice) int {
		var out bytes.Buffer
		encoder := msgpack.NewEncoder(&out)
		encoder.UseArrayEncodedStructs(true)
		encoder.UseCompactInts(true)
		assert.NilError(t, encoder.Encode(n))
		return out.Len()
	}
	tracker := New(DefaultConfig())
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprint(i))
	}
	report := crashWith(tracker, 0, engineA, 1, names...)
	assert.Equal(t, size(report.Notices[0]), 333)
	report = crashWith(tracker, 10*time.Second, engineB, 1, "0")
	assert.Equal(t, size(report.Notices[0])+size(report.Notices[1]), 38)
	assert.Equal(t, size(tracker.Lift(digest("bad"))), 15)
}

// The notice of one crash arrives three times by gossip. Counted as three
// crashes, they would look like a lost rack and clear the suspects of another
// crash.
func TestRepeatedNoticeIsOneCrash(t *testing.T) {
	tracker := New(DefaultConfig())
	crashWith(tracker, 0, engineA, 1, "bad", "x")
	for range 3 {
		tracker.Merge(time.Second, Notice{Kind: CrashNotice, Crash: 7})
	}
	assert.Equal(t, tracker.Check(time.Second, digest("bad")).Status, Suspect)
}

// A notice that ends within a record, or whose kind is unknown, must change
// nothing.
func TestMergeIgnoresTornNotices(t *testing.T) {
	tracker := New(DefaultConfig())
	tracker.Merge(0, Notice{Kind: CrashNotice, Crash: 1, Suspects: []byte{1, 2, 3}})
	tracker.Merge(0, Notice{Kind: 99})
	assert.Equal(t, len(tracker.suspects), 0)
}

// With more suspects than MaxSuspects, the tracker must remove the oldest ones.
func TestSuspectsAreBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxSuspects = 10
	tracker := New(config)
	for i := range 20 {
		at := time.Duration(i) * time.Minute
		crashWith(tracker, at, engineA, uint64(i), fmt.Sprint(i))
	}
	assert.Equal(t, len(tracker.suspects), 10)
}
