package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// recovery simulates a service whose upstreams all fail for a while, and then serve again.
type recovery struct {
	upstreams, perSecond int
	// failing is how long all upstreams fail, and stillFail how many of them go on failing.
	failing   time.Duration
	stillFail int
	prompt    bool
}

// play returns how many requests each upstream got, and how many of all failed, between two times after
// the recovery.
func (run recovery) play(t *testing.T, from, to time.Duration) (sent map[protocol.UpstreamID]int, failed int) {
	b, random := newBalancer(run.upstreams), rand.New(rand.NewPCG(3, 4))
	recovered := now + run.failing
	t.Helper()
	type request struct {
		id   protocol.UpstreamID
		ends time.Duration
	}
	var inFlight []request
	sent = map[protocol.UpstreamID]int{}
	for at := now; at < recovered+to; at += time.Second / time.Duration(run.perSecond) {
		for len(inFlight) > 0 && inFlight[0].ends <= at {
			ended := inFlight[0]
			inFlight = inFlight[1:]
			result := Served
			if ended.ends < recovered || ended.id < protocol.UpstreamID(fmt.Sprintf("u%02d", run.stillFail)) {
				result = Failed
			}
			b.Ended(ended.ends, ended.id, result)
			if ended.ends >= recovered+from && result == Failed {
				failed++
			}
		}
		r := plain()
		if run.prompt {
			r = prompt(uint64(random.IntN(200)))
		}
		choice := b.Pick(at, random, r)
		assert.Assert(t, choice.ID != "")
		b.Started(choice.ID)
		if at >= recovered+from {
			sent[choice.ID]++
		}
		inFlight = append(inFlight, request{choice.ID, at + 100*time.Millisecond})
	}
	return sent, failed
}

func TestUpstreamsThatAllFailedAreAllUsedAgain(t *testing.T) {
	// Guards: all upstreams fail for a while, the first ones that serve again get all requests, and the
	// others none for as long as their failures count.
	for _, run := range []recovery{
		{upstreams: 18, perSecond: 140, failing: 12 * time.Second},
		{upstreams: 18, perSecond: 140, failing: 12 * time.Second, prompt: true},
		{upstreams: 18, perSecond: 800, failing: 12 * time.Second, prompt: true},
		{upstreams: 4, perSecond: 200, failing: 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d upstreams, %d requests a second, prompts %t", run.upstreams, run.perSecond, run.prompt), func(t *testing.T) {
			sent, _ := run.play(t, time.Second, 4*time.Second)
			assert.Equal(t, len(sent), run.upstreams)
			all, most := 0, 0
			for _, count := range sent {
				all += count
				most = max(most, count)
			}
			assert.Check(t, most*run.upstreams <= 2*all, "one of %d got %d of %d requests", run.upstreams, most, all)
		})
	}
}

func TestUpstreamsThatGoOnFailingAreStillAvoided(t *testing.T) {
	// Guards: after all upstreams failed for a while, some of them go on failing, and lose more of the
	// requests than upstreams that fail while the others never did.
	alone := recovery{upstreams: 18, perSecond: 140, stillFail: 9}
	together := alone
	together.failing = 12 * time.Second
	_, expected := alone.play(t, time.Second, 4*time.Second)
	_, failed := together.play(t, time.Second, 4*time.Second)
	assert.Check(t, expected > 0, "the run shows nothing: no request failed")
	assert.Check(t, 4*failed <= 5*expected, "%d requests failed, %d if the others never failed", failed, expected)
}

func TestOneUpstreamThatFailsIsNoCommonFailure(t *testing.T) {
	// Guards: requests that only a failing upstream may take have it tried again at once, by all others.
	b := newBalancer(6)
	for range 20 {
		b.RecordResult(now, "u00", Failed)
	}
	only := plain()
	only.Admits = func(id protocol.UpstreamID) bool { return id == "u00" }
	assert.Equal(t, b.Pick(now, seeded(), only).Reason, ReasonLastResort)
	b.RecordResult(now, "u01", Served)
	for range 100 {
		assert.Assert(t, b.Pick(now, seeded(), plain()).ID != "u00")
	}
}
