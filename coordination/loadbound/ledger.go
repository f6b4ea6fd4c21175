package loadbound

import (
	"math"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Grant is the ownership of an upstream as the replicated state grants it.
type Grant struct {
	// Fence grows with every change of owner.
	Fence protocol.Fence
	// ExpiresAt is the end of the lease on the owner's own clock.
	ExpiresAt time.Duration
	// Capacity is in tokens a second; it must be positive and finite.
	Capacity float64
	// MaxRequests is the most requests the upstream runs at once; 0 means
	// no limit.
	MaxRequests int
	// Reported is the upstream's last report. For a new upstream it is zero;
	// after the loss of the former owner it becomes the inherited work, and
	// must have been made after the former lease ended, or it can miss work.
	Reported upstreamapi.Load
}

// account is the owner's count for one upstream.
type account struct {
	grant Grant
	// running is the exact cost of work admitted under this grant, in
	// tokens, and requests its count.
	running  float64
	requests int
	// inherited is the most work of former owners that can be left, in tokens.
	// It counts towards the load of this upstream, but not towards the fleet's.
	inherited float64
	// reported is the upstream's last report, received at reportedAt.
	reported   float64
	reportedAt time.Duration
	// lowRequests is the lowest number of requests that this owner had running
	// since lowSince; lowBefore is the same for the window before that.
	lowRequests int
	lowBefore   int
	lowSince    time.Duration
	// publishedFloor is the load last published, less CancelShare, and
	// publishedAt the time of that summary.
	publishedFloor float64
	publishedAt    time.Duration
}

// Ledger counts the load of the upstreams that one router owns and keeps its
// views of other owners' totals. It is not safe for concurrent use.
type Ledger struct {
	config   Config
	accounts map[protocol.UpstreamID]*account
	views    map[protocol.RouterID]*view
	// order lists the accounts in a fixed order, so that sums are the same in
	// every replay.
	order []*account
	// viewOrder lists the views for the same reason.
	viewOrder []*view
	// capacityFloor is the fleet's capacity in the replicated state.
	capacityFloor float64
	// tickets is the ID of the last ticket, and corrected holds what Correct
	// has added to the cost of each running request.
	tickets   uint64
	corrected map[uint64]float64
}

// NewLedger returns an empty ledger. It panics when config.Check fails.
func NewLedger(config Config) *Ledger {
	if err := config.Check(); err != nil {
		panic("loadbound: settings must be checked before use: " + err.Error())
	}
	return &Ledger{
		config:   config,
		accounts: make(map[protocol.UpstreamID]*account),
		views:    make(map[protocol.RouterID]*view),

		corrected: make(map[uint64]float64),
	}
}

// SetFleetCapacity sets the fleet's capacity in tokens a second according to
// the replicated state. So an upstream that joins lowers the mean at once, even
// if other owners' summaries don't include it yet, and the mean isn't
// overstated while views differ.
func (l *Ledger) SetFleetCapacity(capacity float64) {
	l.capacityFloor = capacity
}

// Acquire starts a term as owner of an upstream or changes it. With the fence
// already held it only updates the lease, the capacity and the request limit.
// It returns false, and changes nothing, if the capacity is not positive and
// finite or the fence is older than the one held.
//
// Failure guarded against: the former owner is lost while the engine runs its
// work, and the new owner, which doesn't know of that work, fills the engine a
// second time. The inherited work is counted until the engine reports that it
// has drained.
func (l *Ledger) Acquire(now time.Duration, id protocol.UpstreamID, grant Grant) bool {
	if !(grant.Capacity > 0) || math.IsInf(grant.Capacity, 0) {
		return false
	}
	held, ok := l.accounts[id]
	if ok && grant.Fence < held.grant.Fence {
		return false
	}
	if ok && grant.Fence == held.grant.Fence {
		held.grant.ExpiresAt = grant.ExpiresAt
		held.grant.Capacity = grant.Capacity
		held.grant.MaxRequests = grant.MaxRequests
		return true
	}
	l.Release(id)
	fresh := &account{
		grant:       grant,
		inherited:   float64(grant.Reported.OutstandingTokens),
		reported:    float64(grant.Reported.OutstandingTokens),
		reportedAt:  now,
		lowSince:    now,
		publishedAt: now,
	}
	l.accounts[id] = fresh
	l.order = append(l.order, fresh)
	return true
}

// Release ends a term as owner of an upstream: the lease was given up or lost.
func (l *Ledger) Release(id protocol.UpstreamID) {
	held, ok := l.accounts[id]
	if !ok {
		return
	}
	delete(l.accounts, id)
	for i, a := range l.order {
		if a == held {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

// HandleReport takes an upstream's own count of its load, which is late, and
// lowers the inherited work that can be left. At most the reported load can be
// left, because inherited work only drains. Nothing is left once the upstream
// reports no more requests than this owner had running during the report's lag.
// The number of remaining requests is not used to estimate the work left: a
// single long request can be nearly all of it.
func (l *Ledger) HandleReport(now time.Duration, id protocol.UpstreamID, load upstreamapi.Load) {
	a, ok := l.accounts[id]
	if !ok || a.inherited == 0 {
		return
	}
	a.reported = float64(load.OutstandingTokens)
	a.reportedAt = now
	a.rollWindow(now)
	a.inherited = math.Min(a.inherited, a.reported)
	if load.Running+load.Waiting <= min(a.lowRequests, a.lowBefore) {
		a.inherited = 0
	}
}

// reportLag is the longest assumed lag of an upstream's report: two
// announcement intervals.
const reportLag = 2 * upstreamapi.AnnounceInterval

// rollWindow starts a new window of lowRequests when the old one covers the lag
// of a report.
func (a *account) rollWindow(now time.Duration) {
	if now-a.lowSince < reportLag {
		return
	}
	a.lowBefore = a.lowRequests
	a.lowRequests = a.requests
	a.lowSince = now
}

// Admit decides about one request and counts it at once if it is admitted.
//
// Failure guarded against: many routers send to one engine within milliseconds
// of each other, each alone sees free capacity, and together they overload the
// engine. The owner decides one request after the other on its exact count, so
// no two requests are admitted to the same free capacity.
func (l *Ledger) Admit(now time.Duration, id protocol.UpstreamID, request Request) Decision {
	decision := l.Evaluate(now, id, request)
	if decision.Outcome != Admit {
		return decision
	}
	a := l.accounts[id]
	a.running += request.Cost
	a.requests++
	decision.Ticket = l.ticket(id, a, request.Cost)
	return decision
}

// Evaluate decides about a request without counting it, for a queue that looks
// for the next request to start.
func (l *Ledger) Evaluate(now time.Duration, id protocol.UpstreamID, request Request) Decision {
	a, ok := l.accounts[id]
	if !ok || now >= a.grant.ExpiresAt {
		return Decision{Outcome: Refuse, Reason: NotOwner}
	}
	if !(request.Cost > 0) || math.IsInf(request.Cost, 0) {
		return Decision{Outcome: Refuse, Reason: BadCost}
	}
	return l.evaluate(now, a, request)
}

// evaluate applies the admission rule without counting the request.
//
// Failure guarded against: an owner is lost, and its upstreams have no owner
// until its lease has expired. Their capacity counts but their load is unknown,
// so the floor of the mean falls by their share. In a small fleet it falls
// below the load of the other upstreams, none of which would admit a request.
// So the reported mean is taken over the part of the fleet that is reported,
// and an upstream not above it admits one more request.
func (l *Ledger) evaluate(now time.Duration, a *account, request Request) Decision {
	load := l.countedLoad(now, a)
	fleet := l.fleet(now)
	l.applyOthersLoad(&fleet, load, request.OthersLoad)
	share := a.grant.Capacity / fleet.capacity
	after := load + request.Cost
	decision := Decision{Outcome: Admit}
	reportedShare := a.grant.Capacity / fleet.reportedCapacity
	decision.Ratio = after / (reportedShare * (fleet.reported + request.Cost))
	if a.grant.MaxRequests > 0 && a.requests >= a.grant.MaxRequests {
		return decision.deny(request, UpstreamFull)
	}
	if load == 0 {
		decision.Reason = Idle
		return decision
	}
	soft := request.Multiple
	if soft == 0 || soft > l.config.Multiple || request.Final {
		soft = l.config.Multiple
	}
	// The hard bound uses the floor of the mean and always holds. The soft
	// bound is a preference, so it uses the latest reported mean.
	within := after <= l.config.Multiple*share*(fleet.floor+request.Cost)
	if within && (request.Final || decision.Ratio <= soft) {
		decision.Reason = WithinBound
		return decision
	}
	if request.Final && load <= reportedShare*fleet.reported {
		decision.Reason = OneOver
		return decision
	}
	if within {
		return decision.deny(request, OverSoftBound)
	}
	return decision.deny(request, OverBound)
}

// applyOthersLoad raises the fleet's load by what the entry router has just
// learned from other owners.
//
// Failure guarded against: requests arrive faster than totals are exchanged, as
// in any small fleet. The upstream with the least work turns a request away,
// because its owner doesn't know yet what the others admitted a moment ago, and
// callers wait for an exchange while engines idle.
func (l *Ledger) applyOthersLoad(fleet *fleetView, load, others float64) {
	if !(others > 0) || math.IsInf(others, 0) {
		return
	}
	fleet.floor = max(fleet.floor, load+(1-l.config.CancelShare)*others)
	fleet.reported = max(fleet.reported, load+others)
}

// deny turns a decision into Spill, or into Queue for a final query.
func (d Decision) deny(request Request, reason Reason) Decision {
	d.Reason = reason
	d.Outcome = Spill
	if request.Final {
		d.Outcome = Queue
	}
	return d
}

// Resume counts a request that an entry router had running on the upstream
// through a former owner and now relays through this one. It is never turned
// away, because the engine already runs it; it replaces its part of the
// inherited work. Each request is resumed once a term.
//
// Failure guarded against: after the loss of an owner, its successor knows only
// the engine's own report. When that load counted beside new work until it had
// drained, it kept engines underused for a minute; the counts of the entry
// routers replace it at once.
func (l *Ledger) Resume(now time.Duration, id protocol.UpstreamID, cost float64) (Ticket, bool) {
	a, ok := l.accounts[id]
	if !ok || now >= a.grant.ExpiresAt || !(cost > 0) || math.IsInf(cost, 0) {
		return Ticket{}, false
	}
	a.running += cost
	a.requests++
	a.inherited = math.Max(0, a.inherited-cost)
	return l.ticket(id, a, cost), true
}

// ticket returns a new ticket for a request that was counted.
func (l *Ledger) ticket(id protocol.UpstreamID, a *account, cost float64) Ticket {
	l.tickets++
	return Ticket{Upstream: id, Fence: a.grant.Fence, Cost: cost, ID: l.tickets}
}

// Correct changes the cost of a running request when more is known about it.
//
// Failure guarded against: a long prompt is admitted as cached just after the
// engine evicted it. Its upstream's count would be too low for as long as the
// request runs, and the upstream would take more requests above the bound.
func (l *Ledger) Correct(ticket Ticket, cost float64) {
	a, ok := l.accounts[ticket.Upstream]
	if !ok || a.grant.Fence != ticket.Fence || !(cost > 0) || math.IsInf(cost, 0) {
		return
	}
	extra := cost - ticket.Cost
	a.running += extra - l.corrected[ticket.ID]
	l.corrected[ticket.ID] = extra
}

// Finish removes a request from the count: its answer ended, was cancelled, or
// moved to another upstream. A ticket of an earlier term is ignored, because
// the inherited work counts that request.
func (l *Ledger) Finish(now time.Duration, ticket Ticket) {
	extra := l.corrected[ticket.ID]
	delete(l.corrected, ticket.ID)
	a, ok := l.accounts[ticket.Upstream]
	if !ok || a.grant.Fence != ticket.Fence {
		return
	}
	if a.requests == 0 {
		panic("loadbound: more tickets finished than requests admitted: each ticket must be finished once")
	}
	a.rollWindow(now)
	a.running -= ticket.Cost + extra
	a.requests--
	if a.requests == 0 {
		// Sums of floats don't cancel exactly, but without requests the
		// running work is zero.
		a.running = 0
	}
	a.lowRequests = min(a.lowRequests, a.requests)
}

// Load returns the counted load of an owned upstream in tokens and its number
// of running requests.
func (l *Ledger) Load(now time.Duration, id protocol.UpstreamID) (tokens float64, requests int, ok bool) {
	a, ok := l.accounts[id]
	if !ok {
		return 0, 0, false
	}
	return l.countedLoad(now, a), a.requests, true
}

// countedLoad is the load to which the upstream's own bound applies: never less
// than the true load. It is the work running here plus the inherited work that
// can be left, and never less than the published floor that other owners
// assume.
func (l *Ledger) countedLoad(now time.Duration, a *account) float64 {
	return math.Max(a.running+a.inherited, l.drainedFloor(now, a))
}

// contributedLoad is what the upstream adds to the fleet's total: never more
// than the true load, except for the published floor that other owners assume.
//
// Failure guarded against: an engine changes owner, and the most that can be
// left of its old work is counted beside the new work for some ten seconds.
// Added to the fleet's total it would raise the mean for all other owners, who
// would overfill their engines. So only work known to run is added: the owner's
// own, or the engine's last report less what can have drained since.
func (l *Ledger) contributedLoad(now time.Duration, a *account) float64 {
	known := a.running
	if a.inherited > 0 {
		age := (now - a.reportedAt + reportLag).Seconds()
		left := a.reported - l.config.DrainFactor*a.grant.Capacity*age
		known = math.Max(known, math.Min(left, a.running+a.inherited))
	}
	return math.Max(known, l.drainedFloor(now, a))
}

// drainedFloor is the published floor less what the engine can have drained
// since: the load that other owners assume. The upstream's counted load does
// not fall below it.
//
// Failure guarded against: a customer cancels a third of all requests at once.
// Other owners still count with the old total, whose mean is now too high, and
// overfill their engines for as long as their views are old. Because the
// cancelled work stays counted here and decreases at the rate that they assume,
// both sides count the same total.
func (l *Ledger) drainedFloor(now time.Duration, a *account) float64 {
	drained := l.config.DrainFactor * a.grant.Capacity * (now - a.publishedAt).Seconds()
	return math.Max(0, a.publishedFloor-drained)
}
