package router

import (
	"slices"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/coordination/slowstart"
	"endiveplank/protocol"
)

// applyEvacuations passes changed evacuations to the balancer. Upstreams in data centres
// that are taken back may have become cold a moment ago and not have announced it yet. The
// lock is held.
func (r *Router) applyEvacuations(now time.Duration) {
	var evacuated []protocol.DataCentre
	for _, record := range r.follower.Evacuations() {
		if record.Evacuated {
			evacuated = append(evacuated, record.DataCentre)
		}
	}
	if slices.Equal(evacuated, r.evacuated) {
		return
	}
	takenBack := slices.DeleteFunc(slices.Clone(r.evacuated), func(in protocol.DataCentre) bool { return slices.Contains(evacuated, in) })
	r.evacuated = evacuated
	r.balancer.SetEvacuated(evacuated)
	for _, e := range r.roster.Entries() {
		if slices.Contains(takenBack, e.DataCentre) && e.State == roster.Ready {
			r.slowStart.NoteRestart(now, e.ID, e.Service)
		}
	}
}

// applyColdLimits passes the limits that a table declares for cold upstreams to the limiter.
// The lock is held.
func (r *Router) applyColdLimits(now time.Duration, table *routing.Table) {
	limits := map[protocol.Service]slowstart.Limit{}
	for _, s := range table.Services {
		if s.ColdRate <= 0 {
			continue
		}
		settings := r.settings.SlowStart
		limits[s.Name] = slowstart.Limit{PerSecond: s.ColdRate*settings.Overrun + settings.Tolerance, Period: s.ColdPeriod}
	}
	if r.slowStart.SetLimits(limits) {
		for _, e := range r.roster.Entries() {
			r.slowStart.NoteCold(now, e.ID, e.Service, r.roster.ColdUntil(e.ID))
		}
	}
}

// admits returns whether an upstream takes a request although it is cold, nil if no
// upstream is cold. The lock is held.
func (r *Router) admits(now time.Duration) func(protocol.UpstreamID) bool {
	if r.slowStart.Idle() {
		return nil
	}
	return func(id protocol.UpstreamID) bool {
		return r.slowStart.Admits(now, id, r.balancer.LastServed(id))
	}
}

// isCold returns whether an upstream is cold, nil if none is. The lock is held.
func (r *Router) isCold(now time.Duration) func(protocol.UpstreamID) bool {
	if r.slowStart.Idle() {
		return nil
	}
	return func(id protocol.UpstreamID) bool {
		return r.slowStart.IsCold(now, id, r.balancer.LastServed(id))
	}
}

// touch returns which disk VMs this router is in touch with. The lock is held.
func (r *Router) touch(now time.Duration) slowstart.Touch {
	switch {
	case !r.follower.KnowsRouters(now):
		return slowstart.NoList
	case !r.follower.KnowsAllDiskVMs(now):
		return slowstart.SomeVMs
	}
	return slowstart.AllVMs
}
