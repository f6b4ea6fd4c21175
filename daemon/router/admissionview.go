package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"endiveplank/coordination/demand"
	"endiveplank/coordination/ratelimit"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/transport/admissionview"
)

// dueSeconds is for how many seconds reservations are shown: those for which times are offered, and
// the current one.
const dueSeconds = 11

// serveAdmission writes what the router knows of demand and capacity as JSON.
func (r *Router) serveAdmission(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(r.admissionView())
	if err != nil {
		panic("router: invariant broken: the view of admission always encodes: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		r.log.Debug().Str("event", "admission-not-written").Err(err).Send()
	}
}

// admissionView returns what the router knows of demand and capacity.
func (r *Router) admissionView() admissionview.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := admissionview.View{
		Router: string(r.settings.Self()), Enabled: r.admission != nil, Services: []admissionview.Service{},
	}
	index := r.table.Load()
	if r.admission == nil || index == nil {
		return view
	}
	view.Reservations = r.admission.reservations.Len()
	names := customerNames(index.Table())
	for _, service := range index.Table().Services {
		view.Services = append(view.Services, r.serviceView(r.now(), service.Name, names))
	}
	return view
}

// customersByHash are the customers of a table.
type customersByHash map[demand.CustomerHash]protocol.CustomerID

// customerNames returns the customers by their hashes.
func customerNames(table *routing.Table) customersByHash {
	names := customersByHash{demand.CustomerHashOf(""): ""}
	for _, customer := range table.Customers {
		names[demand.CustomerHashOf(customer.Name)] = customer.Name
	}
	return names
}

// serviceView returns the state of a service. The lock is held.
func (r *Router) serviceView(now time.Duration, name protocol.Service, names customersByHash) admissionview.Service {
	a, s, totals := r.admission, r.admission.service(name), r.admission.counter.Fleet(now, name)
	at := r.balancer.Capacity(name)
	view := admissionview.Service{
		Service: string(name), Short: a.counter.IsConstrained(now, name), Routers: totals.Routers,
		Slots: at.Slots, InFlight: at.InFlight, Limit: s.limiter.Limit(), InTime: totals.InTime, Late: totals.Late,
		RestCustomers: totals.RestCustomers, RestArrived: totals.RestArrived, Customers: []admissionview.Customer{},
		Due: make([]int, dueSeconds),
	}
	admitted := 0.0
	for rank, arrived := range totals.Arrived {
		admitted += totals.Admitted[rank]
		view.Ranks = append(view.Ranks, admissionview.Rank{
			Rank: rank, Arrived: arrived, Admitted: totals.Admitted[rank], Refused: max(arrived-totals.Admitted[rank], 0),
		})
	}
	if view.Limit > 0 {
		view.Free = max(view.Limit-admitted, 0)
	}
	for _, rate := range totals.Customers {
		view.Customers = append(view.Customers, customerView(s.limiter, rate, names))
	}
	for i := range view.Due {
		view.Due[i] = s.offered[int64(now/time.Second)+int64(i)]
	}
	view.Reported = a.reportedView(now, name)
	return view
}

// noCustomer stands for the requests of public routes without a customer's key.
const noCustomer = "(no customer)"

// customerView returns the demand of a customer.
func customerView(limiter *ratelimit.Limiter, rate demand.CustomerRate, names customersByHash) admissionview.Customer {
	name, known := names[rate.Customer]
	view := admissionview.Customer{
		Customer: string(name), Arrived: rate.Arrived, Admitted: rate.Admitted,
		Refused: max(rate.Arrived-rate.Admitted, 0), Share: rate.Arrived,
	}
	switch {
	case !known:
		view.Customer = fmt.Sprintf("#%08x", uint32(rate.Customer))
	case name == "":
		view.Customer = noCustomer
	}
	if limiter.Limit() > 0 {
		view.Share = min(limiter.CustomerShare(rate.Customer), rate.Arrived)
	}
	return view
}

// reportedView returns what the upstreams of a service report, nil if that isn't used.
func (a *admission) reportedView(now time.Duration, service protocol.Service) *admissionview.Reported {
	if a.reports == nil {
		return nil
	}
	sum := a.reports.Free(now, service)
	return &admissionview.Reported{
		Upstreams: sum.Upstreams, Known: sum.Known, Running: sum.Running, Waiting: sum.Waiting, Free: sum.Free,
	}
}
