package balance

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

func TestEvacuatedDataCentreGetsNoRequest(t *testing.T) {
	// Guards: a request reaches a data centre that is being emptied, for its prompt is
	// cached there, or as the last resort because all others fail.
	b := newBalancer(9)
	random := seeded()
	for key := range uint64(50) {
		b.Pick(now, random, prompt(key))
	}
	b.SetEvacuated([]protocol.DataCentre{"dc1"})
	for key := range uint64(50) {
		for _, r := range []Request{plain(), prompt(key)} {
			choice := b.Pick(now, random, r)
			e, _ := b.Entry(choice.ID)
			assert.Assert(t, choice.ID != "" && e.DataCentre != "dc1", "%s", choice.ID)
			assert.Equal(t, choice.Evacuated, 3)
		}
	}
	for _, e := range entries(9) {
		if e.DataCentre != "dc1" {
			b.Started(e.ID)
			b.Ended(now, e.ID, Unreachable)
		}
	}
	choice := b.Pick(now, random, plain())
	e, _ := b.Entry(choice.ID)
	assert.Equal(t, choice.Reason, ReasonLastResort)
	assert.Assert(t, e.DataCentre != "dc1")
}

func TestAllDataCentresEvacuatedLeavesNoUpstream(t *testing.T) {
	b := newBalancer(9)
	b.SetEvacuated([]protocol.DataCentre{"dc0", "dc1", "dc2"})
	choice := b.Pick(now, seeded(), plain())
	assert.Equal(t, choice.ID, protocol.UpstreamID(""))
	assert.Equal(t, choice.Reason, ReasonEvacuated)
	b.SetEvacuated(nil)
	assert.Assert(t, b.Pick(now, seeded(), plain()).ID != "")
}

func TestPromptsAreCopiedFromEvacuatedDataCentre(t *testing.T) {
	// Guards: a third of the engines is evacuated and every prompt cached there is
	// prefilled again, although those engines still hold it.
	b := newBalancer(9)
	random := seeded()
	b.SetEvacuated([]protocol.DataCentre{"dc0", "dc2"})
	holder := b.Pick(now, random, prompt(7))
	b.ConfirmCached(now, holder.ID, 7, nil)
	b.SetEvacuated([]protocol.DataCentre{"dc1"})
	choice := b.Pick(now, random, prompt(7))
	assert.Equal(t, choice.CopyFrom, holder.Address)
}

func TestRoutersWithTheSameViewSpreadAHotPromptOverItsHolders(t *testing.T) {
	// Guards: all routers know the same loads, as of the last reports, and send a prompt
	// that is in demand to the engine that had the least. Pattern: 62 routers with a
	// request each between two reports, four holders, one of which has two requests less
	// than the others.
	perEngine := map[protocol.UpstreamID]int{}
	for router := range 62 {
		b := newBalancer(9)
		for i, u := range b.pools["s"].all {
			u.changeLoad(0, 10)
			if i < 4 {
				b.cacheHolders.addAnnounced(now, 7, u)
			}
		}
		b.pools["s"].all[0].changeLoad(0, -2)
		perEngine[b.Pick(now, rand.New(rand.NewPCG(uint64(router), 1)), prompt(7)).ID]++
	}
	assert.Equal(t, len(perEngine), 4)
	for id, n := range perEngine {
		assert.Assert(t, n <= 62/2, "%s got %d of 62", id, n)
	}
}

func TestPromptInDemandGetsMoreThanOneNextHolder(t *testing.T) {
	// Guards: all holders of a prompt are beyond the bound, and all routers send it to the
	// same next engine until its load is known.
	perEngine := map[protocol.UpstreamID]int{}
	for router := range 62 {
		b := newBalancer(9)
		for i, u := range b.pools["s"].all {
			if i < 2 {
				b.cacheHolders.addAnnounced(now, 7, u)
				u.changeLoad(0, 100)
			}
		}
		choice := b.Pick(now, rand.New(rand.NewPCG(uint64(router), 1)), prompt(7))
		assert.Equal(t, choice.Reason, ReasonRendezvous)
		perEngine[choice.ID]++
	}
	assert.Equal(t, len(perEngine), 2)
}

// boundFor returns the load bound for the candidates of a request.
func boundFor(b *Balancer, r Request) float64 {
	found := b.usable(now, r)
	return b.boundFor(b.mean(r.Service), &found)
}

func TestLoadBoundIsLowerWhileADataCentreIsEvacuated(t *testing.T) {
	// Guards: a third of the engines takes nothing, and the others exceed the operators'
	// load bound, which is by the mean of all, with requests that other routers don't
	// know of yet.
	b := newBalancer(9)
	for _, e := range entries(9) {
		for range 9 {
			if e.DataCentre != "dc1" {
				b.Started(e.ID)
			}
		}
	}
	mean := b.mean("s")
	assert.Equal(t, mean, 6.0)
	assert.Equal(t, boundFor(b, plain()), 14.0)
	b.SetEvacuated([]protocol.DataCentre{"dc1"})
	assert.Equal(t, boundFor(b, plain()), 10.0)
	b.SetEvacuated(nil)
	oneCold := plain()
	oneCold.Admits = func(id protocol.UpstreamID) bool { return id != "u00" }
	assert.Assert(t, boundFor(b, oneCold) > 13, "one cold engine of nine changes little")
}

func TestLoadBoundHoldsWhileTwoOfThreeDataCentresAreEvacuated(t *testing.T) {
	// Guards: the engines that are left get the requests of all and exceed the operators'
	// load bound. Pattern: ten routers' requests in turn, none of which ends.
	b := newBalancer(9)
	b.SetEvacuated([]protocol.DataCentre{"dc0", "dc1"})
	refused := 0
	for key := range uint64(200) {
		choice := b.Pick(now, seeded(), prompt(key))
		if choice.ID == "" {
			assert.Equal(t, choice.Reason, ReasonNoCapacity)
			refused++
			continue
		}
		assert.Assert(t, float64(choice.Load) <= 2*choice.Mean+3, "load %d, mean %.1f", choice.Load, choice.Mean)
		b.Started(choice.ID)
	}
	assert.Assert(t, refused > 0 && refused < 200)
	retried := prompt(1)
	retried.Tried = []protocol.UpstreamID{"u02"}
	assert.Assert(t, b.Pick(now, seeded(), retried).ID != "", "work that was done for a request isn't lost")
}

func TestColdUpstreamThatTookEnoughIsPassedOver(t *testing.T) {
	// Guards: the prompt that belongs to a cold engine is sent there although the engine
	// takes no more requests now.
	b := newBalancer(9)
	first := b.Pick(now, seeded(), prompt(7)).ID
	r := prompt(7)
	r.Admits = func(id protocol.UpstreamID) bool { return id != first }
	choice := b.Pick(now, seeded(), r)
	assert.Assert(t, choice.ID != first && choice.ID != "")
	assert.Equal(t, choice.Cold, 1)
	r.Admits = func(protocol.UpstreamID) bool { return false }
	assert.Equal(t, b.Pick(now, seeded(), r).Reason, ReasonCold)
}

func TestUpstreamThatBecameColdHoldsNoPromptAnyMore(t *testing.T) {
	// Guards: a prompt waits at a cold engine that no longer has it cached, and no copy is
	// made because the engine counts as its holder.
	b := newBalancer(3)
	first := b.Pick(now, seeded(), prompt(7))
	b.ConfirmCached(now, first.ID, 7, nil)
	assert.Equal(t, b.Pick(now, seeded(), prompt(7)).Reason, ReasonCacheHolder)
	changed := entries(3)
	for i := range changed {
		changed[i].ColdCount = 4
	}
	assert.Equal(t, len(b.SetRoster(changed)), 3)
	assert.Equal(t, b.Pick(now, seeded(), prompt(7)).Reason, ReasonRendezvous)
}
