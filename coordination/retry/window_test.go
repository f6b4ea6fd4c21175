package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetriesOfAllRoutersTogetherStayWithinTheBudget(t *testing.T) {
	// The loss of an upstream fails requests on nine routers at once, while these
	// can't reach each other, and every failed request asks for a retry. In no ten
	// seconds may they send more retries than the operator allows.
	settings := WindowSettings{Ratio: 0.2, Slack: 58, Length: 10 * time.Second}
	const routers = 9
	random := rand.New(rand.NewPCG(3, 3))
	var windows [routers]*Window
	for i := range windows {
		windows[i] = NewWindow(settings)
	}
	type event struct {
		at    time.Duration
		retry bool
	}
	var events []event
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		rate := 1 + int(now/time.Second)%4
		for range rate {
			w := windows[random.IntN(routers)]
			w.RecordRequest(now)
			events = append(events, event{now, false})
			for w.TryRetry(now, routers) {
				events = append(events, event{now, true})
			}
		}
	}
	mostRetries := 0
	for end := 10 * time.Second; end <= 60*time.Second; end += 50 * time.Millisecond {
		requests, retries := 0, 0
		for _, e := range events {
			if e.at > end-10*time.Second && e.at <= end {
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
		}
		mostRetries = max(mostRetries, retries)
		assert.Assert(t, float64(retries) <= 0.2*float64(requests)+58, "%d retries of %d requests at %s", retries, requests, end)
	}
	assert.Assert(t, mostRetries > 58, "the budget is hardly used: %d retries", mostRetries)
}

func TestOldRequestsEarnNoRetries(t *testing.T) {
	// If requests of a busy minute still counted after it, they would allow a retry
	// storm.
	w := NewWindow(WindowSettings{Ratio: 0.2, Slack: 0, Length: 10 * time.Second})
	const busy = time.Minute
	for range 1000 {
		w.RecordRequest(busy)
	}
	assert.Assert(t, w.Allowance(busy+9*time.Second, 1) > 100)
	assert.Equal(t, w.Allowance(busy+11*time.Second, 1), 0)
}

// Guards: retries leave the window up to one step too early, so that two bursts less than a window
// apart get a budget each.
func TestTwoBurstsWithinAWindowShareOneBudget(t *testing.T) {
	settings := WindowSettings{Ratio: 0.2, Slack: 58, Length: 10 * time.Second}
	step := settings.Length / windowSteps
	for _, offset := range []time.Duration{0, step / 2, step - time.Millisecond} {
		w := NewWindow(settings)
		requests, retries := 0, 0
		burst := func(at time.Duration) {
			for range 100 {
				w.RecordRequest(at)
				requests++
			}
			for w.TryRetry(at, 1) {
				retries++
			}
		}
		first := 2*settings.Length + offset
		burst(first)
		burst(first + settings.Length - time.Millisecond)
		allowed := settings.Ratio*float64(requests) + settings.Slack
		assert.Assert(t, float64(retries) <= allowed, "%d retries where %.0f are allowed, at %s into a step", retries, allowed, offset)
	}
}
