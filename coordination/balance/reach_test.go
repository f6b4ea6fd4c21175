package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

func TestOthersAnswersDontMakeAnUpstreamReachable(t *testing.T) {
	// Guards: a router that can't reach an upstream takes it for reachable with each answer that
	// another router reports, and tries it again and again.
	b := newBalancer(4)
	b.SetReachable("u00", false)
	for n := range uint64(50) {
		report := LoadReport{Upstreams: []UpstreamLoad{{ID: ShortIDOf("u00"), Served: n}}}
		b.ApplyLoadReport(now+time.Duration(n)*time.Millisecond, "r2", report)
	}
	for range 100 {
		choice := b.Pick(now+50*time.Millisecond, seeded(), plain())
		assert.Assert(t, choice.ID != "u00")
		assert.Assert(t, !choice.NeedsProxy)
	}
}

func TestFewReachableUpstreamsDontGetTheRequestsOfAll(t *testing.T) {
	// Guards: a router that reaches one of four upstreams sends it all of its requests.
	b, random := newBalancer(4), seeded()
	for _, id := range []protocol.UpstreamID{"u00", "u01", "u02"} {
		b.SetReachable(id, false)
	}
	chosen := map[protocol.UpstreamID]int{}
	for range 400 {
		choice := b.Pick(now, random, plain())
		assert.Equal(t, choice.NeedsProxy, choice.ID != "u03")
		b.Started(choice.ID)
		chosen[choice.ID]++
	}
	for id, count := range chosen {
		assert.Equal(t, count, 100, id)
	}
	b.SetReachable("u00", true)
	b.SetReachable("u01", true)
	assert.Equal(t, b.poolOf("s").unreachable, 1)
}

func TestUnreachableUpstreamsAreUsedWhileTheOthersHaveNoCapacity(t *testing.T) {
	// Guards: a router that can't reach one of two upstreams refuses requests while the other one is at
	// the load limit, although other routers could send them to the idle one.
	b := newBalancer(2)
	b.SetReachable("u01", false)
	limited := plain()
	limited.LoadLimit = 3
	for range 3 {
		choice := b.Pick(now, seeded(), limited)
		assert.Equal(t, choice.ID, protocol.UpstreamID("u00"))
		b.Started(choice.ID)
	}
	for range 3 {
		choice := b.Pick(now, seeded(), limited)
		assert.Equal(t, choice.ID, protocol.UpstreamID("u01"))
		assert.Assert(t, choice.NeedsProxy)
		b.Started(choice.ID)
	}
	assert.Equal(t, b.Pick(now, seeded(), limited).Reason, ReasonNoCapacity)
}

func TestIsolatedRouterChoosesAsBefore(t *testing.T) {
	// Guards: an isolated router sends prompts to other engines than those that have them cached.
	b := newBalancer(12)
	before := pickAnswered(b, now, seeded(), prompt(7))
	b.SetIsolated(true)
	after := b.Pick(now, seeded(), prompt(7))
	assert.Equal(t, after.ID, before.ID)
	assert.Equal(t, after.Reason, ReasonCacheHolder)
	assert.Assert(t, after.NeedsProxy)
	b.SetIsolated(false)
	assert.Assert(t, !b.Pick(now, seeded(), prompt(7)).NeedsProxy)
}
