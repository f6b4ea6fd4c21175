// Package loadlimit learns the load up to which upstreams begin their answers in time, so
// that a router can refuse at once the requests that would only wait. A Limiter holds the
// load limit of one service, learned by a LatencyCurve, and the fair shares of its
// customers.
//
// It guards against overload: for ten or twenty seconds callers send twice what the
// engines can do, or a third of the engines is gone. An engine has a fixed number of
// slots for prompts, and requests beyond that wait in its queue. Without a limit the
// queues grow until every caller waits longer than its deadline, the engines work for
// callers that have left, and hardly any request is answered in time although the engines
// are fully busy.
//
// The limit is the load that best separates timely answers from late ones: below it most
// began in time, from it on most didn't. The sizes of engines, queues and prompts need
// not be known. Where answers are late at any load, as on upstreams that are slow by
// themselves, load isn't the cause, refusing requests wouldn't make the others quicker,
// and there is no limit.
package loadlimit

import (
	"math"
	"time"
)

const (
	// timeConstant is the time constant with which answers decay: long enough that a
	// limit holds through a surge, short enough that upstreams with more capacity than
	// before get more requests within a minute.
	timeConstant = 20 * time.Second
	// minLate is how many late answers, weighted by age, it takes to set a limit: a few
	// are late at any load, because of prompts that aren't cached and lost connections.
	minLate = 8
	// minTimelyShare is the share of answers at up to half of a limit that must be timely
	// for load to be the cause of the others' lateness.
	minTimelyShare = 0.8
	// classesPerDoubling is the number of load classes from one load to its double.
	classesPerDoubling = 4
	// raiseInterval is the time without late answers after which a limit is raised by one
	// class, so that it doubles within one timeConstant. If the limit were lifted at
	// once, upstreams whose requests take seconds would be flooded repeatedly during a
	// surge.
	raiseInterval = timeConstant / classesPerDoubling
	// classCount is the number of load classes; higher loads belong to the last one.
	classCount = 12*classesPerDoubling + 1
)

// Unlimited is the limit of a service for which no limit is known.
const Unlimited = math.MaxInt

// LatencyCurve counts the timely and late answers of one service at each load. It is not
// safe for concurrent use.
type LatencyCurve struct {
	updatedAt    time.Duration
	timely, late [classCount]float64
	// limitClass is the load class of the limit, 0 if there is none; limitedAt is when
	// late answers last confirmed the limit, or when it was last raised.
	limitClass int
	limitedAt  time.Duration
}

// Record counts an answer of an upstream that had a given load; timely says whether it
// began in time.
func (c *LatencyCurve) Record(now time.Duration, load int, timely bool) {
	c.decay(now)
	class := classOf(load)
	if timely {
		c.timely[class]++
	} else {
		c.late[class]++
	}
}

// Limit returns the lowest load at which an answer isn't expected in time, Unlimited if
// there is none.
func (c *LatencyCurve) Limit(now time.Duration) int {
	c.decay(now)
	limitClass := c.bestSplit()
	switch {
	case c.slowAtLowLoad(limitClass):
		c.limitClass = 0
	case c.lateFrom(limitClass) >= minLate:
		c.limitClass, c.limitedAt = limitClass, now
	case c.limitClass > 0 && now-c.limitedAt >= raiseInterval:
		c.limitClass, c.limitedAt = c.limitClass+1, now
	}
	if c.limitClass == 0 || c.limitClass >= classCount {
		return Unlimited
	}
	return minLoadOf(c.limitClass)
}

// bestSplit returns the load class that maximises the number of timely answers minus the
// number of late ones below it. It returns classCount if there are never more timely than
// late answers below a class.
func (c *LatencyCurve) bestSplit() int {
	best, excess, maxExcess := classCount, 0.0, 0.0
	for class := range classCount {
		excess += c.timely[class] - c.late[class]
		if excess > maxExcess {
			best, maxExcess = class+1, excess
		}
	}
	return best
}

// lateFrom returns how many answers were late from a load class on.
func (c *LatencyCurve) lateFrom(limitClass int) float64 {
	late := 0.0
	for class := limitClass; class < classCount; class++ {
		late += c.late[class]
	}
	return late
}

// slowAtLowLoad reports whether answers are late even at up to half the load of a class.
func (c *LatencyCurve) slowAtLowLoad(limitClass int) bool {
	timely, late := 0.0, 0.0
	for class := range max(limitClass-classesPerDoubling, 0) {
		timely += c.timely[class]
		late += c.late[class]
	}
	return timely < minTimelyShare*(timely+late)
}

// decay reduces the weight of answers by their age.
func (c *LatencyCurve) decay(now time.Duration) {
	if now <= c.updatedAt {
		return
	}
	keep := math.Exp(-float64(now-c.updatedAt) / float64(timeConstant))
	for class := range classCount {
		c.timely[class] *= keep
		c.late[class] *= keep
	}
	c.updatedAt = now
}

// classOf returns the class of a load.
func classOf(load int) int {
	class := int(classesPerDoubling * math.Log2(float64(max(load, 1))))
	return min(class, classCount-1)
}

// minLoadOf returns the lowest load of a class.
func minLoadOf(class int) int {
	return int(math.Ceil(math.Exp2(float64(class) / classesPerDoubling)))
}
