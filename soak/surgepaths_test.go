package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sliceLength is the length of the slices of time in which requests are counted. How many are
// served changes as a surge begins and ends.
const sliceLength = 250 * time.Millisecond

// servedSlice is a slice of time, as its number, for the callers of a router.
type servedSlice struct {
	callersOf
	number int64
}

// checkServedInSurge is checkServed for a time in which a surge began, ran or ended. It compares the
// routers in each slice of time: callers of one router may send all of their requests during the
// surge, and those of another most of theirs after it.
func (h *harness) checkServedInSurge(cut map[*process]bool, from, to time.Time) {
	h.count("lost paths in a surge judged")
	first, last := from.UnixNano()/int64(sliceLength), to.UnixNano()/int64(sliceLength)
	for _, path := range []string{"/once/", "/again/", "/chat/"} {
		slices := make([]slicePair, last-first+1)
		h.mu.Lock()
		for slice, counted := range h.servedIn {
			if slice.path != path || slice.number < first || slice.number > last {
				continue
			}
			pair := &slices[slice.number-first]
			if cut[slice.router] {
				pair.without.add(counted)
			} else {
				pair.with.add(counted)
			}
		}
		h.mu.Unlock()
		if sent, served, expected, fair := compareSlices(slices); !fair {
			h.violation("in a surge, routers without a path served %d of %d requests to %s, the others would have served %.0f", served, sent, path, expected)
		}
	}
}

// slicePair holds what routers without a path and the others served in the same slice of time.
type slicePair struct{ without, with served }

func (s *served) add(other served) {
	s.sent += other.sent
	s.served += other.served
}

// compareSlices returns how many requests the routers without a path got and served, and how many
// the others would have served of them, at their own rates at the same times. The bounds are those
// of checkServed.
func compareSlices(slices []slicePair) (sent, served int, expected float64, fair bool) {
	others := 0
	for _, pair := range slices {
		if pair.with.sent == 0 {
			continue
		}
		sent += pair.without.sent
		served += pair.without.served
		others += pair.with.sent
		expected += float64(pair.without.sent) * float64(pair.with.served) / float64(pair.with.sent)
	}
	fair = 3*float64(served) >= 2*expected || sent-served <= maxFailed+(sent+others)/failedDivisor
	return sent, served, expected, fair
}

// Guards: the check takes routers whose callers come at other times for unfair, or misses one that
// serves less than half as often at the same time.
func TestServedIsComparedAtTheSameTimes(t *testing.T) {
	for name, test := range map[string]struct {
		slices []slicePair
		fair   bool
	}{
		"alike in the surge, none after it":  {[]slicePair{{served{150, 15}, served{300, 30}}, {served{0, 0}, served{400, 400}}}, true},
		"half as often in the surge":         {[]slicePair{{served{150, 15}, served{300, 60}}, {served{100, 100}, served{400, 400}}}, true},
		"half as often, nearly all requests": {[]slicePair{{served{300, 30}, served{300, 60}}, {served{10, 10}, served{400, 400}}}, false},
		"not at all after the surge":         {[]slicePair{{served{20, 2}, served{300, 30}}, {served{100, 0}, served{400, 400}}}, false},
		"few failures, all of them there":    {[]slicePair{{served{10, 0}, served{300, 300}}}, true},
		"no others to compare with":          {[]slicePair{{served{100, 0}, served{0, 0}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, fair := compareSlices(test.slices)
			assert.Equal(t, fair, test.fair)
		})
	}
}
