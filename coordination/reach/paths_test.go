package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// upstreamID names the nth upstream.
func upstreamID(n int) protocol.UpstreamID { return protocol.UpstreamID(fmt.Sprintf("u%05d", n)) }

// sampleOf draws one of n upstreams.
func sampleOf(n int) func(*rand.Rand) protocol.UpstreamID {
	return func(random *rand.Rand) protocol.UpstreamID { return upstreamID(random.IntN(n)) }
}

func TestRouterIsIsolatedOnlyIfNoConnectionSucceedsInBetween(t *testing.T) {
	// Guards: a router without a path tries upstream after upstream for each request; or one
	// with a path takes two upstreams that crash for the loss of it.
	p := NewPaths()
	p.ConnectFailed(1, "a")
	p.ConnectFailed(2, "a")
	p.ConnectFailed(3, "b")
	assert.Assert(t, !p.IsIsolated())
	p.Connected(4, "c")
	p.ConnectFailed(5, "d")
	p.ConnectFailed(6, "a")
	assert.Assert(t, !p.IsIsolated())
	p.ConnectFailed(7, "b")
	p.Tick(7 + isolatingSilence - 1)
	assert.Assert(t, !p.IsIsolated(), "these three may have ended")
	p.Tick(7 + isolatingSilence)
	assert.Assert(t, p.IsIsolated())
	p.Connected(8, "c")
	p.Connected(9, "e")
	p.ConnectFailed(10, "d")
	p.Connected(11, "c")
	p.Connected(12, "e")
	assert.Assert(t, p.IsIsolated(), "a path that comes and goes")
	p.Connected(13, "f")
	assert.Assert(t, !p.IsIsolated())
	assert.Assert(t, !p.IsReachable("a"))
	assert.Assert(t, p.IsReachable("c"))
}

func TestCrashOfManyUpstreamsIsNoLossOfThePath(t *testing.T) {
	// Guards: a sixth of the upstreams crash, a router that answers its callers over connections
	// that are open counts as isolated, closes them all, and sends its requests through others
	// that count as isolated too.
	p := NewPaths()
	for n := range 15 {
		at := time.Duration(n) * 20 * time.Millisecond
		p.ConnectFailed(at, upstreamID(n))
		p.Answered(at+10*time.Millisecond, upstreamID(50+n))
		assert.Assert(t, !p.IsIsolated(), "after %d crashes", n+1)
	}
	assert.Equal(t, p.Unreachable(), 15)
}

func TestManyEndedUpstreamsThatAreStillListedAreNoLossOfThePath(t *testing.T) {
	// Guards: engines crash one after the other and their entries stay for a while. A router that
	// has just started tries three of them for its first request and takes itself for isolated.
	const upstreams, ended = 15, 11
	for seed := range uint64(200) {
		p, random := NewPaths(), rand.New(rand.NewPCG(seed, 3))
		sample := func(random *rand.Rand) protocol.UpstreamID {
			for range 16 {
				if id := upstreamID(random.IntN(upstreams)); p.IsReachable(id) {
					return id
				}
			}
			return ""
		}
		for at := time.Second; at < 3*time.Second; at += 10 * time.Millisecond {
			if at%(50*time.Millisecond) == 0 {
				p.ConnectFailed(at, upstreamID(random.IntN(ended)))
			}
			for _, id := range p.Probes(at, random, sample) {
				if id < upstreamID(ended) {
					p.ConnectFailed(at+time.Millisecond, id)
				} else {
					p.Connected(at+time.Millisecond, id)
				}
			}
			p.Tick(at + time.Millisecond)
			assert.Assert(t, !p.IsIsolated(), "seed %d, at %s", seed, at)
		}
	}
}

func TestRouterWithoutAPathIsIsolatedByTheProbesThatFail(t *testing.T) {
	// Guards: a router without a path waits long for the certainty that it has none.
	p, at := NewPaths(), time.Second
	p.ConnectFailed(at, upstreamID(0))
	p.ConnectFailed(at, upstreamID(1))
	assert.Assert(t, p.Suspects())
	sample := func(random *rand.Rand) protocol.UpstreamID { return upstreamID(2 + random.IntN(88)) }
	for round := range isolatingSamples {
		for _, id := range p.Probes(at+time.Duration(round)*time.Millisecond, seeded(), sample) {
			p.ConnectFailed(at+time.Duration(round+1)*time.Millisecond, id)
		}
	}
	assert.Assert(t, p.IsIsolated())
}

func TestIsolatedRouterLearnsSoonThatItsPathIsBack(t *testing.T) {
	// Guards: an isolated router probes only upstreams that it has tried before, which have
	// crashed meanwhile, and stays isolated.
	const upstreams = 10_000
	p, random := NewPaths(), seeded()
	for n := range isolatedAfter {
		p.ConnectFailed(0, upstreamID(n))
	}
	p.Tick(isolatingSilence)
	isBack := false
	for now := isolatingSilence; now < 3*time.Second; now += 50 * time.Millisecond {
		isBack = isBack || now >= 2*time.Second
		for _, id := range p.Probes(now, random, sampleOf(upstreams)) {
			if tried := id < upstreamID(isolatedAfter); isBack && !tried {
				p.Connected(now, id)
				continue
			}
			p.ConnectFailed(now, id)
		}
		if !p.IsIsolated() {
			assert.Assert(t, isBack)
			assert.Assert(t, now <= 2*time.Second+2*isolatedProbeInterval, "%s", now)
			return
		}
	}
	t.Fatal("the router stays isolated")
}

func TestProbesAreFewHoweverManyUpstreamsAreUnreachable(t *testing.T) {
	// Guards: a router that can't reach thousands of upstreams spends its time on opening
	// connections to them.
	for _, upstreams := range []int{1_000, 20_000} {
		p, random := NewPaths(), seeded()
		for n := range upstreams {
			p.ConnectFailed(0, upstreamID(n))
		}
		sent := 0
		for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
			due := p.Probes(now, random, sampleOf(upstreams))
			assert.Assert(t, len(due) <= maxProbes)
			sent += len(due)
		}
		assert.Assert(t, sent <= maxProbes, "%d probes although none has ended", sent)
	}
}

func TestFailuresOfALostPathAreNobodys(t *testing.T) {
	// Guards: a router's connections break because its path is lost, and it reports that as
	// failures and crashes of all upstreams.
	p, at := NewPaths(), time.Second
	for n := range 5 {
		p.Hold(at, Failure{Upstream: upstreamID(n)})
		p.Hold(at, Failure{Upstream: upstreamID(n), Crash: true, Digest: 7})
	}
	p.Answered(at+time.Millisecond, upstreamID(0))
	assert.Equal(t, len(p.TakeConfirmed(at+time.Millisecond)), 0, "that answer was on its way")
	for n := range isolatedAfter {
		p.ConnectFailed(at+10*time.Millisecond, upstreamID(n))
	}
	p.Hold(at+20*time.Millisecond, Failure{Upstream: upstreamID(9)})
	for range reachableAfter {
		p.Connected(at+time.Second, upstreamID(4))
	}
	assert.Equal(t, len(p.TakeConfirmed(at+time.Second)), 0)
}

func TestFailureIsAnUpstreamsIfThePathWorks(t *testing.T) {
	// Guards: upstreams that lose answers or crash aren't noticed any more, as their failures
	// are taken for the path's.
	p, at := NewPaths(), time.Second
	p.Hold(at, Failure{Upstream: "loses"})
	p.Hold(at, Failure{Upstream: "crashed"})
	p.Hold(at, Failure{Upstream: "crashed", Crash: true, Digest: 7})
	p.Answered(at+settleTime, "other")
	assert.DeepEqual(t, p.TakeConfirmed(at+settleTime), []Failure{{Upstream: "crashed", Crash: true, Digest: 7}})

	due := p.Probes(at+probeAfter, seeded(), func(*rand.Rand) protocol.UpstreamID { return "" })
	assert.DeepEqual(t, due, []protocol.UpstreamID{"loses", "crashed"})
	p.Connected(at+probeAfter, "loses")
	p.ConnectFailed(at+probeAfter, "crashed")
	assert.DeepEqual(t, p.TakeConfirmed(at+probeAfter), []Failure{{Upstream: "loses"}})
	p.Connected(at+probeAfter, "other")
	assert.Equal(t, len(p.TakeConfirmed(at+2*probeAfter)), 0, "others learn by themselves of one that takes no connections")
	assert.Equal(t, len(p.TakeConfirmed(at+2*heldTTL)), 0)
	assert.Equal(t, len(p.held), 0)
}

func TestUpstreamThatAnotherRouterCantReachIsProbedAtOnce(t *testing.T) {
	// Guards: an upstream dies, and each router loses requests to it until it has found out by
	// itself; or one that a single router can't reach is avoided by all.
	p, at := NewPaths(), time.Second
	p.ConnectFailed(at, "dead")
	assert.Equal(t, len(p.TakeFound(at)), 0)
	assert.DeepEqual(t, p.TakeFound(at+tellAfter), []protocol.UpstreamID{"dead"})
	assert.Equal(t, len(p.TakeFound(at+2*tellAfter)), 0, "told once")

	other := NewPaths()
	assert.Assert(t, other.Told(at, "dead"))
	assert.Assert(t, !other.Told(at, "dead"))
	assert.Assert(t, other.Told(at, "sound"))
	assert.Assert(t, !other.IsReachable("dead"))
	assert.DeepEqual(t, other.Probes(at, seeded(), sampleOf(1)), []protocol.UpstreamID{"dead", "sound"})
	other.Connected(at, "sound")
	other.ConnectFailed(at, "dead")
	assert.Assert(t, other.IsReachable("sound"))
	assert.Equal(t, len(other.TakeFound(at+tellAfter)), 0, "it was told itself")
}

func TestIsolatedRouterTellsOfNoUpstream(t *testing.T) {
	// Guards: routers without a path make all others probe all upstreams.
	p, at := NewPaths(), time.Second
	for n := range isolatedAfter + 2 {
		p.ConnectFailed(at, upstreamID(n))
	}
	assert.Equal(t, len(p.TakeFound(at+tellAfter)), 0)
	p.Tick(at + isolatingSilence)
	assert.Equal(t, len(p.TakeFound(at+isolatingSilence)), 0)
	assert.Assert(t, !p.Told(at, "u"))
}

func TestUpstreamsInDoubtDoNotIsolateARouter(t *testing.T) {
	// Guards: other routers tell of thirty upstreams that only some routers reach, the probes of
	// them fail one after the other, and a router that reaches twice as many counts as isolated.
	p := NewPaths()
	for n := range 30 {
		p.Told(time.Second, upstreamID(n))
	}
	for at := time.Second; at < 3*time.Second; at += 50 * time.Millisecond {
		for _, id := range p.Probes(at, seeded(), sampleOf(90)) {
			p.ConnectFailed(at, id)
		}
		assert.Assert(t, !p.IsIsolated())
	}
	assert.Equal(t, p.Unreachable(), 30)
}

func TestCrashOfAQuarterOfTheUpstreamsIsNoLossOfThePath(t *testing.T) {
	// Guards: streams break with the quarter of the upstreams that crashes, the router probes
	// these, takes their failures for the loss of its path, and closes its other connections.
	const upstreams, crashed, fleets = 90, 22, 300
	isolated := 0
	for seed := range uint64(fleets) {
		p, random := NewPaths(), rand.New(rand.NewPCG(seed, 1))
		for _, n := range random.Perm(crashed)[:5] {
			p.Hold(time.Second, Failure{Upstream: upstreamID(n), Crash: true})
		}
		if isIsolatedBy(p, random, upstreams, crashed) {
			isolated++
		}
	}
	assert.Check(t, isolated <= fleets/20, "%d of %d routers", isolated, fleets)
}

func TestRouterWithoutAPathLearnsItFromBrokenStreams(t *testing.T) {
	// Guards: a router loses its paths, its streams break, nobody sends it requests that would
	// show it, and it doesn't know.
	p := NewPaths()
	for n := range 5 {
		p.Hold(time.Second, Failure{Upstream: upstreamID(n), Crash: true})
	}
	assert.Assert(t, isIsolatedBy(p, seeded(), 90, 90))
}

// isIsolatedBy lets a router probe for a while of which the first dead upstreams refuse connections
// at once and the others take them, and returns whether it is isolated in that time.
func isIsolatedBy(p *Paths, random *rand.Rand, upstreams, dead int) bool {
	for at := time.Second; at < 2*time.Second; at += 50 * time.Millisecond {
		due := p.Probes(at, random, sampleOf(upstreams))
		for _, id := range due {
			if id < upstreamID(dead) {
				p.ConnectFailed(at+time.Millisecond, id)
			}
		}
		if p.IsIsolated() {
			return true
		}
		for _, id := range due {
			if id >= upstreamID(dead) {
				p.Connected(at+30*time.Millisecond, id)
			}
		}
		p.TakeConfirmed(at + 30*time.Millisecond)
	}
	return false
}
