package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

const (
	start = 40 * time.Second
	plain = protocol.Service("plain")
	slots = 6
)

// listed returns roster entries of a service's upstreams, in their first incarnation.
func listed(name protocol.Service, count, slots int) []roster.Entry {
	entries := make([]roster.Entry, count)
	for i := range entries {
		id := protocol.UpstreamID(fmt.Sprintf("%s-%05d", name, i))
		entries[i] = roster.Entry{ID: id, Service: name, Slots: slots, State: roster.Ready, StartedAt: 1_700_000_000_000}
	}
	return entries
}

// withUpstreams returns Reports for some upstreams of the plain service.
func withUpstreams(count int) (*Reports, []roster.Entry) {
	r, entries := New(), listed(plain, count, slots)
	r.SetRoster(entries)
	return r, entries
}

func load(running, waiting, pace int) dialect.ReportedLoad {
	return dialect.ReportedLoad{Running: running, Waiting: waiting, Slots: slots, Pace: pace}
}

// answer returns the observation of an answer that contradicts nothing.
func answer(e roster.Entry, l dialect.ReportedLoad) Observation {
	return Observation{Upstream: e.ID, StartedAt: e.StartedAt, Load: l, FleetInFlight: l.Running + l.Waiting}
}

func always(protocol.Service) bool { return true }

var mesh = balance.Neighbours{Mesh: []protocol.RouterID{"b", "c"}}

func TestFreeCapacityIsSlotsAtThePaceLessRequests(t *testing.T) {
	r, entries := withUpstreams(3)
	assert.Equal(t, r.Observe(start, answer(entries[0], load(2, 0, 100))), Used)
	assert.Equal(t, r.Observe(start, answer(entries[1], load(6, 4, 150))), Used)
	got := r.Free(start+maxAge, plain)
	assert.DeepEqual(t, got, Capacity{Upstreams: 3, Known: 2, Slots: 12, Running: 8, Waiting: 4, Effective: 10, Free: -2})
	assert.DeepEqual(t, r.Free(start, "other"), Capacity{})
}

func TestMissingAndStaleReportsLeaveTheUpstreamUnknown(t *testing.T) {
	// Guards: an upstream that reports nothing, or no more, counts as idle or with its last load.
	r, entries := withUpstreams(3)
	assert.DeepEqual(t, r.Free(start, plain), Capacity{Upstreams: 3})
	r.Observe(start, answer(entries[0], load(2, 0, 100)))
	late := start + maxAge + time.Millisecond
	assert.DeepEqual(t, r.Free(late, plain), Capacity{Upstreams: 3})
	_, known := r.Load(late, entries[0].ID)
	assert.Assert(t, !known)
	assert.Equal(t, len(r.Pending(late, mesh, always)), 0)
}

func TestImpossibleReportsAreNotUsed(t *testing.T) {
	// Guards: a damaged report, from an answer or from another router, gives a service capacity that
	// it can't have.
	for name, l := range map[string]dialect.ReportedLoad{
		"more running than slots": load(7, 0, 100),
		"other slots":             {Running: 1, Slots: 64, Pace: 100},
		"no slots":                {Pace: 100},
		"huge queue":              load(6, 1<<16+1, 100),
		"no pace":                 load(1, 0, 0),
		"endless pace":            load(1, 0, 10_001),
		"negative":                load(-1, 0, 100),
		"negative queue":          load(1, -1, 100),
	} {
		t.Run(name, func(t *testing.T) {
			r, entries := withUpstreams(1)
			assert.Equal(t, r.Observe(start, answer(entries[0], l)), Impossible)
			entry := balance.ReportedLoad{
				ID: balance.ShortIDOf(entries[0].ID), Incarnation: incarnation(entries[0].StartedAt),
				Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace,
			}
			r.Apply(start, mesh, "b", []balance.ReportedLoad{entry})
			assert.Equal(t, r.Free(start, plain).Known, 0)
		})
	}
	r, entries := withUpstreams(1)
	entries[0].Slots = 0
	r.ApplyEntries(entries)
	assert.Equal(t, r.Observe(start, answer(entries[0], load(2, 0, 100))), Used, "an upstream that announces no slots")
}

func TestReportsOfAFormerIncarnationAreNotUsed(t *testing.T) {
	// Guards: an upstream restarts under its ID, and what it said before counts for it: what this
	// router knew, an answer that arrives after the restart, and what another router passes on.
	r, entries := withUpstreams(2)
	other, _ := withUpstreams(2)
	former, restarted := entries[0], entries[0]
	restarted.StartedAt += 90_000
	r.Observe(start, answer(former, load(6, 9, 100)))
	other.Observe(start, answer(former, load(6, 9, 100)))
	r.ApplyEntries([]roster.Entry{restarted})
	assert.Equal(t, r.Free(start, plain).Known, 0)
	assert.Equal(t, r.Observe(start, answer(former, load(6, 9, 100))), Former)
	r.Apply(start, mesh, "b", other.Pending(start, mesh, always)[0].Reported)
	assert.Equal(t, r.Free(start, plain).Known, 0)
	assert.Equal(t, r.Observe(start, answer(restarted, load(0, 0, 100))), Used)
	assert.Equal(t, r.Free(start, plain).Known, 1)
}

func TestUpstreamsThatDontAcceptRequestsHaveNoCapacity(t *testing.T) {
	// Guards: slots of an upstream that drains or has left count as free.
	r, entries := withUpstreams(3)
	for _, e := range entries {
		r.Observe(start, answer(e, load(0, 0, 100)))
	}
	entries[0].State, entries[1].State = roster.Draining, roster.Gone
	r.ApplyEntries(entries[:2])
	assert.DeepEqual(t, r.Free(start, plain), Capacity{Upstreams: 1, Known: 1, Slots: 6, Effective: 6, Free: 6})
	assert.Equal(t, r.Observe(start, answer(entries[0], load(0, 0, 100))), Unlisted)
	r.SetRoster(nil)
	assert.Equal(t, len(r.upstreams)+len(r.byShortID)+len(r.services), 0)
}

func TestReportsThatOvertakeEachOtherLeaveTheNewest(t *testing.T) {
	// Guards: an older report arrives after a newer one and replaces it, or a router takes its own
	// report, passed back to it, for news.
	r, entries := withUpstreams(1)
	entry := func(running, ageMS int) []balance.ReportedLoad {
		return []balance.ReportedLoad{{
			ID: balance.ShortIDOf(entries[0].ID), Incarnation: incarnation(entries[0].StartedAt),
			Running: running, Slots: slots, Pace: 100, AgeMS: ageMS,
		}}
	}
	r.Apply(start, mesh, "b", entry(4, 100))
	r.Apply(start, mesh, "c", entry(1, 700))
	got, _ := r.Load(start, entries[0].ID)
	assert.Equal(t, got.Running, 4)
	assert.Equal(t, got.Age, 100*time.Millisecond+hopDelay)
	for _, ageMS := range []int{-1, 3_001, 1 << 40} {
		r.Apply(start, mesh, "c", entry(1, ageMS))
	}
	r.Observe(start, answer(entries[0], load(2, 0, 100)))
	r.Apply(start+10*time.Millisecond, mesh, "c", entry(2, 0))
	got, _ = r.Load(start+10*time.Millisecond, entries[0].ID)
	assert.Equal(t, got.Running, 2)
	assert.Equal(t, got.Age, 10*time.Millisecond)
}

// lying plays a second of answers of one upstream, one each 50 ms, and returns the last verdict.
func lying(r *Reports, o Observation) Verdict {
	verdict := Used
	for at := start; at < start+time.Second; at += 50 * time.Millisecond {
		verdict = r.Observe(at, o)
	}
	return verdict
}

func TestAnUpstreamThatSaysItIsIdleIsNotBelieved(t *testing.T) {
	// Guards: an upstream says that it is idle while this router alone has more in flight there, or
	// all routers together have, and its slots count as free.
	for name, o := range map[string]Observation{
		"this router": {InFlight: 5, FleetInFlight: 5},
		"all routers": {InFlight: 1, FleetInFlight: 6},
	} {
		t.Run(name, func(t *testing.T) {
			r, entries := withUpstreams(2)
			o.Upstream, o.StartedAt, o.Load = entries[0].ID, entries[0].StartedAt, load(0, 0, 100)
			assert.Equal(t, lying(r, o), Contradicted)
			at := start + time.Second
			r.Apply(at, mesh, "b", []balance.ReportedLoad{{
				ID: balance.ShortIDOf(o.Upstream), Incarnation: incarnation(o.StartedAt), Slots: slots, Pace: 100,
			}})
			assert.Equal(t, r.Free(at, plain).Known, 0, "nor if another router passes it on")
			assert.Equal(t, len(r.Pending(at, mesh, always)), 0)
		})
	}
}

func TestAnUpstreamThatSaysItIsFullIsNotBelievedIfItAnswersQuickly(t *testing.T) {
	// Guards: an upstream says for ever that it is full, and a service that has room refuses.
	for name, c := range map[string]struct {
		load  dialect.ReportedLoad
		fleet int
		took  time.Duration
		want  Verdict
	}{
		"a long queue, quick":           {load(6, 9, 100), 15, 60 * time.Millisecond, Contradicted},
		"a long queue, slow":            {load(6, 9, 100), 15, 150 * time.Millisecond, Used},
		"no free slot, hardly used":     {load(6, 0, 100), 1, 60 * time.Millisecond, Contradicted},
		"no free slot, used, quick":     {load(6, 0, 100), 6, 60 * time.Millisecond, Used},
		"an answer that isn't compared": {load(6, 9, 100), 1, 0, Used},
	} {
		t.Run(name, func(t *testing.T) {
			r, entries := withUpstreams(2)
			usual := answer(entries[1], load(2, 0, 100))
			usual.Took = 60 * time.Millisecond
			r.Observe(start, usual)
			o := answer(entries[0], c.load)
			o.FleetInFlight, o.Took = c.fleet, c.took
			assert.Equal(t, lying(r, o), c.want)
		})
	}
}

func TestAnUpstreamThatSaysAnotherPaceIsNotBelieved(t *testing.T) {
	// Guards: an upstream says that work takes no time there, or for ever, while its answers take as
	// long as others': its slots count many times, or the service has no capacity.
	for pace, want := range map[int]Verdict{1: Contradicted, 60: Used, 100: Used, 160: Used, 10_000: Contradicted} {
		r, entries := withUpstreams(2)
		usual := answer(entries[1], load(2, 0, 100))
		usual.Took = 60 * time.Millisecond
		r.Observe(start, usual)
		first := answer(entries[0], load(0, 0, pace))
		r.Observe(start, first)
		assert.Assert(t, r.Free(start, plain).Effective <= slots+2*slots, "before it is known")
		first.Took = 60 * time.Millisecond
		assert.Equal(t, lying(r, first), want, "pace %d", pace)
	}
}

func TestAnHonestUpstreamIsBelievedAgain(t *testing.T) {
	// Guards: some reports that crossed requests under way, or a fault that is mended, make an
	// upstream unknown for ever.
	r, entries := withUpstreams(1)
	burst := answer(entries[0], load(1, 0, 100))
	burst.InFlight = 9
	for range distrustAt - 1 {
		assert.Equal(t, r.Observe(start, burst), Contradicted)
	}
	honest := answer(entries[0], load(1, 0, 100))
	assert.Equal(t, r.Observe(start, honest), Used)
	for range distrustAt {
		r.Observe(start, burst)
	}
	assert.Equal(t, r.Observe(start, honest), Distrusted)
	for range distrustAt {
		r.Observe(start, honest)
	}
	assert.Equal(t, r.Free(start, plain).Known, 1)
	lying(r, burst)
	assert.Equal(t, r.Observe(start+time.Second+forgetAfter, honest), Used, "it got no requests for long")
}

func TestOnlyWantedServicesAndChangesArePassedOn(t *testing.T) {
	// Guards: routers send loads of services that aren't short, or the same again and again.
	r, entries := withUpstreams(1)
	r.Observe(start, answer(entries[0], load(3, 0, 100)))
	assert.Equal(t, len(r.Pending(start, mesh, func(protocol.Service) bool { return false })), 0)
	assert.Equal(t, len(r.Pending(start, mesh, always)), 1)
	at := start + minInterval
	r.Observe(at, answer(entries[0], load(3, 0, 105)))
	assert.Equal(t, len(r.Pending(at, mesh, always)), 0, "hardly changed")
	r.Observe(at, answer(entries[0], load(5, 0, 100)))
	assert.Equal(t, len(r.Pending(at, mesh, always)), 1)
	r.Observe(at+refreshAge, answer(entries[0], load(5, 0, 100)))
	assert.Equal(t, len(r.Pending(at+refreshAge, mesh, always)), 1, "so that it doesn't get stale")
}
