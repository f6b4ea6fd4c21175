package daemon

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/node"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// buildView builds the node core's view from a router's copy of the replicated state.
func buildView(view *fleetstate.View, session ownership.SessionID) *node.View {
	built := &node.View{
		Revision:  view.Revision(),
		Upstreams: map[protocol.UpstreamID]*node.Upstream{},
		Models:    map[protocol.Model][]*node.Upstream{},
		Services:  map[protocol.Service][]*node.Upstream{},
	}
	view.Rows(table.Customers, func(row table.Row) { addCustomer(built, table.CustomerOf(row)) })
	view.Rows(table.Routes, func(row table.Row) { addRoute(built, table.RouteOf(row)) })
	view.Descriptors(func(descriptor registry.Descriptor) {
		built.Upstreams[descriptor.ID] = buildUpstream(view, descriptor, session)
	})
	indexUpstreams(built)
	view.Sessions(func(open ownership.Session) { built.Routers = append(built.Routers, open.Router) })
	slices.Sort(built.Routers)
	built.Routers = slices.Compact(built.Routers)
	return built
}

func addCustomer(built *node.View, customer table.Customer) {
	row := &node.Customer{
		ID:                customer.ID,
		Disabled:          customer.Disabled,
		Class:             customer.Class,
		Weight:            float64(customer.Weight),
		RequestsPerSecond: float64(customer.RequestsPerSecond),
		TokensPerSecond:   float64(customer.TokensPerSecond),
		Concurrent:        customer.Concurrent,
	}
	for _, text := range customer.KeyHashes {
		var hash [32]byte
		if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == len(hash) {
			built.Customers.Add(hash, row)
		}
	}
}

func addRoute(built *node.View, route table.Route) {
	built.Routes = append(built.Routes, node.Route{
		Prefix:     route.Prefix,
		Service:    route.Service,
		Idempotent: route.Idempotent,
		Deadline:   time.Duration(route.DeadlineMS) * time.Millisecond,
	})
}

// buildUpstream combines what an upstream announced, what operators set for it, and who owns it.
func buildUpstream(view *fleetstate.View, descriptor registry.Descriptor, session ownership.SessionID) *node.Upstream {
	upstream := &node.Upstream{
		ID:                     descriptor.ID,
		Kind:                   descriptor.Kind,
		Address:                descriptor.Address,
		DataCentre:             descriptor.DataCentre,
		Models:                 descriptor.Models,
		Service:                descriptor.Service,
		Build:                  descriptor.Build,
		AnnouncedCapacity:      descriptor.Capacity,
		Capacity:               descriptor.Capacity,
		MaxConcurrent:          descriptor.MaxConcurrent,
		AnnouncedMaxConcurrent: descriptor.MaxConcurrent,
		ChecksFence:            descriptor.ChecksFence,
	}
	if row, found := view.Row(table.Upstreams, string(descriptor.ID)); found {
		applySettings(upstream, table.UpstreamOf(row))
	}
	assignment, assigned := view.Assignment(descriptor.ID)
	if !assigned {
		return upstream
	}
	if owner, open := view.Session(assignment.Owner); open {
		upstream.Owner = owner.Router
		upstream.Fence = assignment.Fence
		upstream.Moving = assignment.Moving
		upstream.OwnedHere = assignment.Owner == session
	}
	return upstream
}

// percent is the weight that leaves an upstream's capacity as announced.
const percent = 100

// applySettings applies an operator's row to an announced upstream.
func applySettings(upstream *node.Upstream, row table.Upstream) {
	upstream.Drain = row.Drain
	if row.WeightPercent > 0 {
		upstream.Capacity = upstream.AnnouncedCapacity * float64(row.WeightPercent) / percent
	}
	if row.MaxConcurrent > 0 {
		upstream.MaxConcurrent = min(row.MaxConcurrent, upstream.AnnouncedMaxConcurrent)
	}
}

// indexUpstreams numbers the upstreams by ID and lists them by model and by service.
func indexUpstreams(built *node.View) {
	sorted := make([]*node.Upstream, 0, len(built.Upstreams))
	for _, upstream := range built.Upstreams {
		sorted = append(sorted, upstream)
	}
	slices.SortFunc(sorted, func(a, b *node.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for i, upstream := range sorted {
		upstream.Index = i
		if upstream.Kind == upstreamapi.KindService {
			built.Services[upstream.Service] = append(built.Services[upstream.Service], upstream)
			continue
		}
		for _, model := range upstream.Models {
			built.Models[model] = append(built.Models[model], upstream)
		}
	}
}
