package router

import (
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/capacity"
	"endiveplank/coordination/demand"
	"endiveplank/protocol"
)

// reportParts are the parts of a load report to one router: places in the lists of loads, counts,
// reservations and reported loads that are due, -1 for none.
type reportParts struct{ loads, counts, reservations, reported int }

// dueReports are the parts of load reports that are due, and which of them each router gets.
type dueReports struct {
	parts map[protocol.RouterID]*reportParts
	// order holds the routers in the order in which parts for them were added.
	order []protocol.RouterID
}

// add adds a part for some routers.
func (d *dueReports) add(to []protocol.RouterID, set func(*reportParts)) {
	for _, id := range to {
		parts := d.parts[id]
		if parts == nil {
			parts = &reportParts{-1, -1, -1, -1}
			d.parts[id] = parts
			d.order = append(d.order, id)
		}
		set(parts)
	}
}

// groups returns the routers that get the same parts.
func (d *dueReports) groups() (keys []reportParts, routers map[reportParts][]protocol.RouterID) {
	routers = map[reportParts][]protocol.RouterID{}
	for _, id := range d.order {
		key := *d.parts[id]
		if len(routers[key]) == 0 {
			keys = append(keys, key)
		}
		routers[key] = append(routers[key], id)
	}
	return keys, routers
}

// withAdmission adds to load reports what other routers need to know about services that are short
// of capacity. The lock is held.
func (r *Router) withAdmission(now time.Duration, loads []balance.OutgoingReport) []balance.OutgoingReport {
	a := r.admission
	if a == nil {
		return loads
	}
	neighbours := r.relay.Neighbours()
	counts, reservations := a.counter.Reports(now, demand.Neighbours(neighbours)), a.reservations.Reports(now)
	reported := r.pendingReportedLoads(now, neighbours)
	due := dueReports{parts: map[protocol.RouterID]*reportParts{}}
	for i, part := range loads {
		due.add(part.To, func(p *reportParts) { p.loads = i })
	}
	for i, part := range counts {
		due.add(part.To, func(p *reportParts) { p.counts = i })
	}
	for i, part := range reservations {
		due.add(part.To, func(p *reportParts) { p.reservations = i })
	}
	for i, part := range reported {
		due.add(part.To, func(p *reportParts) { p.reported = i })
	}
	keys, routers := due.groups()
	var all []balance.OutgoingReport
	for _, key := range keys {
		out := balance.OutgoingReport{To: routers[key]}
		if key.loads >= 0 {
			out.Report = loads[key.loads].Report
		}
		if key.counts >= 0 {
			out.Report.Demand = counts[key.counts].Report
		}
		if key.reservations >= 0 {
			out.Report.Reservations = reservations[key.reservations].Reported
		}
		if key.reported >= 0 {
			out.Report.Reported = reported[key.reported].Reported
		}
		all = append(all, out)
	}
	return all
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
	a := r.admission
	if a == nil {
		r.balancer.ApplyLoadReport(now, from, report)
		return
	}
	if report.HasLoads() {
		r.balancer.ApplyLoadReport(now, from, report)
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
