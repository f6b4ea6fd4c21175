package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
)

const longPrefix = 8192

func longPrompt(key uint64) Request {
	r := prompt(key)
	r.PrefixTokens = longPrefix
	return r
}

func newReplicatingBalancer(upstreams, replicas int) *Balancer {
	b := NewBalancer(Settings{Multiple: 2, Slack: 3, DataCentre: "dc0", PrefixReplicas: replicas, ReplicaTokens: 4096})
	b.SetRoster(entries(upstreams))
	return b
}

// crashRun simulates routers before engines of which some crash. Each request carries one of some
// long prefixes.
type crashRun struct {
	routers, engines, prefixes, perSecond int
	replicas                              int
}

// prefixEngine is an engine of a crashRun.
type prefixEngine struct {
	cached  map[uint64]bool
	crashed bool
}

// crashEvent is the end of a request at an engine, or a report of a router.
type crashEvent struct {
	router, engine int
	prefix         uint64
	report         bool
}

// play returns how many prefixes were prefilled although an engine had prefilled them before, in
// the five seconds after a sixth of the engines crashed.
func (run crashRun) play(seed uint64) (again int) {
	const (
		work, crashAt, listedFor, end = 400 * time.Millisecond, 10 * time.Second, time.Second, 15 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	routers, engines := make([]*Balancer, run.routers), make([]prefixEngine, run.engines)
	list, seen := entries(run.engines), map[uint64]bool{}
	for i := range engines {
		engines[i].cached = map[uint64]bool{}
	}
	var events timequeue.Queue[crashEvent]
	for i := range routers {
		routers[i] = newReplicatingBalancer(run.engines, run.replicas)
		events.Push(time.Duration(i)*time.Millisecond, crashEvent{router: i, report: true})
	}
	crash := func() {
		for i := range run.engines / 6 {
			engines[i] = prefixEngine{cached: map[uint64]bool{}, crashed: true}
		}
	}
	unlist := func() {
		for _, b := range routers {
			b.SetRoster(list[run.engines/6:])
		}
	}
	step := func(at time.Duration, e crashEvent) {
		b := routers[e.router]
		switch {
		case e.report:
			report, _ := b.OwnLoadReport(false)
			for i, other := range routers {
				if i != e.router {
					other.ApplyLoadReport(now+at, protocol.RouterID(fmt.Sprint(e.router)), report)
				}
			}
			events.Push(at+100*time.Millisecond, e)
		case engines[e.engine].crashed:
			b.ForgetUnconfirmed(list[e.engine].ID, e.prefix)
			b.Ended(now+at, list[e.engine].ID, Broken)
		default:
			b.Ended(now+at, list[e.engine].ID, Served)
		}
	}
	send := func(at time.Duration) {
		router, r := random.IntN(run.routers), longPrompt(uint64(1+random.IntN(run.prefixes)))
		b := routers[router]
		choice := b.Pick(now+at, random, r)
		n := slices.IndexFunc(list, func(e roster.Entry) bool { return e.ID == choice.ID })
		b.Started(choice.ID)
		events.Push(at+work, crashEvent{router: router, engine: n, prefix: r.Prompt})
		if engines[n].crashed {
			return
		}
		source := slices.IndexFunc(list, func(e roster.Entry) bool { return e.Address == choice.CopyFrom })
		copied := source >= 0 && engines[source].cached[r.Prompt]
		if !engines[n].cached[r.Prompt] && !copied && seen[r.Prompt] && at >= crashAt {
			again++
		}
		engines[n].cached[r.Prompt], seen[r.Prompt] = true, true
		b.ConfirmCached(now+at, choice.ID, r.Prompt, nil)
	}
	crashed, unlisted := false, false
	for at := time.Duration(0); at < end; at += time.Second / time.Duration(run.perSecond) {
		for next, any := events.Next(); any && next <= at; next, any = events.Next() {
			when, e := events.Pop()
			step(when, e)
		}
		if at >= crashAt && !crashed {
			crashed = true
			crash()
		}
		if at >= crashAt+listedFor && !unlisted {
			unlisted = true
			unlist()
		}
		send(at)
	}
	return again
}

// Guards: a sixth of the engines crash, and each long prefix that one of them alone had cached is
// prefilled again while that engine's other requests wait.
func TestPrefixesInDemandSurviveTheCrashOfTheirHolder(t *testing.T) {
	for _, run := range []crashRun{
		{routers: 9, engines: 30, prefixes: 150, perSecond: 150},
		{routers: 67, engines: 90, prefixes: 400, perSecond: 400},
	} {
		t.Run(fmt.Sprintf("%d routers", run.routers), func(t *testing.T) {
			for seed := range uint64(3) {
				alone, replicated := run, run
				alone.replicas, replicated.replicas = 1, 2
				before, after := alone.play(seed), replicated.play(seed)
				t.Logf("seed %d: %d prefixes prefilled again without replicas, %d with two holders", seed, before, after)
				assert.Check(t, 2*after <= before, "%d of %d", after, before)
			}
		})
	}
}

// Guards: every request of a prompt in demand goes to another engine, and the prefix is copied
// without end.
func TestAPrefixGetsNoMoreReplicasThanSet(t *testing.T) {
	b, random := newReplicatingBalancer(12, 2), seeded()
	used := map[protocol.UpstreamID]int{}
	replicas := 0
	for i := range 50 {
		at := now + time.Duration(i)*100*time.Millisecond
		choice := pickAnswered(b, at, random, longPrompt(7))
		used[choice.ID]++
		if choice.Reason == ReasonReplica {
			replicas++
			assert.Assert(t, choice.CopyFrom != "")
		}
	}
	assert.Equal(t, len(used), 2, "%v", used)
	assert.Equal(t, replicas, 1)
}

// Guards: prefixes are copied that are prefilled as fast, that nobody asks for any more, or that
// their only holder is still prefilling.
func TestOnlyLongPrefixesInDemandAreReplicated(t *testing.T) {
	b := newReplicatingBalancer(12, 2)
	short := longPrompt(7)
	short.PrefixTokens = 512
	pickAnswered(b, now, seeded(), short)
	assert.Equal(t, pickAnswered(b, now, seeded(), short).Reason, ReasonCacheHolder)

	b.Pick(now, seeded(), longPrompt(8))
	assert.Equal(t, b.Pick(now, seeded(), longPrompt(8)).Reason, ReasonCacheHolder)

	pickAnswered(b, now, seeded(), longPrompt(9))
	late := now + replicaDemandAge + time.Second
	assert.Equal(t, b.Pick(late, seeded(), longPrompt(9)).Reason, ReasonCacheHolder)
}

// Guards: an engine prefills a prompt and then fails, and the retry prefills it again elsewhere.
func TestARetryCopiesFromTheEngineThatFailed(t *testing.T) {
	b := newReplicatingBalancer(12, 2)
	first := b.Pick(now, seeded(), longPrompt(7))
	retry := longPrompt(7)
	retry.Tried, retry.Errored = []protocol.UpstreamID{first.ID}, []protocol.UpstreamID{first.ID}
	b.ForgetUnconfirmed(first.ID, 7)
	assert.Equal(t, b.Pick(now, seeded(), retry).CopyFrom, first.Address)
	retry.Errored = nil
	assert.Equal(t, b.Pick(now, seeded(), retry).CopyFrom, "", "its connection broke off: it may have crashed")
}

// Guards: a router whose settings don't ask for replicas chooses otherwise than before.
func TestWithoutReplicasTheChoicesAreTheSame(t *testing.T) {
	before, off := newBalancer(12), newReplicatingBalancer(12, 1)
	randomBefore, randomOff := seeded(), seeded()
	for i := range uint64(300) {
		at := now + time.Duration(i)*20*time.Millisecond
		r := longPrompt(i % 20)
		old := r
		old.PrefixTokens = 0
		if i%7 == 0 {
			r.Errored = []protocol.UpstreamID{"u03"}
		}
		assert.DeepEqual(t, pickAnswered(off, at, randomOff, r), pickAnswered(before, at, randomBefore, old))
	}
}
