package router

import (
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"endiveplank/coordination/overload"
	"endiveplank/daemon/runqueue"
	"endiveplank/transport/shedding"
)

// callerDescriptorShare is the share of the process's file descriptors that callers' connections
// may have. Each request needs another one for its upstream.
const callerDescriptorShare = 0.5

// callerConnections are callers' connections, of which an overloaded router turns new ones away.
type callerConnections struct {
	shedder    *overload.Shedder
	waits      runqueue.Meter
	open       atomic.Int64
	most       atomic.Int64
	turnedAway atomic.Int64
	overloaded bool
}

// maxCallerConnections returns how many connections callers may have open.
func maxCallerConnections() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return 1 << 20
	}
	return int64(callerDescriptorShare * float64(limit.Cur))
}

// listenForCallers wraps the callers' listener.
func (r *Router) listenForCallers(listener net.Listener) net.Listener {
	return &shedding.Listener{Listener: listener, Admits: r.admitsCaller}
}

// admitsCaller reports whether a new connection is taken.
func (r *Router) admitsCaller() bool {
	if r.callers.open.Load() < r.callers.most.Load() && r.drawCaller() {
		return true
	}
	r.callers.turnedAway.Add(1)
	return false
}

func (r *Router) drawCaller() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callers.shedder.Admits(r.random.Float64())
}

// countCaller counts the open connections; it is called with each change of one.
func (r *Router) countCaller(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		r.callers.open.Add(1)
	case http.StateHijacked, http.StateClosed:
		r.callers.open.Add(-1)
	}
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
	r.log.Warn().Str("event", "overloaded").Int64("wait_ms", wait.Milliseconds()).Int64("connections", c.open.Load()).
		Msg("work waits long for the processor, some new connections of callers are turned away")
}
