package forward

import (
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/routing"
)

const (
	// settleWait is how long a request waits on a router that has just started
	// for the table or for an upstream. The router has both within some tenths
	// of a second, unless the disk VMs are away too.
	settleWait = 600 * time.Millisecond
	// settleShare is the part of the caller's time that it may wait: a caller
	// that is refused after it still has time for another try.
	settleShare = 0.2
	// settlePoll is how often it looks.
	settlePoll = 20 * time.Millisecond
)

// settle waits until something is known, but not long, and only on a router that
// has just started.
//
// Load: all VMs of a fleet lost power and are back, and their callers with them,
// before the first router has heard of the table, or of more than a few
// upstreams. Harm prevented: each caller is refused and has to come back, and
// most callers come back once only; or all callers of all routers are sent to
// the few upstreams that were heard of first. A request that can't be served
// later either is refused at once, as ever.
func (f *flight) settle(known func() bool) {
	until := f.arrived.Add(min(settleWait, time.Duration(settleShare*float64(f.patience))))
	for !known() && time.Now().Before(until) {
		select {
		case <-f.request.Context().Done():
			return
		case <-time.After(settlePoll):
		}
	}
}

// awaitTable returns the table in force, nil if none is known.
func (f *flight) awaitTable() *routing.Index {
	fleet := f.handler.options.Fleet
	f.settle(func() bool { return fleet.Table() != nil || !fleet.Settling() })
	return fleet.Table()
}

// choose picks the upstream of the next attempt.
func (f *flight) choose() balance.Choice {
	fleet := f.handler.options.Fleet
	if len(f.outcome.Attempts) == 0 {
		f.settle(func() bool { return !fleet.Settling() })
	}
	return fleet.Choose(f.context, f.job)
}
