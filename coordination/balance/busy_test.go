package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// failingAtOnce plays ten seconds of three upstreams with much to do, the first of
// which begin to answer everything with an error at once. It returns the share of
// requests that fail.
func failingAtOnce(b *Book, broken int) float64 {
	const (
		last      = 300 * time.Millisecond
		perSecond = 200
		requests  = 10 * perSecond
	)
	type flying struct {
		id   protocol.UpstreamID
		ends time.Duration
	}
	random := seeded()
	var flights []flying
	failed := 0
	for i := range requests {
		at := now + time.Duration(i)*time.Second/perSecond
		for len(flights) > 0 && flights[0].ends <= at {
			b.Ended(at, flights[0].id, Served)
			flights = flights[1:]
		}
		made := b.Pick(at, random, plain())
		b.Started(made.ID)
		if made.ID < protocol.UpstreamID(fmt.Sprintf("u%02d", broken)) {
			b.Ended(at, made.ID, Failed)
			failed++
			continue
		}
		flights = append(flights, flying{made.ID, at + last})
	}
	return float64(failed) / requests
}

func TestAnUpstreamThatFailsAtOnceTakesNoWorkForBeingIdle(t *testing.T) {
	// Three upstreams have much to do when one or two of them begin to answer all
	// with an error within a millisecond. Beside those idle ones the others pass the
	// bound on load, so that reliable finds no room with them: most callers' requests
	// and their repeats would fail, though somebody is there who answers.
	for name, settings := range map[string]Settings{
		"wide bound":   {Multiple: 2, Slack: 3},
		"narrow bound": {Multiple: 1.25, Slack: 2},
	} {
		for broken := 1; broken <= 2; broken++ {
			t.Run(fmt.Sprintf("%s, %d of 3 fail", name, broken), func(t *testing.T) {
				b := NewBook(settings)
				b.SetRoster(entries(3))
				share := failingAtOnce(b, broken)
				assert.Assert(t, share <= 0.02, "%.3f failed", share)
			})
		}
	}
}

func TestARequestGoesWhereTheLoadIsBelowItsLimit(t *testing.T) {
	// One engine keeps a prompt that everybody asks for and has as many requests as
	// begin in time; others have room. The caller has its answer in time there, where
	// the prompt is copied to.
	b := newBook(4)
	limited := prompt(5)
	limited.Limit = 3
	keeper := pickAnswered(b, now, seeded(), limited).ID
	for range 3 {
		b.Started(keeper)
	}
	other := b.Pick(now, seeded(), limited)
	assert.Assert(t, other.ID != keeper && other.ID != "")
	assert.Assert(t, other.CopyFrom != "")
}

func TestTheLastEngineWithRoomIsNotFlooded(t *testing.T) {
	// All engines but one have as many requests as begin in time. All routers know the
	// same of that one until they hear of each other: if each sent it what it has, it
	// would have a multiple of the others' work, beyond the bound on load.
	b := newBook(4)
	limited := prompt(5)
	limited.Limit = 3
	for _, id := range []protocol.UpstreamID{"u00", "u01", "u02"} {
		for range 3 {
			b.Started(id)
		}
	}
	assert.DeepEqual(t, b.Pick(now, seeded(), limited), Choice{Reason: ReasonNoRoom, Limit: 3, Mean: 2.25})
	limited.Limit = 0
	assert.Assert(t, b.Pick(now, seeded(), limited).ID != "", "it was sent before")
}
