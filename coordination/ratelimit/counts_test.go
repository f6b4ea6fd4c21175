package ratelimit

import (
	"math"
	"time"

	"endiveplank/coordination/demand"
)

// counts are a router's decayed counts and its requests in flight.
type counts struct {
	at                time.Duration
	arrived, admitted [demand.Ranks]float64
	inTime, late      float64
	customers         [customers]float64
	inFlight          float64
	limit             float64
	limited, routers  int
}

func (c *counts) decay(at time.Duration) {
	keep := math.Exp(-(at - c.at).Seconds())
	for rank := range c.arrived {
		c.arrived[rank] *= keep
		c.admitted[rank] *= keep
	}
	for n := range c.customers {
		c.customers[n] *= keep
	}
	c.inTime, c.late, c.at = c.inTime*keep, c.late*keep, at
}

// add adds other counts with a sign.
func (c *counts) add(o *counts, sign float64) {
	for rank := range c.arrived {
		c.arrived[rank] += sign * o.arrived[rank]
		c.admitted[rank] += sign * o.admitted[rank]
	}
	for n := range c.customers {
		c.customers[n] += sign * o.customers[n]
	}
	c.inTime, c.late, c.inFlight = c.inTime+sign*o.inTime, c.late+sign*o.late, c.inFlight+sign*o.inFlight
	c.limit, c.limited, c.routers = c.limit+sign*o.limit, c.limited+int(sign)*o.limited, c.routers+int(sign)*o.routers
}
