// Package room learns up to which load upstreams begin their answers in time, so that
// a router can refuse at once what would only wait.
//
// Load: callers send for ten or twenty seconds twice what the engines can do, or
// a third of the engines is gone. An engine has some places for prompts, the others
// wait in its queue, and a request that is sent there waits behind them. Harm
// prevented: the queues grow until every caller waits longer than it wants to, the
// engines work for callers who have gone, and next to nobody is answered in time
// though the engines are as busy as can be.
//
// The limit is the load that best tells answers in time from late ones: below it most
// began in time, from it on most didn't. No size of engine, queue or prompt is known
// beforehand. Where answers are late at any load, as on upstreams that are slow by
// themselves, load isn't the cause, refusing wouldn't make them quicker, and there is
// no limit.
package room

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which answers are forgotten: long enough that
	// a limit holds through a surge, short enough that upstreams that can do more
	// than before are given more within a minute.
	memory = 20 * time.Second
	// leastLate is how many late answers, weighed by age, make a limit: a few are
	// late at any load, for prompts that are read anew and lost connections.
	leastLate = 8
	// timelyAtHalf is the share of answers at up to half of a limit that have to be in
	// time for load to be the cause of the others' lateness.
	timelyAtHalf = 0.8
	// perDoubling is how many classes of load there are from one load to its double.
	perDoubling = 4
	// openEvery is after how long without late answers a limit is raised by a class,
	// so that it doubles within a memory. Opened at once, upstreams whose requests
	// take seconds would be flooded again and again in a surge.
	openEvery = memory / perDoubling
	// classes is how many there are; loads above the last belong to it.
	classes = 12*perDoubling + 1
)

// Unlimited is the limit of a service of which no limit is known.
const Unlimited = math.MaxInt

// Curve is what one service's answers were like at each load. It is not safe for
// concurrent use.
type Curve struct {
	at           time.Duration
	timely, late [classes]float64
	// limit is the class of load of the limit, 0 if there is none; limitedAt is when
	// late answers last bore it out, or it was last raised.
	limit     int
	limitedAt time.Duration
}

// Note takes whether the answer of an upstream that had a load began in time.
func (c *Curve) Note(now time.Duration, load int, timely bool) {
	c.forget(now)
	class := classOf(load)
	if timely {
		c.timely[class]++
	} else {
		c.late[class]++
	}
}

// Limit returns the least load at which an answer isn't to be expected in time,
// Unlimited if there is none.
func (c *Curve) Limit(now time.Duration) int {
	c.forget(now)
	limit := c.split()
	switch {
	case c.slowAnyway(limit):
		c.limit = 0
	case c.lateFrom(limit) >= leastLate:
		c.limit, c.limitedAt = limit, now
	case c.limit > 0 && now-c.limitedAt >= openEvery:
		c.limit, c.limitedAt = c.limit+1, now
	}
	if c.limit == 0 || c.limit >= classes {
		return Unlimited
	}
	return leastOf(c.limit)
}

// split returns the class of load that leaves as many answers in time below it, and as
// many late ones from it on, as can be.
func (c *Curve) split() int {
	best, excess, most := classes, 0.0, 0.0
	for class := range classes {
		excess += c.timely[class] - c.late[class]
		if excess > most {
			best, most = class+1, excess
		}
	}
	return best
}

// lateFrom returns how many answers were late from a class of load on.
func (c *Curve) lateFrom(limit int) float64 {
	late := 0.0
	for class := limit; class < classes; class++ {
		late += c.late[class]
	}
	return late
}

// slowAnyway reports whether answers are late at up to half of a class of load too.
func (c *Curve) slowAnyway(limit int) bool {
	timely, late := 0.0, 0.0
	for class := range max(limit-perDoubling, 0) {
		timely += c.timely[class]
		late += c.late[class]
	}
	return timely < timelyAtHalf*(timely+late)
}

// forget weighs what is known by its age.
func (c *Curve) forget(now time.Duration) {
	if now <= c.at {
		return
	}
	keep := math.Exp(-float64(now-c.at) / float64(memory))
	for class := range classes {
		c.timely[class] *= keep
		c.late[class] *= keep
	}
	c.at = now
}

// classOf returns the class of a load.
func classOf(load int) int {
	class := int(perDoubling * math.Log2(float64(max(load, 1))))
	return min(class, classes-1)
}

// leastOf returns the least load of a class.
func leastOf(class int) int {
	return int(math.Ceil(math.Exp2(float64(class) / perDoubling)))
}
