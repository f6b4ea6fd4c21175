package router

import (
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/capacity"
	"endiveplank/coordination/demand"
	"endiveplank/protocol"
)

// withAdmission adds to load reports what other routers need to know about services that are short
// of capacity. The lock is held.
func (r *Router) withAdmission(now time.Duration, reports []balance.OutgoingReport) []balance.OutgoingReport {
	a := r.admission
	if a == nil {
		return reports
	}
	neighbours := r.relay.Neighbours()
	reports = balance.AddDemand(reports, a.counter.Reports(now, demand.Neighbours(neighbours)))
	for _, part := range a.reservations.Reports(now) {
		reports = balance.AddTo(reports, part.To, func(report *balance.LoadReport) { report.Reservations = part.Reported })
	}
	for _, part := range r.pendingReportedLoads(now, neighbours) {
		reports = balance.AddTo(reports, part.To, func(report *balance.LoadReport) { report.Reported = part.Reported })
	}
	return reports
}

// pendingReportedLoads returns what upstreams report of their load, of services that are short of
// capacity. The lock is held.
func (r *Router) pendingReportedLoads(now time.Duration, neighbours balance.Neighbours) []capacity.Outgoing {
	if r.admission.reports == nil {
		return nil
	}
	return r.admission.reports.Pending(now, neighbours, func(service protocol.Service) bool {
		return r.admission.counter.IsConstrained(now, service)
	})
}

// applyLoadReport takes another router's report. The lock is held.
func (r *Router) applyLoadReport(now time.Duration, from protocol.RouterID, report balance.LoadReport) {
	r.balancer.ApplyLoadReport(now, from, report)
	a := r.admission
	if a == nil {
		return
	}
	a.counter.Apply(now, from, report.Demand)
	a.reservations.Apply(now, from, report.Reservations)
	if a.reports != nil {
		a.reports.Apply(now, r.relay.Neighbours(), from, report.Reported)
	}
}

// drop removes the counts of a router whose connections have ended.
func (a *admission) drop(from protocol.RouterID) {
	if a != nil {
		a.counter.Drop(from)
	}
}
