package engineorders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// The roll bench: 40 engines serve one model at version v1, and the table then
// asks for v2. A load takes loadTime alone on the store; the store serves
// storeWidth at a time. 4,000 chats return, each after 120 s on average, to
// the first engine in placement order that serves; a turn is warm when that
// engine ran the chat before and hasn't loaded since.
const (
	benchEngines = 40
	benchChats   = 4000
	benchGap     = 120
	loadTime     = 30 * time.Second
	storeWidth   = 4
	rollAt       = 10 * time.Minute
	benchEnd     = 40 * time.Minute
)

// rollResult is what a roll did.
type rollResult struct {
	leastServing int
	took         time.Duration
	// colds are the cold turns from the roll's start on, for each chat, and
	// worst is the smallest share of warm turns in a minute.
	colds, worst float64
	unserved     int
}

type rollBench struct {
	rng     *rand.Rand
	engines []Engine
	caches  []map[int]bool
	loading []time.Duration
	numbers map[protocol.UpstreamID]int
	set     *placement.Set
	version uint64
	next    []time.Duration
	result  rollResult
	// minute counts the turns of a minute, all and warm ones.
	minute, turns, warm int
	cold                int
}

// runRoll steps the plan through one roll.
func runRoll(seed uint64, limits Limits) rollResult {
	b := &rollBench{rng: rand.New(rand.NewPCG(seed, 1)), numbers: map[protocol.UpstreamID]int{}}
	for i := range benchEngines {
		id := protocol.UpstreamID(fmt.Sprintf("e%02d", i))
		b.engines = append(b.engines, Engine{ID: id, Room: 1, Models: []upstreamapi.LoadedModel{{Model: "m", Version: "v1", Ready: true}}})
		b.caches = append(b.caches, map[int]bool{})
		b.numbers[id] = i
	}
	b.loading = make([]time.Duration, benchEngines)
	b.next = make([]time.Duration, benchChats)
	b.result.leastServing = benchEngines
	b.result.worst = 1
	b.rebuild()
	for now := time.Duration(0); now < benchEnd; now += time.Second {
		b.load(now)
		if now >= rollAt {
			b.plan(now, limits)
		}
		b.turn(now)
	}
	b.result.colds = float64(b.cold) / benchChats
	return b.result
}

func (b *rollBench) rebuild() {
	var members []placement.Member
	for _, engine := range b.engines {
		if engine.Models[0].Ready {
			members = append(members, placement.Member{ID: engine.ID, Weight: 1})
		}
	}
	b.version++
	b.set, _ = placement.NewSet(b.version, members)
	b.result.leastServing = min(b.result.leastServing, len(members))
}

func (b *rollBench) plan(now time.Duration, limits Limits) {
	wanted := Model{Name: "m", Version: "v2", Replicas: benchEngines}
	open := 0
	old := 0
	for _, engine := range b.engines {
		if engine.Open.Action == upstreamapi.ActionLoad {
			open++
		}
		if engine.Models[0].Version != "v2" || !engine.Models[0].Ready {
			old++
		}
	}
	if old == 0 {
		return
	}
	b.result.took = now - rollAt
	limits.Loads -= open
	planned := MakePlan(b.engines, []Model{wanted}, limits)
	for _, order := range planned {
		begin(b.engines, order)
		i := b.numbers[order.Upstream]
		b.caches[i] = map[int]bool{}
		b.loading[i] = loadTime
	}
	if len(planned) > 0 {
		b.rebuild()
	}
}

// load lets the store work for a second.
func (b *rollBench) load(time.Duration) {
	open := 0
	for _, left := range b.loading {
		if left > 0 {
			open++
		}
	}
	done := false
	for i, left := range b.loading {
		if left <= 0 {
			continue
		}
		b.loading[i] -= time.Second * storeWidth / time.Duration(max(storeWidth, open))
		if b.loading[i] <= 0 {
			finish(&b.engines[i])
			done = true
		}
	}
	if done {
		b.rebuild()
	}
}

// turn runs the turns of a second.
func (b *rollBench) turn(now time.Duration) {
	for id, due := range b.next {
		if due > now {
			continue
		}
		b.next[id] = now + time.Duration(b.rng.ExpFloat64()*benchGap*float64(time.Second))
		var order [1]int32
		if b.set.Order(placement.Key{Root: chat.ChainHash(uint64(id+1) * 0x9e3779b97f4a7c15)}, order[:]) == 0 {
			b.result.unserved++
			continue
		}
		b.count(now, id, b.numbers[b.set.Member(order[0]).ID])
	}
}

func (b *rollBench) count(now time.Duration, id, engine int) {
	warm := b.caches[engine][id]
	b.caches[engine][id] = true
	if now < rollAt {
		return
	}
	if minute := int(now / time.Minute); minute != b.minute {
		b.closeMinute()
		b.minute = minute
	}
	b.turns++
	if warm {
		b.warm++
	} else {
		b.cold++
	}
}

func (b *rollBench) closeMinute() {
	if b.turns > 0 {
		b.result.worst = min(b.result.worst, float64(b.warm)/float64(b.turns))
	}
	b.turns = 0
	b.warm = 0
}

// A new version goes over 40 engines under returning chats. All at once, no
// engine serves for minutes and every chat starts cold at the same time. The
// roll must keep nine engines of ten, few cold turns beyond the one a chat that
// a new version costs anyhow, and most turns of each minute warm.
func TestRollKeepsCapacityAndReuse(t *testing.T) {
	seeds := 3
	for _, tc := range []struct {
		name   string
		limits Limits
	}{
		{"all at once", Limits{Loads: benchEngines, RollShare: 1}},
		{"quarter, store unbounded", Limits{Loads: benchEngines, RollShare: 0.25}},
		{"tenth", Limits{Loads: MaxLoads, RollShare: RollShare}},
		{"twentieth", Limits{Loads: MaxLoads, RollShare: 0.05}},
		{"one at a time", Limits{Loads: 1, RollShare: 0}},
	} {
		sum := rollResult{leastServing: benchEngines, worst: 1}
		for seed := range seeds {
			r := runRoll(uint64(seed+1), tc.limits)
			sum.leastServing = min(sum.leastServing, r.leastServing)
			sum.took = max(sum.took, r.took)
			sum.colds += r.colds / float64(seeds)
			sum.worst = min(sum.worst, r.worst)
			sum.unserved += r.unserved
		}
		t.Logf("%-25s least serving %2d/%d, took %v, %.2f cold turns a chat, worst minute %.0f%% warm, unserved %d",
			tc.name, sum.leastServing, benchEngines, sum.took, sum.colds, 100*sum.worst, sum.unserved)
		if tc.limits.RollShare == RollShare {
			assert.Assert(t, sum.leastServing >= benchEngines*9/10)
			assert.Assert(t, sum.colds <= 1.5)
			assert.Assert(t, sum.worst >= 0.5)
			assert.Equal(t, sum.unserved, 0)
		}
	}
}
