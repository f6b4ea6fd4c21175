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

// The simulated rolling change: 40 engines serve one model at version v1, and the
// table then asks for v2. A load takes loadTime if the weight store serves no more
// than storeWidth loads at once, and longer if it does. 4,000 chats return, each
// after 120 s on average, to the first engine in placement order that serves the
// model. A turn is warm if that engine ran the chat before and hasn't loaded since.
const (
	benchEngines = 40
	benchChats   = 4000
	benchGap     = 120
	loadTime     = 30 * time.Second
	storeWidth   = 4
	rollAt       = 10 * time.Minute
	benchEnd     = 40 * time.Minute
)

// rollResult is the result of a simulated rolling change.
type rollResult struct {
	leastServing int
	took         time.Duration
	// coldTurnsPerChat counts the cold turns of a chat from the start of the rolling
	// change; worstWarmShare is the smallest share of warm turns in a minute.
	coldTurnsPerChat, worstWarmShare float64
	unserved                         int
}

type rollBench struct {
	rng      *rand.Rand
	engines  []Engine
	caches   []map[int]bool
	loadLeft []time.Duration
	indexOf  map[protocol.UpstreamID]int
	set      *placement.Set
	version  uint64
	next     []time.Duration
	result   rollResult
	// minute is the current minute, turns counts its turns and warm the warm ones.
	minute, turns, warm int
	coldTurns           int
}

// runRoll simulates one rolling change.
func runRoll(seed uint64, limits Limits) rollResult {
	b := &rollBench{rng: rand.New(rand.NewPCG(seed, 1)), indexOf: map[protocol.UpstreamID]int{}}
	for i := range benchEngines {
		id := protocol.UpstreamID(fmt.Sprintf("e%02d", i))
		b.engines = append(b.engines, Engine{ID: id, MaxModels: 1, Models: []upstreamapi.LoadedModel{{Model: "m", Version: "v1", Ready: true}}})
		b.caches = append(b.caches, map[int]bool{})
		b.indexOf[id] = i
	}
	b.loadLeft = make([]time.Duration, benchEngines)
	b.next = make([]time.Duration, benchChats)
	b.result.leastServing = benchEngines
	b.result.worstWarmShare = 1
	b.rebuild()
	for now := time.Duration(0); now < benchEnd; now += time.Second {
		b.advanceLoads(now)
		if now >= rollAt {
			b.plan(now, limits)
		}
		b.runTurns(now)
	}
	b.result.coldTurnsPerChat = float64(b.coldTurns) / benchChats
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
		i := b.indexOf[order.Upstream]
		b.caches[i] = map[int]bool{}
		b.loadLeft[i] = loadTime
	}
	if len(planned) > 0 {
		b.rebuild()
	}
}

// advanceLoads advances the weight store's loads by a second.
func (b *rollBench) advanceLoads(time.Duration) {
	open := 0
	for _, left := range b.loadLeft {
		if left > 0 {
			open++
		}
	}
	done := false
	for i, left := range b.loadLeft {
		if left <= 0 {
			continue
		}
		b.loadLeft[i] -= time.Second * storeWidth / time.Duration(max(storeWidth, open))
		if b.loadLeft[i] <= 0 {
			finish(&b.engines[i])
			done = true
		}
	}
	if done {
		b.rebuild()
	}
}

// runTurns runs the chat turns of a second.
func (b *rollBench) runTurns(now time.Duration) {
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
		b.count(now, id, b.indexOf[b.set.Member(order[0]).ID])
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
		b.coldTurns++
	}
}

func (b *rollBench) closeMinute() {
	if b.turns > 0 {
		b.result.worstWarmShare = min(b.result.worstWarmShare, float64(b.warm)/float64(b.turns))
	}
	b.turns = 0
	b.warm = 0
}

// A new version is rolled out to 40 engines while chats return. Changing all engines
// at once leaves no engine serving for minutes and makes every chat start cold at
// the same time. The rolling change must keep nine engines of ten serving, cause few
// cold turns beyond the one that a new version costs each chat in any case, and keep
// at least half of the turns of each minute warm.
func TestRollKeepsCapacityAndReuse(t *testing.T) {
	seeds := 3
	for _, tc := range []struct {
		name   string
		limits Limits
	}{
		{"all at once", Limits{Loads: benchEngines, RollShare: 1}},
		{"quarter, store unbounded", Limits{Loads: benchEngines, RollShare: 0.25}},
		{"tenth", Limits{Loads: MaxOpenLoads, RollShare: RollShare}},
		{"twentieth", Limits{Loads: MaxOpenLoads, RollShare: 0.05}},
		{"one at a time", Limits{Loads: 1, RollShare: 0}},
	} {
		sum := rollResult{leastServing: benchEngines, worstWarmShare: 1}
		for seed := range seeds {
			r := runRoll(uint64(seed+1), tc.limits)
			sum.leastServing = min(sum.leastServing, r.leastServing)
			sum.took = max(sum.took, r.took)
			sum.coldTurnsPerChat += r.coldTurnsPerChat / float64(seeds)
			sum.worstWarmShare = min(sum.worstWarmShare, r.worstWarmShare)
			sum.unserved += r.unserved
		}
		t.Logf("%-25s least serving %2d/%d, took %v, %.2f cold turns a chat, worst minute %.0f%% warm, unserved %d",
			tc.name, sum.leastServing, benchEngines, sum.took, sum.coldTurnsPerChat, 100*sum.worstWarmShare, sum.unserved)
		if tc.limits.RollShare == RollShare {
			assert.Assert(t, sum.leastServing >= benchEngines*9/10)
			assert.Assert(t, sum.coldTurnsPerChat <= 1.5)
			assert.Assert(t, sum.worstWarmShare >= 0.5)
			assert.Equal(t, sum.unserved, 0)
		}
	}
}
