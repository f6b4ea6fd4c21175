package control

import "time"

// bulkBurst is how many bytes of tables and lists may be sent at once: one whole table.
const bulkBurst = 32 << 10

// tokenBucket limits the bytes that are sent over time.
//
// When a whole fleet of routers starts, each asks for a table of ten kilobytes, on a
// link of some hundred kilobytes a second that also carries consensus. Without a limit
// heartbeats and votes would wait behind tables, no leader would be elected, and callers
// and operators would wait for one.
type tokenBucket struct {
	perSecond float64
	// burst is how many bytes may be sent at once.
	burst float64
	// tokens is how many bytes could be sent at the time at. It is negative while the
	// bucket is overdrawn.
	tokens float64
	at     time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(perSecond, burst float64) tokenBucket {
	return tokenBucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// fill adds the tokens that have accrued since the last call.
func (b *tokenBucket) fill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.perSecond*(now-b.at).Seconds())
	b.at = now
}

// take reports whether n bytes may be sent now, and charges them if so. It may overdraw
// the bucket, so that a table larger than the burst gets through.
func (b *tokenBucket) take(now time.Duration, n int) bool {
	b.fill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// hasTokens reports whether anything may be sent now.
func (b *tokenBucket) hasTokens(now time.Duration) bool {
	b.fill(now)
	return b.tokens > 0
}

// charge charges n bytes that have been sent, whether there were tokens for them or not.
// The debt is at most one burst.
func (b *tokenBucket) charge(now time.Duration, n int) {
	b.fill(now)
	b.tokens = max(b.tokens-float64(n), -b.burst)
}

// takeWithoutDebt is like take, but never overdraws the bucket: it needs tokens for all
// n bytes.
func (b *tokenBucket) takeWithoutDebt(now time.Duration, n int) bool {
	b.fill(now)
	return b.tokens >= float64(n) && b.take(now, n)
}
