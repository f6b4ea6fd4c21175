package forward

import (
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/routing"
)

const (
	// maxWarmUpWait is the longest that a request waits on a router that has just
	// started for the table and most of the upstreams. The router has both within a
	// few tenths of a second, unless the disk VMs are down too.
	maxWarmUpWait = 600 * time.Millisecond
	// warmUpWaitShare is the share of the request's timeout that it may wait: a
	// caller that is refused after the wait still has time to retry.
	warmUpWaitShare = 0.2
	// warmUpPoll is how often a waiting request checks.
	warmUpPoll = 20 * time.Millisecond
)

// waitForWarmUp waits a short time until known returns true. Callers pass a known that
// returns true at once unless the router has just started.
//
// It guards against this failure: all VMs of a fleet lost power and are running again,
// and callers send requests before the first router has received the table or learned of
// more than a few upstreams. Without the wait, every caller would be refused, and most
// callers retry only once; or all requests of all routers would go to the few upstreams
// that are known first. A request that couldn't be served later either is still refused
// at once.
func (f *forwarding) waitForWarmUp(known func() bool) {
	until := f.arrived.Add(min(maxWarmUpWait, time.Duration(warmUpWaitShare*float64(f.timeout))))
	for !known() && time.Now().Before(until) {
		select {
		case <-f.request.Context().Done():
			return
		case <-time.After(warmUpPoll):
		}
	}
}

// waitForTable returns the table in force, nil if none is known.
func (f *forwarding) waitForTable() *routing.Index {
	fleet := f.handler.options.Fleet
	f.waitForWarmUp(func() bool { return fleet.Table() != nil || !fleet.WarmingUp() })
	return fleet.Table()
}

// choose picks the upstream of the next attempt.
func (f *forwarding) choose() balance.Choice {
	fleet := f.handler.options.Fleet
	if len(f.outcome.Attempts) == 0 {
		f.waitForWarmUp(func() bool { return !fleet.WarmingUp() })
	}
	f.job.Remaining = f.remaining()
	return fleet.Choose(f.context, f.job)
}
