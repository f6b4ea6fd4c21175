package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minRate keeps estimates finite, in tokens per second.
const minRate = 1.0

// ExpectedWait estimates how long a request would wait if it came now.
//
// Tokens that start before it are all those of more urgent classes and, in its
// own class, what fair sharing lets through before this customer's backlog and
// the request itself are served: each other customer gets at most its weight's
// share of that time, and at most all it has waiting. The first part drains at
// the upstream's measured rate. The second drains at the rate at which the
// class was lately served, because urgent requests that are still to come
// will go first as well, but never below its minimum share.
func (q *Queue) ExpectedWait(now time.Duration, r Request) time.Duration {
	total := max(q.drain.perSecond(now), minRate)
	urgent := 0
	for class := Class(0); class < r.Class; class++ {
		urgent += q.classes[class].tokens
	}
	seconds := float64(urgent) / total
	seconds += q.tokensAhead(r) / q.classRate(now, r.Class, total)
	return durationOf(seconds)
}

// tokensAhead is the work of the same class that starts before the request.
func (q *Queue) tokensAhead(r Request) float64 {
	c := &q.classes[r.Class]
	own, active := 0, c.weight
	if f := c.flows[r.Customer]; f != nil && f.at != unplaced {
		own = f.tokens
	} else {
		active += r.Weight
	}
	fair := float64(own+r.Tokens) * active / r.Weight
	return min(float64(c.tokens), fair)
}

// classRate is the rate at which a class drains, in tokens per second.
func (q *Queue) classRate(now time.Duration, class Class, total float64) float64 {
	least := total * q.guaranteed(class)
	measured := q.classes[class].rate.perSecond(now)
	return max(min(measured, total), least, minRate)
}

// guaranteed is the share of the upstream that a class gets whatever the other
// classes do: its minimum share, or for class 0 all but the others' shares.
func (q *Queue) guaranteed(class Class) float64 {
	if class > 0 {
		return q.config.MinShare[class]
	}
	share := 1.0
	for _, other := range q.config.MinShare[1:] {
		share -= other
	}
	return share
}

// expectedPosition estimates how many requests start before a new one, by the
// same rule as ExpectedWait.
func (q *Queue) expectedPosition(r Request) int {
	position := 0
	for class := Class(0); class < r.Class; class++ {
		position += q.classes[class].count
	}
	c := &q.classes[r.Class]
	if c.tokens == 0 {
		return position
	}
	ahead := q.tokensAhead(r) / float64(c.tokens)
	return position + int(math.Ceil(ahead*float64(c.count)))
}

// retryAfter is how long the caller should stay away: the time by which the
// wait is too long, spread by up to half as much again. The spread depends only
// on the request's ID; without it all callers refused in one moment would come
// back in one moment.
func (q *Queue) retryAfter(r Request, excess time.Duration) time.Duration {
	const spreadShare = 0.5
	base := max(excess, q.config.MinRetryAfter)
	part := float64(xxhash.Sum64String(string(r.ID))>>11) / (1 << 53)
	spread := time.Duration(spreadShare * part * float64(base))
	return min(base+spread, q.config.MaxRetryAfter)
}

func durationOf(seconds float64) time.Duration {
	const longest = 24 * time.Hour
	if seconds >= longest.Seconds() {
		return longest
	}
	return time.Duration(seconds * float64(time.Second))
}
