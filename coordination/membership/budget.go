package membership

import "time"

// budget bounds the bytes sent. Load: a storm of news, or of probes while much
// of the fleet is unreachable. Harm prevented: control traffic that crowds out
// callers' answers. It is a token bucket that holds one second's worth, so no
// second sends more than twice the rate and the mean never exceeds it.
type budget struct {
	rate   float64
	tokens float64
	last   time.Duration
}

// class orders what is sent by usefulness. Each may use the bucket down to its
// reserve, so the less useful is shed first.
type class int

const (
	// classAnswer is what keeps a member from being suspected.
	classAnswer class = iota
	// classProbe is what finds the dead.
	classProbe
	// classNews is packets that carry only rumours, and rumours on others.
	classNews
	// classList is pieces of the membership's list, which can wait.
	classList
	classes
)

// reserves are the shares of the bucket that a class leaves to those before
// it. A fifth of 3 KB pays four answers; a tick brings fewer than one.
var reserves = [classes]float64{classAnswer: 0, classProbe: 0.1, classNews: 0.3, classList: 0.4}

func newBudget(bytesPerSecond int) budget {
	return budget{rate: float64(bytesPerSecond), tokens: float64(bytesPerSecond)}
}

func (b *budget) refill(now time.Duration) {
	b.tokens = min(b.rate, b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
}

// left returns the bytes that a class may send now.
func (b *budget) left(now time.Duration, of class) int {
	b.refill(now)
	return int(b.tokens - reserves[of]*b.rate)
}

// spend takes bytes that left allowed.
func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
