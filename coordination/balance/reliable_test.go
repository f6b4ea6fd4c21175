package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// faults returns the share of answers that an upstream loses, by its number.
type faults func(upstream int) float64

// lossyRun simulates ten seconds of a service, some of whose upstreams lose answers.
type lossyRun struct {
	upstreams int
	perSecond int
	// duration is how long a request is in flight.
	duration time.Duration
	prompt   bool
	faults   faults
}

type lossyResult struct {
	// noRetry counts the requests that may not be retried, and lost those of them that
	// were lost.
	noRetry, lost int
	// overBound counts the requests that exceeded the operators' load bound.
	overBound int
	// byUpstream counts all requests.
	byUpstream map[protocol.UpstreamID]int
}

func (run lossyRun) play(t *testing.T) lossyResult {
	t.Helper()
	b := newBalancer(run.upstreams)
	random := seeded()
	type sentRequest struct {
		id      protocol.UpstreamID
		ends    time.Duration
		noRetry bool
	}
	var inFlight []sentRequest
	result := lossyResult{byUpstream: map[protocol.UpstreamID]int{}}
	step := time.Second / time.Duration(run.perSecond)
	for at := now; at < now+10*time.Second; at += step {
		for len(inFlight) > 0 && inFlight[0].ends <= at {
			f := inFlight[0]
			inFlight = inFlight[1:]
			n := 0
			_, err := fmt.Sscanf(string(f.id), "u%d", &n)
			assert.NilError(t, err)
			outcome := Served
			if random.Float64() < run.faults(n) {
				outcome = Failed
				if f.noRetry {
					result.lost++
				}
			}
			b.Ended(at, f.id, outcome)
		}
		r := Request{Service: "s", NoRetry: random.IntN(5) < 2, HasPrompt: run.prompt, Prompt: uint64(random.IntN(200))}
		choice := b.Pick(at, random, r)
		b.Started(choice.ID)
		if load, _ := b.Load(choice.ID); float64(load) > 2*b.mean("s")+3 {
			result.overBound++
		}
		result.byUpstream[choice.ID]++
		if r.NoRetry {
			result.noRetry++
		}
		inFlight = append(inFlight, sentRequest{id: choice.ID, ends: at + run.duration, noRetry: r.NoRetry})
	}
	return result
}

func TestNonRetryableRequestsAvoidLossyUpstreams(t *testing.T) {
	// Guards: requests that can't be retried are lost on lossy upstreams though others
	// would answer them. Some engines lose part of their answers for seconds while their
	// health checks pass. The cases differ by a factor of ten in each figure.
	some := func(bad int, share float64) faults {
		return func(n int) float64 {
			if n < bad {
				return share
			}
			return 0
		}
	}
	for name, run := range map[string]lossyRun{
		"two of eighteen engines lose 3 in 10":     {upstreams: 18, perSecond: 140, duration: 300 * time.Millisecond, prompt: true, faults: some(2, 0.3)},
		"thirteen of eighteen":                     {upstreams: 18, perSecond: 140, duration: 300 * time.Millisecond, prompt: true, faults: some(13, 0.3)},
		"two of four desks lose 4 in 10":           {upstreams: 4, perSecond: 50, duration: 30 * time.Millisecond, faults: some(2, 0.4)},
		"a fifth of a hundred busy ones, 2 in 10":  {upstreams: 100, perSecond: 2000, duration: 400 * time.Millisecond, prompt: true, faults: some(20, 0.2)},
		"one of three slow ones, half":             {upstreams: 3, perSecond: 6, duration: 3 * time.Second, prompt: true, faults: some(1, 0.5)},
		"one of twelve, all, ten requests in each": {upstreams: 12, perSecond: 400, duration: 300 * time.Millisecond, faults: some(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			result := run.play(t)
			bad, sum := 0, 0.0
			for n := range run.upstreams {
				if run.faults(n) > 0 {
					bad++
				}
				sum += run.faults(n)
			}
			undetected := sum / float64(run.upstreams) * float64(result.noRetry)
			assert.Assert(t, float64(result.lost) <= 0.35*undetected, "%d of %d lost, %.0f without outlier detection", result.lost, result.noRetry, undetected)
			assert.Equal(t, result.overBound, 0)
			toBad := 0
			for n := range bad {
				toBad += result.byUpstream[protocol.UpstreamID(fmt.Sprintf("u%02d", n))]
			}
			assert.Assert(t, toBad > 0, "lossy upstreams still get requests that may be retried")
		})
	}
}

func TestUniformFailuresDoNotShiftLoad(t *testing.T) {
	// Guards: load moves because of random failures. A service answers one request in
	// seven with an error on every upstream; excluding the unlucky ones would only
	// overload the others.
	desk := func(share float64) map[protocol.UpstreamID]int {
		run := lossyRun{upstreams: 4, perSecond: 50, duration: 30 * time.Millisecond, faults: func(int) float64 { return share }}
		return run.play(t).byUpstream
	}
	healthy, failing := desk(0), desk(1.0/7)
	for id, n := range failing {
		assert.Assert(t, max(n-healthy[id], healthy[id]-n) <= 25, "%s got %d of 500 in place of %d", id, n, healthy[id])
	}
}

func TestRequestsAreSentWhenAllUpstreamsFail(t *testing.T) {
	// Guards: requests that can't be retried get no upstream when all upstreams lose
	// answers.
	b := newBalancer(3)
	for i := range 3 {
		id := protocol.UpstreamID(fmt.Sprintf("u%02d", i))
		for range 20 {
			b.Started(id)
			b.Ended(now, id, Failed)
		}
	}
	assert.Assert(t, b.Pick(now, seeded(), Request{Service: "s", NoRetry: true}).ID != "")
}

func TestLossyUpstreamIsAnOutlier(t *testing.T) {
	// Guards: a lossy upstream isn't detected, or stays an outlier after it has
	// recovered.
	b := newBalancer(3)
	for range 20 {
		for _, id := range []protocol.UpstreamID{"u00", "u01", "u02"} {
			b.Started(id)
			b.Ended(now, id, Served)
		}
	}
	assert.Assert(t, !b.IsOutlier(now, "u00"))
	for range 3 {
		b.Started("u00")
		b.Ended(now, "u00", Failed)
	}
	assert.Assert(t, b.IsOutlier(now, "u00"))
	assert.Assert(t, !b.IsOutlier(now, "u01"))
	assert.Assert(t, !b.IsOutlier(now+3*healthTimeConstant, "u00"), "it has recovered")
}
