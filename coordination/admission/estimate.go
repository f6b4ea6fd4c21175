package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minRate is the lowest rate used as a divisor, in tokens per second. It keeps
// the estimated waits finite.
const minRate = 1.0

// ExpectedWait estimates how long a request would wait if it arrived now. It is
// the shorter of two waits:
//
//   - by share: the customer's own waiting work drains at its weight's share of
//     the capacity that the upstream leaves to waiting work, whatever the other
//     classes do;
//   - by order: all work that goes before it drains. The work of the more urgent
//     classes drains at the upstream's rate. The work of its own class drains at
//     the rate at which that class was served recently, because urgent requests
//     that have not arrived yet will go first as well.
func (q *Queue) ExpectedWait(now time.Duration, r Request) time.Duration {
	drain := q.drainRate.perSecond(now)
	rest := max(drain-q.directRate.perSecond(now), drain*q.classShare(r.Class), minRate)
	byShare := q.fairTokens(r) / rest
	byOrder := float64(q.urgentTokens(r.Class)) / rest
	byOrder += float64(q.classes[r.Class].tokens) / q.classRate(now, r.Class, rest)
	return durationOf(min(byShare, byOrder))
}

// fairTokens returns the tokens that start up to and including the request when
// all waiting customers are served by weight.
func (q *Queue) fairTokens(r Request) float64 {
	weight := r.Weight * q.config.ClassWeight[r.Class]
	own, total := 0, q.shares.weight
	f := q.shares.flows[flowKey{customer: r.Customer, class: r.Class}]
	if f != nil && f.backlogged() {
		own = f.tokens
	} else {
		total += weight
	}
	return float64(own+r.Tokens) * total / weight
}

// urgentTokens returns the tokens that wait in the classes more urgent than
// class.
func (q *Queue) urgentTokens(class Class) int {
	tokens := 0
	for i := range q.classes[:class] {
		tokens += q.classes[i].tokens
	}
	return tokens
}

// classRate returns the rate at which a class drains, in tokens per second.
func (q *Queue) classRate(now time.Duration, class Class, rest float64) float64 {
	measured := q.classes[class].rate.perSecond(now)
	return max(min(measured, rest), rest*q.classShare(class), minRate)
}

// classShare returns the share of the upstream that a class gets whatever the
// other classes do: its minimum share, or for class 0 the rest that the minimum
// shares leave.
func (q *Queue) classShare(class Class) float64 {
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
// same rules as ExpectedWait.
func (q *Queue) expectedPosition(r Request) int {
	count, tokens := 0, 0
	for i := range q.classes[:r.Class+1] {
		count += q.classes[i].count
		tokens += q.classes[i].tokens
	}
	if tokens == 0 {
		return 0
	}
	ahead := min(1, q.fairTokens(r)/float64(tokens))
	return int(math.Ceil(ahead * float64(count)))
}

// retryAfter returns the delay after which the caller should retry: the time by
// which the expected wait is too long, extended by up to half of it. The
// extension depends only on the request's ID; without it, all callers refused
// at the same time would come back at the same time.
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
