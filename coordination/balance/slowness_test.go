package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// playChoices sends plain requests and prompts from one of several routers to a dozen upstreams and
// returns the choices.
func playChoices(bySpeed bool, slowness func(protocol.UpstreamID) float64) []Choice {
	b := NewBalancer(Settings{Multiple: 2, Slack: 3, DataCentre: "dc1", BySpeed: bySpeed})
	b.SetRoster(entries(12))
	random := rand.New(rand.NewPCG(3, 4))
	var choices []Choice
	for i := range 2_000 {
		at := now + time.Duration(i)*5*time.Millisecond
		if i%20 == 0 {
			load := UpstreamLoad{ID: ShortIDOf(entries(12)[random.IntN(12)].ID), InFlight: random.IntN(8), Served: uint64(i)}
			b.ApplyLoadReport(at, "other", LoadReport{Upstreams: []UpstreamLoad{load}})
		}
		request := plain()
		if i%3 == 0 {
			request = prompt(uint64(random.IntN(40)))
		}
		request.Slowness = slowness
		choice := b.Pick(at, random, request)
		b.Started(choice.ID)
		choices = append(choices, choice)
		if i > 20 {
			b.Ended(at, choices[i-20].ID, Served)
		}
	}
	return choices
}

func TestWithoutTheSettingSpeedsChangeNothing(t *testing.T) {
	// Guards: reported speeds change the choice of a fleet that hasn't switched that on, or equal
	// speeds change it where it is switched on.
	uneven := func(id protocol.UpstreamID) float64 { return 1 + float64(len(id)+int(id[len(id)-1]))/7 }
	even := func(protocol.UpstreamID) float64 { return 1 }
	without := playChoices(false, nil)
	assert.DeepEqual(t, playChoices(false, uneven), without)
	assert.DeepEqual(t, playChoices(true, nil), without)
	assert.DeepEqual(t, playChoices(true, even), without)
	changed := 0
	for i, choice := range playChoices(true, uneven) {
		if choice.ID != without[i].ID {
			changed++
		}
	}
	assert.Assert(t, changed > 0, "the inputs show nothing")
}

func TestSpeedsOfAnyValueAreBounded(t *testing.T) {
	// Guards: an upstream that is said to take no time, or for ever, gets all requests or none.
	b := NewBalancer(Settings{Multiple: 2, Slack: 3, BySpeed: true})
	b.SetRoster(entries(4))
	for _, factor := range []float64{0, -1, 1e300} {
		request := plain()
		request.Slowness = func(id protocol.UpstreamID) float64 {
			if id == "u00" {
				return factor
			}
			return 1
		}
		random, got := seeded(), 0
		for range 4_000 {
			if b.Pick(now, random, request).ID == "u00" {
				got++
			}
		}
		assert.Assert(t, got > 0 && got < 3_000, "%v: %d of 4,000", factor, got)
	}
}
