package demand_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/coordination/control"
	"endiveplank/coordination/demand"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

const (
	service = protocol.Service("desk")
	tick    = 50 * time.Millisecond
	// callInterval is how often routers are asked for reports, each at its own time.
	callInterval = 250 * time.Millisecond
)

// fleet plays routers that count and report. Messages arrive within the tick.
type fleet struct {
	now      time.Duration
	random   *rand.Rand
	routers  map[protocol.RouterID]*fleetRouter
	order    []protocol.RouterID
	services []protocol.Service
	// perRouter is the rate of first attempts at each router, a second and service.
	perRouter float64
	// customer draws the customer of a request at a router.
	customer func(f *fleet, at protocol.RouterID) protocol.CustomerID
	// recovered ends what the routers see of a shortage.
	recovered bool
	// deliver hands over a report; nil for at once.
	deliver func(from, to protocol.RouterID, report []demand.ServiceCounts)
	largest []demand.ServiceCounts
}

type fleetRouter struct {
	counter    *demand.Counter
	neighbours demand.Neighbours
	phase      time.Duration
	down       bool
	// arrived, bytes and reports count requests, and what was sent, since resetCounts.
	arrived, bytes, reports int
}

func newFleet(routers int) *fleet {
	f := &fleet{
		now: time.Hour, random: rand.New(rand.NewPCG(7, uint64(routers))), routers: map[protocol.RouterID]*fleetRouter{},
		services: []protocol.Service{service}, perRouter: 10, customer: drawCustomer,
	}
	for i := range routers {
		f.start(routerID(i))
	}
	f.list()
	return f
}

func routerID(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprintf("vm-%d:7000", i)) }

// drawCustomer draws one of 24 customers.
func drawCustomer(f *fleet, _ protocol.RouterID) protocol.CustomerID {
	return protocol.CustomerID(fmt.Sprint("c", f.random.IntN(24)))
}

// start starts a router, or starts it again without what it knew.
func (f *fleet) start(id protocol.RouterID) *fleetRouter {
	if f.routers[id] == nil {
		f.order = append(f.order, id)
	}
	f.routers[id] = &fleetRouter{counter: demand.NewCounter(id), phase: time.Duration(f.random.IntN(5)) * tick}
	return f.routers[id]
}

// kill ends a router. Others see its connections end if told.
func (f *fleet) kill(id protocol.RouterID, told bool) {
	f.routers[id].down = true
	for _, other := range f.up() {
		if told {
			f.routers[other].counter.Drop(id)
		}
	}
}

func (f *fleet) up() []protocol.RouterID {
	return slices.DeleteFunc(slices.Clone(f.order), func(id protocol.RouterID) bool { return f.routers[id].down })
}

// list gives all routers the list of those that run.
func (f *fleet) list() {
	var all []control.Router
	for _, id := range f.up() {
		var n int
		_, _ = fmt.Sscanf(string(id), "vm-%d:", &n)
		all = append(all, control.Router{ID: id, DataCentre: protocol.DataCentre(fmt.Sprint("dc", n%3))})
	}
	for _, self := range all {
		relay := control.NewRelay(self, 1_250_000)
		relay.SetRouters(slices.DeleteFunc(slices.Clone(all), func(other control.Router) bool { return other == self }))
		f.routers[self.ID].neighbours = demand.Neighbours(relay.Neighbours())
	}
}

// relays returns the running relays.
func (f *fleet) relays() []protocol.RouterID {
	return slices.DeleteFunc(f.up(), func(id protocol.RouterID) bool { return len(f.routers[id].neighbours.Relays) == 0 })
}

// run plays for a while.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += tick {
		for _, id := range f.up() {
			f.arrive(id)
		}
		for _, id := range f.up() {
			r := f.routers[id]
			if (f.now-r.phase)%callInterval == 0 {
				f.report(id, r)
			}
		}
	}
}

// arrive plays a router's requests of a tick.
func (f *fleet) arrive(id protocol.RouterID) {
	r := f.routers[id]
	for _, s := range f.services {
		for range f.poisson(f.perRouter * tick.Seconds()) {
			r.arrived++
			customer, rank := f.customer(f, id), f.random.IntN(3)
			r.counter.Arrived(f.now, s, rank, customer)
			if f.random.IntN(2) == 0 {
				r.counter.Admitted(f.now, s, rank, customer)
				r.counter.Answered(f.now, s, f.random.IntN(3) > 0)
			}
		}
		if !f.recovered {
			r.counter.NoteConstrained(f.now, s)
		}
	}
}

// report sends a router's reports.
func (f *fleet) report(from protocol.RouterID, r *fleetRouter) {
	for _, o := range r.counter.Reports(f.now, r.neighbours) {
		for _, to := range o.To {
			r.reports++
			r.bytes += len(codec.MarshalArrays(o.Report))
			if f.deliver != nil {
				f.deliver(from, to, o.Report)
			} else {
				f.hand(from, to, o.Report)
			}
		}
		f.keepLargest(o.Report)
	}
}

func (f *fleet) keepLargest(report []demand.ServiceCounts) {
	if len(codec.MarshalArrays(report)) > len(codec.MarshalArrays(f.largest)) {
		f.largest = report
	}
}

// hand gives a router a report as it comes from the wire.
func (f *fleet) hand(from, to protocol.RouterID, report []demand.ServiceCounts) {
	if receiver := f.routers[to]; receiver != nil && !receiver.down {
		var decoded []demand.ServiceCounts
		if err := codec.Unmarshal(codec.MarshalArrays(report), &decoded); err != nil {
			panic(err)
		}
		receiver.counter.Apply(f.now, from, decoded)
	}
}

// poisson draws how many requests arrive where a mean number does.
func (f *fleet) poisson(mean float64) int {
	count, limit, product := 0, math.Exp(-mean), f.random.Float64()
	for product > limit {
		count++
		product *= f.random.Float64()
	}
	return count
}

// resetCounts begins to count requests and bytes anew.
func (f *fleet) resetCounts() {
	for _, r := range f.routers {
		r.arrived, r.bytes, r.reports = 0, 0, 0
	}
}

// demandOf returns all first attempts in totals, a second.
func demandOf(t demand.Totals) float64 {
	sum := 0.0
	for _, rate := range t.Arrived {
		sum += rate
	}
	return sum
}

// meanDemand runs for a while and returns the mean of a router's view of the fleet's demand
// during it, and that of the requests that arrived, a second.
func (f *fleet) meanDemand(id protocol.RouterID, duration time.Duration) (seen, actual float64) {
	f.resetCounts()
	steps := int(duration / tick)
	for range steps {
		f.run(tick)
		seen += demandOf(f.totals(id)) / float64(steps)
	}
	arrived := 0
	for _, r := range f.routers {
		arrived += r.arrived
	}
	return seen, float64(arrived) / duration.Seconds()
}

func (f *fleet) totals(id protocol.RouterID) demand.Totals {
	return f.routers[id].counter.Fleet(f.now, service)
}
