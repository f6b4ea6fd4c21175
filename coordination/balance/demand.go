package balance

import (
	"slices"

	"endiveplank/coordination/demand"
	"endiveplank/protocol"
)

// AddDemand adds the reports of a demand.Counter to load reports that are sent at the same time.
func AddDemand(reports []OutgoingReport, counts []demand.Outgoing) []OutgoingReport {
	for _, c := range counts {
		reports = AddTo(reports, c.To, func(r *LoadReport) { r.Demand = c.Report })
	}
	return reports
}

// AddTo adds something for some receivers to load reports that are sent at the same time, so that a
// receiver gets one message. It divides a load report of which only some receivers get it, and adds
// one for receivers that get no load report.
func AddTo(reports []OutgoingReport, to []protocol.RouterID, add func(*LoadReport)) []OutgoingReport {
	var merged []OutgoingReport
	missing := to
	for _, r := range reports {
		with, without := divide(r.To, to)
		if len(with) > 0 {
			report := r.Report
			add(&report)
			merged = append(merged, OutgoingReport{To: with, Report: report})
		}
		if len(without) > 0 {
			merged = append(merged, OutgoingReport{To: without, Report: r.Report})
		}
		_, missing = divide(missing, with)
	}
	if len(missing) > 0 {
		report := LoadReport{}
		add(&report)
		merged = append(merged, OutgoingReport{To: missing, Report: report})
	}
	return merged
}

// divide returns the routers that are among others, and those that aren't.
func divide(ids, others []protocol.RouterID) (in, out []protocol.RouterID) {
	for _, id := range ids {
		if slices.Contains(others, id) {
			in = append(in, id)
		} else {
			out = append(out, id)
		}
	}
	return in, out
}
