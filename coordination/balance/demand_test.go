package balance

import (
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/demand"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

func TestLoadReportsAreReadByOtherVersions(t *testing.T) {
	// Guards: while a fleet is upgraded, routers refuse each other's load reports, as the msgpack
	// library refuses an array that has more or fewer elements than a struct has fields.
	type before struct {
		Full      bool
		Upstreams []UpstreamLoad
		Cached    []CachedPrefix
		Omitted   []ServiceLoad
	}
	loads := before{Full: true, Upstreams: []UpstreamLoad{{ID: 7, InFlight: 2, Served: 1 << 40}}, Omitted: []ServiceLoad{{ID: 1, InFlight: 3}}}
	report := LoadReport{Full: true, Upstreams: loads.Upstreams, Omitted: loads.Omitted}
	assert.DeepEqual(t, codec.MarshalArrays(report), codec.MarshalArrays(loads))
	for _, limit := range []int{0, 5} {
		var got LoadReport
		report.Demand = nil
		if limit > 0 {
			report.Demand = []demand.ServiceCounts{{Routers: 1, Limit: limit, Rates: []byte{1}}}
		}
		assert.NilError(t, codec.Unmarshal(codec.MarshalArrays(report), &got))
		assert.DeepEqual(t, got, report)
		got = LoadReport{}
		fromLater := []any{
			report.Full, report.Upstreams, report.Cached, report.Omitted, report.Reported, report.Demand, report.Reservations,
			[]ServiceLoad{{ID: 3}},
		}
		assert.NilError(t, codec.Unmarshal(codec.MarshalArrays(fromLater), &got))
		assert.DeepEqual(t, got, report)
	}
}

func TestCountsTravelWithLoadReports(t *testing.T) {
	// Guards: routers whose relay has nothing to tell them about loads get no counts, or relays
	// get another one's.
	counts := func(routers int) []demand.ServiceCounts { return []demand.ServiceCounts{{Routers: routers}} }
	reports := AddDemand([]OutgoingReport{
		{To: []protocol.RouterID{"r1", "r2", "r3"}, Report: LoadReport{Full: true}},
		{To: []protocol.RouterID{"m1"}, Report: LoadReport{Full: true}},
	}, []demand.Outgoing{
		{To: []protocol.RouterID{"r1"}, Report: counts(1)},
		{To: []protocol.RouterID{"r3"}, Report: counts(2)},
		{To: []protocol.RouterID{"m2"}, Report: counts(3)},
	})
	got := map[protocol.RouterID]LoadReport{}
	for _, r := range reports {
		for _, to := range r.To {
			_, again := got[to]
			assert.Assert(t, !again, "%s gets two reports", to)
			got[to] = r.Report
		}
	}
	assert.DeepEqual(t, got, map[protocol.RouterID]LoadReport{
		"r1": {Full: true, Demand: counts(1)}, "r2": {Full: true}, "r3": {Full: true, Demand: counts(2)},
		"m1": {Full: true}, "m2": {Demand: counts(3)},
	})
}

func TestCountsAloneLeaveLoadsAsTheyAre(t *testing.T) {
	// Guards: a report that has only counts ends the load that the report before has by service.
	g := newGroups(20, 4)
	b := g.balancers["r1"]
	omitted := []ServiceLoad{{ID: serviceIDOf("s"), InFlight: 7}}
	b.ApplyLoadReport(g.at, "r0", LoadReport{Omitted: omitted})
	b.ApplyLoadReport(g.at, "r0", LoadReport{Demand: []demand.ServiceCounts{{Routers: 1}}})
	assert.Equal(t, b.omittedLoad[serviceIDOf("s")], 7)
}
