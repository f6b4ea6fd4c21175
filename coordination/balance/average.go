package balance

import (
	"math"
	"time"
)

// averageIntervals is the time constant of the moving average of the other routers' load,
// in report intervals. With fewer, requests follow the noise of single reports; with more
// the distribution gets no better, and an upstream that hangs is found later.
const averageIntervals = 3

// movingAverage is an exponentially weighted moving average over time.
type movingAverage struct {
	value   float64
	updated time.Duration
}

// valueAt returns the average at now, if the value has been current since the last
// update.
func (a movingAverage) valueAt(now, timeConstant time.Duration, current int) float64 {
	keep := math.Exp(-float64(max(now-a.updated, 0)) / float64(timeConstant))
	return a.value*keep + float64(current)*(1-keep)
}

// update records that the value was current until now.
func (a *movingAverage) update(now, timeConstant time.Duration, current int) {
	a.value = a.valueAt(now, timeConstant, current)
	a.updated = max(a.updated, now)
}

// averageTimeConstant returns the time constant of the averages of the other routers'
// load.
func (b *Balancer) averageTimeConstant() time.Duration { return averageIntervals * b.ReportInterval() }

// averageElsewhere returns the moving average of the other routers' requests in flight on
// an upstream.
func (b *Balancer) averageElsewhere(now time.Duration, u *upstream) float64 {
	return u.elsewhereAverage.valueAt(now, b.averageTimeConstant(), u.elsewhere)
}

// addElsewhere changes the number of the other routers' requests in flight on an upstream
// by delta.
func (b *Balancer) addElsewhere(now time.Duration, u *upstream, delta int) {
	u.elsewhereAverage.update(now, b.averageTimeConstant(), u.elsewhere)
	u.changeLoad(0, delta)
}
