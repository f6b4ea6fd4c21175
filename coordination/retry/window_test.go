package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetriesOfAllRoutersTogetherStayWithinTheBudget(t *testing.T) {
	// An upstream's loss fails requests on nine routers at once, while they
	// can't reach each other, and every failed request would like a retry. In
	// no ten seconds may they send more than the operator allows.
	settings := WindowSettings{Ratio: 0.2, Slack: 58, Length: 10 * time.Second}
	const routers = 9
	random := rand.New(rand.NewPCG(3, 3))
	var windows [routers]*Window
	for i := range windows {
		windows[i] = NewWindow(settings)
	}
	type moment struct {
		at    time.Duration
		retry bool
	}
	var happened []moment
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		rate := 1 + int(now/time.Second)%4
		for range rate {
			w := windows[random.IntN(routers)]
			w.Request(now)
			happened = append(happened, moment{now, false})
			for w.Retry(now, routers) {
				happened = append(happened, moment{now, true})
			}
		}
	}
	used := 0
	for end := 10 * time.Second; end <= 60*time.Second; end += 50 * time.Millisecond {
		requests, retries := 0, 0
		for _, m := range happened {
			if m.at > end-10*time.Second && m.at <= end {
				if m.retry {
					retries++
				} else {
					requests++
				}
			}
		}
		used = max(used, retries)
		assert.Assert(t, float64(retries) <= 0.2*float64(requests)+58, "%d retries of %d requests at %s", retries, requests, end)
	}
	assert.Assert(t, used > 58, "the budget is hardly used: %d", used)
}

func TestOldRequestsEarnNoRetries(t *testing.T) {
	// The credit of a busy minute must not be spent as a storm after it.
	w := NewWindow(WindowSettings{Ratio: 0.2, Slack: 0, Length: 10 * time.Second})
	for range 1000 {
		w.Request(0)
	}
	assert.Assert(t, w.Allowance(9*time.Second, 1) > 100)
	assert.Equal(t, w.Allowance(11*time.Second, 1), 0)
}
