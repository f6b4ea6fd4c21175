package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartedRouter is a router's budget whose clock starts with its process.
type restartedRouter struct {
	window  *Window
	started time.Duration
}

// arrivals are the requests of a service and their retries, by time.
type arrivals struct {
	requests, retries []time.Duration
}

// within returns how many of the times lie in the window that begins at a time.
func within(times []time.Duration, begin, length time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= begin && at < begin+length {
			count++
		}
	}
	return count
}

// worstWindow returns the largest number of retries in a window over what the settings allow. As
// operators count, the requests are those of the window, of the one before it, or of the one half a
// window before it.
func (a *arrivals) worstWindow(settings WindowSettings, end time.Duration) float64 {
	worst := -settings.Slack
	for begin := time.Duration(0); begin+settings.Length <= end; begin += 100 * time.Millisecond {
		requests := 0
		for _, earlier := range []time.Duration{0, settings.Length / 2, settings.Length} {
			requests = max(requests, within(a.requests, begin-earlier, settings.Length))
		}
		allowed := settings.Ratio*float64(requests) + settings.Slack
		worst = max(worst, float64(within(a.retries, begin, settings.Length))-allowed)
	}
	return worst
}

// Guards: routers that are killed again and again while all requests fail send the retries of their
// predecessors once more, beyond the budget of the fleet.
func TestRetriesOfRoutersKilledInSeriesStayWithinTheBudget(t *testing.T) {
	settings := WindowSettings{Ratio: 0.2, Slack: 58, Length: 10 * time.Second}
	for _, c := range []struct {
		name          string
		routers       int
		killed, every time.Duration
	}{
		{"half of nine, each 1.2 s", 9, 2, 1200 * time.Millisecond},
		{"all of nine, each 4 s", 9, 1, 4 * time.Second},
		{"all of nine, once a window", 9, 1, 10 * time.Second},
		{"half of ninety, each 3 s", 90, 2, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			routers := make([]restartedRouter, c.routers)
			for i := range routers {
				routers[i] = restartedRouter{window: NewWindow(settings), started: -time.Minute}
			}
			var seen arrivals
			const end, failing, killedFrom = 40 * time.Second, 12 * time.Second, 13 * time.Second
			nextKill := killedFrom
			for now := time.Duration(0); now < end; now += 5 * time.Millisecond {
				if now >= nextKill {
					nextKill += c.every
					for _, i := range random.Perm(c.routers)[:c.routers/int(c.killed)] {
						routers[i] = restartedRouter{window: NewWindow(settings), started: now}
					}
				}
				r := routers[random.IntN(c.routers)]
				r.window.RecordRequest(now - r.started)
				seen.requests = append(seen.requests, now)
				if now >= failing && r.window.TryRetry(now-r.started, c.routers) {
					seen.retries = append(seen.retries, now)
				}
			}
			worst := seen.worstWindow(settings, end)
			assert.Assert(t, worst <= 0, "%.0f retries beyond the budget, %d in all", worst, len(seen.retries))
		})
	}
}

// Guards: a router that starts again gets its allowance once more, so that routers which are killed
// in series retry without bound.
func TestBudgetsOfRoutersKilledInSeriesStayWithinTheShare(t *testing.T) {
	config := DefaultConfig()
	rng := source()
	const starts, perStart, tokens = 50, 20, 300
	firstAttempts, retries := 0, 0
	for range starts {
		budget := New(config)
		for i := range perStart {
			now := time.Duration(i) * 50 * time.Millisecond
			budget.RecordFirstAttempt(now, tokens)
			firstAttempts += tokens
			f := failure()
			f.Tokens = tokens
			if budget.Decide(now, rng, f).Retry {
				retries += tokens
			}
		}
	}
	allowed := config.Share*float64(firstAttempts) + config.Allowance
	assert.Assert(t, float64(retries) <= allowed, "%d tokens of retries for %d, allowed are %.0f", retries, firstAttempts, allowed)
}
