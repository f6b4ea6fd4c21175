package membership

import "time"

// budget bounds the bytes sent. A burst of updates, or of probes while much of
// the fleet is unreachable, would otherwise delay the answers to callers. It is
// a token bucket that holds one second of the rate, so no second sends more
// than twice the rate, and the mean over longer times does not exceed it.
type budget struct {
	rate   float64
	tokens float64
	last   time.Duration
}

// class is the priority of a packet, the most useful first. Each class may use
// the bucket down to its reserve, so the least useful packets are shed first.
type class int

const (
	// classAck is for packets that keep a member from being suspected, such as
	// acks and nacks, and for a member's leave.
	classAck class = iota
	// classProbe is for packets that detect dead members.
	classProbe
	// classGossip is for packets that carry only rumours, for rumours on other
	// packets, and for requests of a list.
	classGossip
	// classList is for pages of the member list, which can wait.
	classList
	classes
)

// reserves are the shares of the bucket that a class leaves to the classes
// before it. A fifth of 3 KB pays for four acks, and a member sends fewer than
// one per tick.
var reserves = [classes]float64{classAck: 0, classProbe: 0.1, classGossip: 0.3, classList: 0.4}

func newBudget(bytesPerSecond int) budget {
	return budget{rate: float64(bytesPerSecond), tokens: float64(bytesPerSecond)}
}

func (b *budget) refill(now time.Duration) {
	b.tokens = min(b.rate, b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
}

// available returns the bytes that a class may send now.
func (b *budget) available(now time.Duration, of class) int {
	b.refill(now)
	return int(b.tokens - reserves[of]*b.rate)
}

// spend takes bytes that available allowed.
func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
