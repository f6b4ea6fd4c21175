package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/explain"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/node"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/transport/admin"
)

// Rows implements admin.Fleet.
func (d *Daemon) Rows(sheet table.Sheet) []table.Row {
	rows := []table.Row{}
	d.member.read(func(view *fleetstate.View) {
		view.Rows(sheet, func(row table.Row) { rows = append(rows, row) })
	})
	slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// Change implements admin.Fleet.
func (d *Daemon) Change(ctx context.Context, change table.Change) (table.Answer, error) {
	change.At = time.Now().UnixMilli()
	result, err := d.member.propose(ctx, fleetstate.Command{Change: &change}, true)
	if err != nil {
		return table.Answer{}, err
	}
	if result.Change == nil {
		return table.Answer{}, eris.Errorf("the replicated state returned no result for the change %q", change.ID)
	}
	return *result.Change, nil
}

// Quarantine implements admin.Fleet.
func (d *Daemon) Quarantine() []admin.QuarantineEntry {
	listed, now := d.runner.quarantined()
	entries := make([]admin.QuarantineEntry, 0, len(listed))
	for _, entry := range listed {
		entries = append(entries, admin.QuarantineEntry{
			Digest:   fmt.Sprintf("%016x", uint64(entry.Digest)),
			Customer: entry.Customer,
			Strikes:  entry.Strikes,
			Seconds:  int((entry.Expires - now).Seconds()),
		})
	}
	return entries
}

// LiftQuarantine implements admin.Fleet.
func (d *Daemon) LiftQuarantine(digest uint64) {
	d.runner.Input(node.LiftQuarantine{Digest: quarantine.Digest(digest)})
}

// Settle implements admin.Fleet.
func (d *Daemon) Settle(ctx context.Context, settle admin.SettleRequest) (orders.Result, error) {
	command := orders.Command{
		Op:  orders.OpSettle,
		Key: orders.Key{Customer: settle.Customer, Key: settle.Key},
		At:  time.Now().UnixMilli(),
		Who: settle.Who,
	}
	if settle.Ran {
		command.Answer = &orders.Answer{Status: uint16(settle.Status), ContentType: "application/json", Body: []byte(settle.Body)}
	}
	result, err := d.member.propose(ctx, fleetstate.Command{Order: &command}, false)
	if err != nil {
		return orders.Result{}, err
	}
	if result.Order == nil {
		return orders.Result{}, eris.Errorf("the replicated state returned no result for the order %q of customer %q", settle.Key, settle.Customer)
	}
	return *result.Order, nil
}

// WriteMetrics implements admin.Fleet.
func (d *Daemon) WriteMetrics(w io.Writer) error {
	d.updateGauges()
	return d.counters.writeText(w)
}

// updateGauges sets the gauges that are only read when the metrics are scraped.
func (d *Daemon) updateGauges() {
	entries, relayed := d.runner.inFlight()
	d.counters.set("requests_in_flight", float64(entries))
	d.counters.set("attempts_relayed", float64(relayed))
	ready := 0.0
	if d.runner.Ready() {
		ready = 1
	}
	d.counters.set("ready", ready)
	d.gossip.updateGauges(d.counters)
	counts := d.mesh.Counts()
	for kind, bytes := range counts.BytesSent {
		d.counters.set("peer_bytes_total."+kind.String(), float64(bytes))
	}
	d.counters.set("peer_connections_stalled_total", float64(counts.Stalled))
	d.counters.set("peer_connections_refused_total", float64(counts.RefusedInbound))
	d.counters.set("peer_connections_broken_total", float64(counts.BrokenInbound))
	d.counters.set("peer_connections_replaced_total", float64(counts.Reconnected))
	d.limits.SetGauges(func(name string, value int64) { d.counters.set(name, float64(value)) })
}

// Status implements admin.Fleet.
func (d *Daemon) Status(context.Context) admin.Status {
	status := admin.Status{
		Router:     d.settings.RouterID,
		DataCentre: d.settings.DataCentre,
		Ready:      d.runner.Ready(),
		Leader:     d.member.currentLeader(),
		Routers:    []admin.RouterStatus{},
		Upstreams:  []admin.UpstreamStatus{},
	}
	d.member.read(func(view *fleetstate.View) { fillStatus(&status, view) })
	status.Voters = d.voters()
	status.Problems = problemsOf(status)
	return status
}

// voters lists the voters and learners of the replicated log as this replica knows them; nil on a
// process that keeps no state.
func (d *Daemon) voters() []admin.VoterStatus {
	if d.replica == nil {
		return nil
	}
	known := d.replica.Status()
	var list []admin.VoterStatus
	for _, voter := range known.Configuration.Voters {
		list = append(list, admin.VoterStatus{Router: voter.Router, Role: "voter"})
	}
	for _, learner := range known.Configuration.Learners {
		list = append(list, admin.VoterStatus{Router: learner.Router, Role: "learner"})
	}
	return list
}

// fillStatus adds the routers and the upstreams of a view to the status.
func fillStatus(status *admin.Status, view *fleetstate.View) {
	status.Revision = view.Revision()
	owners := map[ownership.SessionID]protocol.RouterID{}
	owned := map[ownership.SessionID]int{}
	view.Sessions(func(session ownership.Session) { owners[session.ID] = session.Router })
	view.Descriptors(func(descriptor registry.Descriptor) {
		assignment, _ := view.Assignment(descriptor.ID)
		owned[assignment.Owner]++
		row, _ := view.Row(table.Upstreams, string(descriptor.ID))
		status.Upstreams = append(status.Upstreams, admin.UpstreamStatus{
			Upstream:   descriptor.ID,
			Kind:       string(descriptor.Kind),
			Address:    descriptor.Address,
			DataCentre: descriptor.DataCentre,
			Serves:     servesText(descriptor),
			Owner:      owners[assignment.Owner],
			Fence:      uint64(assignment.Fence),
			Drain:      row.Key != "" && table.UpstreamOf(row).Drain,
		})
	})
	view.Sessions(func(session ownership.Session) {
		status.Routers = append(status.Routers, admin.RouterStatus{
			Router:     session.Router,
			DataCentre: session.DataCentre,
			Address:    session.Address,
			Session:    uint64(session.ID),
			Stopping:   session.Stopping,
			Upstreams:  owned[session.ID],
		})
	})
	slices.SortFunc(status.Routers, func(a, b admin.RouterStatus) int { return cmp.Compare(a.Session, b.Session) })
	slices.SortFunc(status.Upstreams, func(a, b admin.UpstreamStatus) int { return cmp.Compare(a.Upstream, b.Upstream) })
}

func servesText(descriptor registry.Descriptor) string {
	if descriptor.Service != "" {
		return string(descriptor.Service)
	}
	names := make([]string, 0, len(descriptor.Models))
	for _, model := range descriptor.Models {
		names = append(names, string(model))
	}
	return strings.Join(names, " ")
}

// problemsOf lists what is wrong, worst first.
func problemsOf(status admin.Status) []string {
	problems := []string{}
	if !status.Ready {
		problems = append(problems, "this router is not ready: it has no lease, or it is stopping")
	}
	if len(status.Upstreams) == 0 {
		problems = append(problems, "no upstream has announced itself")
	}
	for _, upstream := range status.Upstreams {
		if upstream.Owner == "" {
			problems = append(problems, "upstream "+string(upstream.Upstream)+" has no owner")
		}
	}
	return problems
}

// sortEvents orders the events of several routers by the routers' clocks, which may differ a
// little between VMs.
func sortEvents(events []explain.Event) {
	slices.SortStableFunc(events, func(a, b explain.Event) int {
		return cmp.Or(cmp.Compare(a.UnixMS, b.UnixMS), cmp.Compare(a.Router, b.Router), cmp.Compare(a.Sequence, b.Sequence))
	})
}
