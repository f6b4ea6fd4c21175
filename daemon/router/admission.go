package router

import (
	"maps"
	"math"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/capacity"
	"endiveplank/coordination/demand"
	"endiveplank/coordination/ratelimit"
	"endiveplank/coordination/retryschedule"
	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/settings/direct"
)

const (
	// constrainedLoad is the part of a service's slots that must be taken for a late answer to
	// count as a sign that the service is short of capacity. It is half of what a rate limit needs,
	// as the requests in flight vary.
	constrainedLoad = 0.25
	// limitLineInterval is the least time between two lines about a service's rate limit.
	limitLineInterval = time.Second
)

// admission is what a router decides about requests while services are short of capacity. It is
// nil if the settings don't switch it on. The router's lock guards it.
type admission struct {
	settings     direct.Admission
	counter      *demand.Counter
	services     map[protocol.Service]*limitedService
	reservations *retryschedule.Reservations
	// reports is nil if upstreams' reports of their load aren't used.
	reports *capacity.Reports
	// reportInterval is the time between two load reports, and relays says that relays aggregate
	// them.
	reportInterval time.Duration
	relays         bool
}

// limitedService is the state of one service.
type limitedService struct {
	limiter  *ratelimit.Limiter
	schedule *retryschedule.Schedule
	// part is this router's part of the arrivals at all routers at the last tick, from 0 to 1. Adding
	// up all routers' counts for each refusal would cost more than refusing.
	part float64
	// demandAboveLast is the arrivals a second at all routers in all ranks but the last. Refused
	// requests that come back without a reservation count as the last rank, so new requests of that
	// rank are left out with them.
	demandAboveLast float64
	// allowedLoad is the load of an upstream that the rate limit allowed at the last tick, 0 if there was
	// none or it isn't known.
	allowedLoad int
	// short says whether any router saw the service short of capacity at the last tick.
	short bool
	// offered counts this router's reservations by the second, since the start, in which they are due.
	offered map[int64]int
	// change is the latest change of the limit, and unlogged says that no line has told of it yet.
	// limited and loggedAt are what the last line said and when it was written.
	limited  bool
	loggedAt time.Duration
	change   ratelimit.Change
	unlogged bool
}

// newAdmission returns the state of a router that has counted nothing yet, nil if admission is
// off.
func newAdmission(self protocol.RouterID, settings direct.Admission) *admission {
	if !settings.Enabled {
		return nil
	}
	a := &admission{
		settings: settings, counter: demand.NewCounter(self), services: map[protocol.Service]*limitedService{},
		reservations: retryschedule.NewReservations(),
	}
	if settings.Reports {
		a.reports = capacity.New()
	}
	return a
}

// service returns the state of a service.
func (a *admission) service(name protocol.Service) *limitedService {
	s := a.services[name]
	if s == nil {
		s = &limitedService{
			limiter:  ratelimit.New(ratelimit.Settings{Reserve: a.settings.Reserve, Floor: a.settings.Floor}),
			schedule: retryschedule.NewSchedule(retryschedule.Settings{Reserve: a.settings.Reserve}),
			offered:  map[int64]int{}, loggedAt: -limitLineInterval,
		}
		a.services[name] = s
	}
	return s
}

// limit returns the rate limit of a service in requests a second over all routers, 0 for none.
func (a *admission) limit(now time.Duration, service protocol.Service) float64 {
	if a == nil || a.services[service] == nil {
		return 0
	}
	return a.services[service].limiter.Limit()
}

// retryCapacity returns the capacity for retries of a service.
func (a *admission) retryCapacity(now time.Duration, service protocol.Service) retryschedule.Capacity {
	limited, part := 0, a.service(service).part
	for name := range a.services {
		if a.limit(now, name) > 0 {
			limited++
		}
	}
	return retryschedule.Capacity{
		Limit: a.limit(now, service), Part: part, Spare: a.limit(now, service) - a.service(service).demandAboveLast,
		Known:   retryschedule.KnownAfter(a.reportInterval, a.relays),
		Carried: retryschedule.CarriedBy(a.reportInterval, a.relays, part, limited),
	}
}

// retain drops the state of services that a table doesn't have.
func (a *admission) retain(table *routing.Table) {
	if a == nil {
		return
	}
	maps.DeleteFunc(a.services, func(name protocol.Service, _ *limitedService) bool {
		return !slices.ContainsFunc(table.Services, func(known routing.Service) bool { return known.Name == name })
	})
}

// setNeighbours follows a changed list of the routers that this one exchanges load reports with.
func (a *admission) setNeighbours(n balance.Neighbours, reportInterval time.Duration) {
	if a == nil {
		return
	}
	a.reservations.SetNeighbours(retryschedule.Neighbours(n))
	a.reportInterval, a.relays = reportInterval, n.Relay != "" || len(n.Members)+len(n.Relays) > 0
}

// applyEntries follows changed roster entries, or all of them if complete isn't set.
func (a *admission) applyEntries(changed []roster.Entry, complete bool, all func() []roster.Entry) {
	switch {
	case a == nil || a.reports == nil:
	case complete:
		a.reports.ApplyEntries(changed)
	default:
		a.reports.SetRoster(all())
	}
}

// tickAdmission lets the limiters of all services learn, and drops what has expired. The lock is
// held.
func (r *Router) tickAdmission(now time.Duration) {
	a, index := r.admission, r.table.Load()
	if a == nil || index == nil {
		return
	}
	a.reservations.Expire(now)
	for _, service := range index.Table().Services {
		r.observeService(now, service.Name)
	}
}

// observeService lets the limiter of one service learn. The lock is held.
func (r *Router) observeService(now time.Duration, name protocol.Service) {
	a, s := r.admission, r.admission.service(name)
	totals := a.counter.Fleet(now, name)
	s.demandAboveLast = demand.Sum(totals.Arrived) - totals.Arrived[demand.Ranks-1]
	s.part, s.short = partOf(a.counter.Own(now, name), totals), a.counter.IsConstrained(now, name)
	change, changed := s.limiter.Observe(now, totals, r.rateCapacity(name), a.counter.ReportedLimit(now, name))
	if changed {
		s.change, s.unlogged = change, true
	}
	limit := s.limiter.Limit()
	s.allowedLoad = 0
	if limit > 0 {
		s.noteAllowedLoad(r.balancer.LeastSlots(name))
	}
	a.counter.SetLimit(name, limit)
	if limit > 0 {
		a.counter.NoteConstrained(now, name)
	}
	s.forgetOffered(now)
	r.logRateLimit(now, name, s)
}

// noteAllowedLoad takes the load that the rate limit allows on upstreams of at least so many slots.
func (s *limitedService) noteAllowedLoad(slots int) {
	s.allowedLoad = int(math.Ceil(s.limiter.AllowedLoad() * float64(slots)))
}

// partOf returns a router's part of the arrivals at all routers, from 0 to 1.
func partOf(own, all demand.Totals) float64 {
	sum := demand.Sum(all.Arrived)
	if sum == 0 {
		return 0
	}
	return min(demand.Sum(own.Arrived)/sum, 1)
}

// rateCapacity returns what a service's upstreams announce, and their load. The lock is held.
func (r *Router) rateCapacity(service protocol.Service) ratelimit.Capacity {
	return ratelimit.Capacity(r.balancer.Capacity(service))
}

// noteShort records that this router sees a service short of capacity, if its slots are taken.
// Without announced slots there is no rate limit, so that the others needn't know. The lock is held.
func (r *Router) noteShort(now time.Duration, service protocol.Service) {
	at := r.balancer.Capacity(service)
	if at.Slots > 0 && float64(at.InFlight) >= constrainedLoad*float64(at.Slots) {
		r.admission.counter.NoteConstrained(now, service)
	}
}

// logRateLimit writes a line if a service's rate limit has come into force or ended. Of several
// changes within limitLineInterval it logs the last. The lock is held.
func (r *Router) logRateLimit(now time.Duration, name protocol.Service, s *limitedService) {
	if !s.unlogged || now-s.loggedAt < limitLineInterval {
		return
	}
	s.unlogged = false
	if s.change.Limited == s.limited {
		return
	}
	s.limited, s.loggedAt = s.change.Limited, now
	line := r.log.Info().Str("event", "rate-limit-lifted")
	if s.limited {
		line = r.log.Warn().Str("event", "rate-limited").Bool("adopted", s.change.Adopted)
	}
	demand := slices.Clone(s.change.Arrived[:])
	for rank := range demand {
		demand[rank] = rounded(demand[rank])
	}
	line.Str("service", string(name)).Float64("limit", rounded(s.change.Limit)).Int("slots", s.change.Capacity.Slots).
		Int("in_flight", s.change.Capacity.InFlight).Float64("late_share", rounded(s.change.LateShare)).
		Floats64("demand_by_rank", demand).Send()
}

// rounded returns a number with two decimals, for the log.
func rounded(number float64) float64 { return math.Round(100*number) / 100 }

// noteOffered counts a reservation by the second in which it is due.
func (s *limitedService) noteOffered(due time.Duration) { s.offered[int64(due/time.Second)]++ }

// forgetOffered drops the seconds that have passed.
func (s *limitedService) forgetOffered(now time.Duration) {
	maps.DeleteFunc(s.offered, func(second int64, _ int) bool { return second < int64(now/time.Second) })
}
