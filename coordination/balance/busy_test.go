package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// failingImmediately simulates ten seconds of three busy upstreams, of which the first
// broken ones answer every request with an error as soon as it arrives. It returns the
// share of requests that fail.
func failingImmediately(b *Balancer, broken int) float64 {
	const (
		duration  = 300 * time.Millisecond
		perSecond = 200
		requests  = 10 * perSecond
	)
	type sentRequest struct {
		id   protocol.UpstreamID
		ends time.Duration
	}
	random := seeded()
	var inFlight []sentRequest
	failed := 0
	for i := range requests {
		at := now + time.Duration(i)*time.Second/perSecond
		for len(inFlight) > 0 && inFlight[0].ends <= at {
			b.Ended(at, inFlight[0].id, Served)
			inFlight = inFlight[1:]
		}
		choice := b.Pick(at, random, plain())
		b.Started(choice.ID)
		if choice.ID < protocol.UpstreamID(fmt.Sprintf("u%02d", broken)) {
			b.Ended(at, choice.ID, Failed)
			failed++
			continue
		}
		inFlight = append(inFlight, sentRequest{choice.ID, at + duration})
	}
	return float64(failed) / requests
}

func TestUpstreamThatFailsFastAttractsNoRequests(t *testing.T) {
	// Guards: an upstream that fails fast looks idle and attracts requests. One or two of
	// three busy upstreams begin to answer every request with an error within a
	// millisecond. Compared with those idle ones the others exceed the load bound, so
	// reliable finds no capacity on them: most requests and their retries would fail
	// though a working upstream is left.
	for name, settings := range map[string]Settings{
		"wide bound":   {Multiple: 2, Slack: 3},
		"narrow bound": {Multiple: 1.25, Slack: 2},
	} {
		for broken := 1; broken <= 2; broken++ {
			t.Run(fmt.Sprintf("%s, %d of 3 fail", name, broken), func(t *testing.T) {
				b := NewBalancer(settings)
				b.SetRoster(entries(3))
				share := failingImmediately(b, broken)
				assert.Assert(t, share <= 0.02, "%.3f failed", share)
			})
		}
	}
}

func TestARequestGoesWhereTheLoadIsBelowItsLimit(t *testing.T) {
	// Guards: a request waits at a cache holder without capacity. One engine holds a
	// prompt in demand and has as many requests as it can begin in time. Others have
	// capacity, and answer in time by copying the prompt.
	b := newBalancer(4)
	limited := prompt(5)
	limited.LoadLimit = 3
	holder := pickAnswered(b, now, seeded(), limited).ID
	for range 3 {
		b.Started(holder)
	}
	other := b.Pick(now, seeded(), limited)
	assert.Assert(t, other.ID != holder && other.ID != "")
	assert.Assert(t, other.CopyFrom != "")
}

func TestLastEngineWithCapacityIsNotOverloaded(t *testing.T) {
	// Guards: all routers send to the last engine with capacity. All engines but one have
	// as many requests as they can begin in time. Until the next reports all routers see
	// the same load there; if each sent its requests, the engine would far exceed the
	// load bound.
	b := newBalancer(4)
	limited := prompt(5)
	limited.LoadLimit = 3
	for _, id := range []protocol.UpstreamID{"u00", "u01", "u02"} {
		for range 3 {
			b.Started(id)
		}
	}
	assert.DeepEqual(t, b.Pick(now, seeded(), limited), Choice{Reason: ReasonNoCapacity, Limit: 3, Mean: 2.25})
	limited.LoadLimit = 0
	assert.Assert(t, b.Pick(now, seeded(), limited).ID != "", "it was sent before")
}
