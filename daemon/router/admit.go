package router

import (
	"math"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/capacity"
	"endiveplank/coordination/demand"
	"endiveplank/coordination/loadlimit"
	"endiveplank/coordination/ratelimit"
	"endiveplank/coordination/retryschedule"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/forward"
)

// rankOf returns the rank by which a request is counted.
func rankOf(job forward.Job) int { return demand.RankOf(job.Priority) }

// admitByRate counts the first attempt of a request, and returns the rank that it counts for and by
// which figures it is refused for the rate limit of its service, nil if it isn't. A stream that a
// caller takes up again is never refused: the work that was done for it would be lost. The lock is
// held.
func (r *Router) admitByRate(now time.Duration, job forward.Job) (int, *balance.RateRefusal) {
	a, rank := r.admission, rankOf(job)
	if a == nil {
		return rank, nil
	}
	match := a.match(now, job)
	if match == retryschedule.Due || match == retryschedule.Returning {
		a.reservations.Consume(now, job.Digest)
	}
	if match == retryschedule.Returning {
		// It will be answered late, so it counts as the least urgent.
		rank = demand.Ranks - 1
	}
	a.counter.Arrived(now, job.Service, rank, job.Customer)
	if job.TakenUp || a.limit(now, job.Service) == 0 {
		return rank, nil
	}
	decision, cause := r.decideByRate(now, job, rank, match)
	if cause == "" {
		r.metrics.countReservationKept(match == retryschedule.Due)
		return rank, nil
	}
	r.metrics.countRateRefusal(rank)
	a.counter.NoteConstrained(now, job.Service)
	return rank, &balance.RateRefusal{
		Rank: rank, Limit: decision.Limit, Demand: decision.Demand, Share: decision.Share, Wait: decision.Wait, Cause: cause,
	}
}

// match returns whether a request was refused before and is expected. Requests without a body can't
// be told from others of the same customer.
func (a *admission) match(now time.Duration, job forward.Job) retryschedule.Match {
	if !job.HasBody {
		return retryschedule.None
	}
	match, _ := a.reservations.Match(now, job.Digest)
	return match
}

// decideByRate returns the decision about a request and why it is refused, "" if it is admitted. A
// request that comes before its reservation is due is refused, and the limiter doesn't count it.
func (r *Router) decideByRate(now time.Duration, job forward.Job, rank int, match retryschedule.Match) (ratelimit.Decision, balance.RateCause) {
	limiter := r.admission.service(job.Service).limiter
	request := ratelimit.Request{
		Rank: rank, Customer: job.Customer, Remaining: job.Remaining, Reserved: match == retryschedule.Due,
	}
	if match == retryschedule.Early {
		return limiter.Inspect(request), balance.CauseEarly
	}
	decision := limiter.Admit(now, r.random.Float64(), request)
	return decision, causeOf(decision)
}

// causeOf returns why a decision refuses a request, "" if it admits it.
func causeOf(decision ratelimit.Decision) balance.RateCause {
	switch {
	case decision.Admitted:
		return ""
	case decision.Reason == ratelimit.ReasonTooLate:
		return balance.CauseWait
	case decision.Reason == ratelimit.ReasonOutlier:
		return balance.CauseOutlier
	}
	return balance.CauseShare
}

// slowness returns how many times as long as usual work takes on an upstream by its own reports, nil
// unless these are used and the service is short of capacity. The lock is held.
func (r *Router) slowness(now time.Duration, service protocol.Service) func(protocol.UpstreamID) float64 {
	a := r.admission
	if a == nil || a.reports == nil || a.services[service] == nil || !a.services[service].short {
		return nil
	}
	return func(id protocol.UpstreamID) float64 { return a.reports.Slowness(now, id) }
}

// loadLimit returns the load from which on upstreams don't get a request that was never sent. While
// a rate limit is in force it has its headroom for all requests, as customers' shares are judged
// over all routers, and is drawn at random around the service's. The lock is held.
func (r *Router) loadLimit(now time.Duration, job forward.Job, first bool) int {
	limiter := r.limiter(job.Service)
	limit := limiter.LimitFor
	if first {
		limit = limiter.Arrived
	}
	// Arrived also counts the request, so it is called even where its result isn't used.
	own := limit(now, job.Customer)
	if r.admission.limit(now, job.Service) > 0 {
		return spread(limiter.AdmittedLimit(now, r.admission.services[job.Service].allowedLoad), r.random.Float64())
	}
	return own
}

// noteChoice counts a first attempt that was admitted, and a request that found no capacity. The lock is held.
func (r *Router) noteChoice(now time.Duration, job forward.Job, choice balance.Choice) {
	switch {
	case r.admission == nil:
	case choice.First && choice.ID != "":
		r.admission.counter.Admitted(now, job.Service, choice.Rank, job.Customer)
	case choice.Reason == balance.ReasonNoCapacity:
		r.noteShort(now, job.Service)
	}
}

// noteAnswer counts an answer. The lock is held.
func (r *Router) noteAnswer(now time.Duration, job forward.Job, inTime bool) {
	if r.admission == nil {
		return
	}
	r.admission.counter.Answered(now, job.Service, inTime)
	if !inTime {
		r.noteShort(now, job.Service)
	}
}

// noteRejection takes back the admission of a first attempt that an upstream has rejected. The lock is
// held.
func (r *Router) noteRejection(now time.Duration, job forward.Job, choice balance.Choice, head dialect.Answer) {
	if r.admission != nil && choice.First && head.NotRun {
		r.admission.counter.Rejected(now, job.Service, choice.Rank, job.Customer)
	}
}

// noteReportedLoad takes what an upstream reports of its load in the head of an answer, which took
// so long to begin. The lock is held.
func (r *Router) noteReportedLoad(
	now time.Duration, job forward.Job, choice balance.Choice, head dialect.Answer, took time.Duration,
) {
	if r.admission == nil || r.admission.reports == nil || head.Load == nil {
		return
	}
	all, _ := r.balancer.Load(choice.ID)
	observation := capacity.Observation{
		Upstream: choice.ID, StartedAt: choice.StartedAt, Load: *head.Load,
		// The request that was answered is still in flight here.
		InFlight: max(r.balancer.OwnInFlight(choice.ID)-1, 0), FleetInFlight: max(all-1, 0),
	}
	if took > 0 && !head.NotRun && choice.Proxy == "" && !answerKind(job, choice).Cold {
		observation.Kind, observation.Took = job.Route.Name, took
	}
	r.metrics.countReportedLoad(r.admission.reports.Observe(now, observation))
}

// ScheduleRetry implements forward.Fleet.
func (r *Router) ScheduleRetry(job forward.Job) (forward.RetryOffer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, a := r.now(), r.admission
	if a.limit(now, job.Service) == 0 {
		return forward.RetryOffer{}, false
	}
	if match, left := a.reservations.Match(now, job.Digest); job.HasBody && match == retryschedule.Early {
		return forward.RetryOffer{After: left, Reserved: true}, true
	}
	refused := retryschedule.Refused{
		Digest: job.Digest, Rank: rankOf(job), Objective: job.Route.Objective, Remaining: job.Remaining,
	}
	available := a.retryCapacity(now, job.Service)
	// A part of 0 offers no room: the request gets a Retry-After and no reservation.
	if job.Unreserved {
		available.Part = 0
	}
	offer := a.service(job.Service).schedule.Offer(now, r.random.Float64(), refused, available)
	if !job.HasBody || !a.reservations.Add(now, offer.Reservation) {
		offer.Reserved = false
	}
	if offer.Reserved {
		r.metrics.count("reservations_total")
		a.service(job.Service).noteOffered(offer.Reservation.Due)
	}
	return forward.RetryOffer{After: offer.RetryAfter, Reserved: offer.Reserved}, true
}

// loadSpread is the largest relative difference between a request's load limit and the service's.
const loadSpread = 0.25

// spread returns the load limit of a request, which is drawn around the service's. With the same limit
// for all requests, routers whose limit is a little lower than the others' would get none through.
func spread(limit int, random float64) int {
	if limit == loadlimit.Unlimited {
		return limit
	}
	return max(1, int(math.Round(float64(limit)*(1+loadSpread*(2*random-1)))))
}
