package router

import (
	"net"
	"sync/atomic"

	"endiveplank/coordination/overload"
	"endiveplank/daemon/runqueue"
	"endiveplank/transport/limited"
	"endiveplank/transport/shedding"
)

// callerConnections are callers' connections, of which an overloaded router turns new ones away.
type callerConnections struct {
	shedder    *overload.Shedder
	waits      runqueue.Meter
	listener   *limited.Listener
	turnedAway atomic.Int64
	overloaded bool
}

// listenForCallers wraps the callers' listener.
func (r *Router) listenForCallers(listener net.Listener) net.Listener {
	return &shedding.Listener{Listener: listener, Admits: r.admitsCaller}
}

// admitsCaller reports whether a new connection is taken while the processor is as busy as it is.
func (r *Router) admitsCaller() bool {
	r.mu.Lock()
	admitted := r.callers.shedder.Admits(r.random.Float64())
	r.mu.Unlock()
	if !admitted {
		r.callers.turnedAway.Add(1)
	}
	return admitted
}

// observeLoad measures how busy the processor is, and logs when connections begin to be turned
// away and when all are taken again. The lock is held.
func (r *Router) observeLoad() {
	c := &r.callers
	wait := c.waits.Measure()
	c.shedder.Observe(wait)
	share := c.shedder.TurnsAway()
	if c.overloaded == (share > 0) {
		return
	}
	c.overloaded = share > 0
	if !c.overloaded {
		r.log.Info().Str("event", "overload-ended").Int64("turned_away", c.turnedAway.Load()).Send()
		return
	}
	r.log.Warn().Str("event", "overloaded").Int64("wait_ms", wait.Milliseconds()).Int("connections", c.listener.Open()).
		Msg("work waits long for the processor, some new connections of callers are turned away")
}
