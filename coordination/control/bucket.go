package control

import "time"

// bulkBurst is how many bytes of tables and lists may go at once: one whole
// table.
const bulkBurst = 32 << 10

// bucket bounds the bytes that go out over time.
//
// Load: a whole fleet of routers starts and each asks for a table of ten
// kilobytes, on a link of some hundred kilobytes a second that also carries
// consensus. Harm prevented: heartbeats and votes wait behind tables, no leader
// is elected, and callers and operators wait for one.
type bucket struct {
	perSecond float64
	// burst is how many may go at once.
	burst  float64
	tokens float64
	at     time.Duration
}

// newBucket returns a full bucket.
func newBucket(perSecond, burst float64) bucket {
	return bucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// fill adds what time has brought.
func (b *bucket) fill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.perSecond*(now-b.at).Seconds())
	b.at = now
}

// take reports whether n bytes may go now, and counts them. The last ones may
// overdraw the bucket, so that a table larger than the burst gets through.
func (b *bucket) take(now time.Duration, n int) bool {
	b.fill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// hasRoom reports whether anything may go now.
func (b *bucket) hasRoom(now time.Duration) bool {
	b.fill(now)
	return b.tokens > 0
}

// spend counts n bytes that have gone, whether there was room or not, with a debt of
// at most one burst.
func (b *bucket) spend(now time.Duration, n int) {
	b.fill(now)
	b.tokens = max(b.tokens-float64(n), -b.burst)
}

// takeWhole is take without overdraft: all n bytes have room or none go.
func (b *bucket) takeWhole(now time.Duration, n int) bool {
	b.fill(now)
	return b.tokens >= float64(n) && b.take(now, n)
}
