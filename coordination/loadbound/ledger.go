package loadbound

import (
	"math"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Grant is the ownership of an upstream, as the replicated state gives it.
type Grant struct {
	// Fence grows with every change of owner.
	Fence protocol.Fence
	// Until ends the lease, on the owner's own clock.
	Until time.Duration
	// Capacity is in tokens a second; it must be positive and finite.
	Capacity float64
	// MaxRequests is the most requests the upstream runs at once; 0 means
	// no limit.
	MaxRequests int
	// Reported is the upstream's last report. For a fresh upstream it is
	// zero; after a loss of the former owner it becomes the floor, and must
	// have been made after the former lease ended, or it can miss work.
	Reported upstreamapi.Load
}

// account is the owner's count for one upstream.
type account struct {
	grant Grant
	// running is the exact cost of work admitted under this grant, in
	// tokens, and requests its count.
	running  float64
	requests int
	// inherited is the most work of former owners that can be left, in
	// tokens. It is counted against this upstream, not for the fleet.
	inherited float64
	// reported is the upstream's last report, received at reportedAt.
	reported   float64
	reportedAt time.Duration
	// lowRequests is the fewest requests this owner had running since
	// lowSince; lowBefore is the same for the window before that.
	lowRequests int
	lowBefore   int
	lowSince    time.Duration
	// promise is the load last published less CancelShare, at promisedAt.
	promise    float64
	promisedAt time.Duration
}

// Ledger counts the load of the upstreams that one router owns and holds
// its views of other owners' totals. It is not safe for concurrent use.
type Ledger struct {
	config   Config
	accounts map[protocol.UpstreamID]*account
	views    map[protocol.RouterID]*view
	// order lists the accounts, so that sums are the same in every replay.
	order []*account
	// viewOrder lists the views for the same reason.
	viewOrder []*view
	// capacityFloor is the fleet's capacity by the replicated state.
	capacityFloor float64
	// tickets numbers the tickets, and corrected holds what Correct has added
	// to the cost of running ones.
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

// SetFleetCapacity gives the fleet's capacity in tokens a second as the
// replicated state knows it. A join that other owners' summaries do not show
// yet lowers the mean at once this way, which keeps the mean from being
// overstated while views differ.
func (l *Ledger) SetFleetCapacity(capacity float64) {
	l.capacityFloor = capacity
}

// Own starts or changes a tenure. With a fence not above the one held it only
// extends the lease. It reports false, and changes nothing, for a capacity
// that is not positive and finite or for an old fence.
//
// Failure guarded: the former owner is lost with work on the engine, and the
// new owner, which knows of none, would fill the engine a second time. The
// floor of inherited work counts it until the engine says it has drained.
func (l *Ledger) Own(now time.Duration, id protocol.UpstreamID, grant Grant) bool {
	if !(grant.Capacity > 0) || math.IsInf(grant.Capacity, 0) {
		return false
	}
	held, ok := l.accounts[id]
	if ok && grant.Fence < held.grant.Fence {
		return false
	}
	if ok && grant.Fence == held.grant.Fence {
		held.grant.Until = grant.Until
		held.grant.Capacity = grant.Capacity
		held.grant.MaxRequests = grant.MaxRequests
		return true
	}
	l.Disown(id)
	fresh := &account{
		grant:      grant,
		inherited:  float64(grant.Reported.OutstandingTokens),
		reported:   float64(grant.Reported.OutstandingTokens),
		reportedAt: now,
		lowSince:   now,
		promisedAt: now,
	}
	l.accounts[id] = fresh
	l.order = append(l.order, fresh)
	return true
}

// Disown ends a tenure: the lease was given up or lost.
func (l *Ledger) Disown(id protocol.UpstreamID) {
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

// Reported takes an upstream's own, late count of its load and lowers what
// can be left of inherited work. That is at most the load reported, because
// inherited work only drains; and nothing, once the upstream reports no more
// requests than this owner had running all the while. No guess about the
// length of what is left is made: a single straggler can be nearly all of it.
func (l *Ledger) Reported(now time.Duration, id protocol.UpstreamID, load upstreamapi.Load) {
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

// reportLag is the longest lag of an upstream's report that hand-over counts
// with: two announcements.
const reportLag = 2 * upstreamapi.AnnounceInterval

// rollWindow starts a new window of lowRequests when the old one covers the
// lag of a report.
func (a *account) rollWindow(now time.Duration) {
	if now-a.lowSince < reportLag {
		return
	}
	a.lowBefore = a.lowRequests
	a.lowRequests = a.requests
	a.lowSince = now
}

// Admit decides one ask and counts the request at once when it is admitted.
//
// Load: many routers send to one engine within milliseconds of each other.
// Harm: each alone sees room and together they overload it. The owner decides
// one ask after the other on its exact count, so no two see the same room.
func (l *Ledger) Admit(now time.Duration, id protocol.UpstreamID, ask Ask) Decision {
	decision := l.Judge(now, id, ask)
	if decision.Outcome != Admit {
		return decision
	}
	a := l.accounts[id]
	a.running += ask.Cost
	a.requests++
	decision.Ticket = l.ticket(id, a, ask.Cost)
	return decision
}

// Judge answers an ask without counting it, for a queue that looks for the
// next request to start.
func (l *Ledger) Judge(now time.Duration, id protocol.UpstreamID, ask Ask) Decision {
	a, ok := l.accounts[id]
	if !ok || now >= a.grant.Until {
		return Decision{Outcome: Refuse, Reason: NotOwner}
	}
	if !(ask.Cost > 0) || math.IsInf(ask.Cost, 0) {
		return Decision{Outcome: Refuse, Reason: BadCost}
	}
	return l.judge(now, a, ask)
}

// judge applies the rule of admission without counting the request.
//
// Failure guarded: an owner is lost and its upstreams have none until its
// lease has run out. Their capacity counts and their load is not known, so
// the floor of the mean falls by their share, in a small fleet below what the
// others carry, and none would admit. So the reported mean is taken over the
// part of the fleet that is reported, and an upstream not above it takes one
// more request.
func (l *Ledger) judge(now time.Duration, a *account, ask Ask) Decision {
	load := l.counted(now, a)
	fleet := l.fleet(now)
	l.see(&fleet, load, ask.Seen)
	share := a.grant.Capacity / fleet.capacity
	after := load + ask.Cost
	decision := Decision{Outcome: Admit}
	reportedShare := a.grant.Capacity / fleet.known
	decision.Ratio = after / (reportedShare * (fleet.reported + ask.Cost))
	if a.grant.MaxRequests > 0 && a.requests >= a.grant.MaxRequests {
		return decision.deny(ask, UpstreamFull)
	}
	if load == 0 {
		decision.Reason = Idle
		return decision
	}
	soft := ask.Multiple
	if soft == 0 || soft > l.config.Multiple || ask.Final {
		soft = l.config.Multiple
	}
	// The hard bound uses the floor of the mean and always holds. The soft
	// one is a preference, so the freshest figure serves it better.
	within := after <= l.config.Multiple*share*(fleet.floor+ask.Cost)
	if within && (ask.Final || decision.Ratio <= soft) {
		decision.Reason = WithinBound
		return decision
	}
	if ask.Final && load <= reportedShare*fleet.reported {
		decision.Reason = OneOver
		return decision
	}
	if within {
		return decision.deny(ask, OverSoftBound)
	}
	return decision.deny(ask, OverBound)
}

// see takes in what the asker has just heard from other owners.
//
// Failure guarded: requests come faster than totals are exchanged, as in any
// small fleet. The upstream that has the least work turns a request away,
// because its owner doesn't know yet what the others took a moment ago, and
// callers wait for an exchange while engines idle.
func (l *Ledger) see(fleet *fleetView, load, seen float64) {
	if !(seen > 0) || math.IsInf(seen, 0) {
		return
	}
	fleet.floor = max(fleet.floor, load+(1-l.config.CancelShare)*seen)
	fleet.reported = max(fleet.reported, load+seen)
}

// deny turns a decision into Spill, or into Queue for a final ask.
func (d Decision) deny(ask Ask, reason Reason) Decision {
	d.Reason = reason
	d.Outcome = Spill
	if ask.Final {
		d.Outcome = Queue
	}
	return d
}

// Resume counts a request that an entry router had running on the upstream
// through a former owner, and that it now relays through this one. It is
// never turned away, because its work is on the engine already; it replaces
// its part of the inherited floor. Each request is resumed once a tenure.
//
// Failure guarded: after an owner's loss the engine's own report is all that
// its successor knows. Counted until it drained, beside new work, it held
// engines back for a minute; the entries' own counts settle it at once.
func (l *Ledger) Resume(now time.Duration, id protocol.UpstreamID, cost float64) (Ticket, bool) {
	a, ok := l.accounts[id]
	if !ok || now >= a.grant.Until || !(cost > 0) || math.IsInf(cost, 0) {
		return Ticket{}, false
	}
	a.running += cost
	a.requests++
	a.inherited = math.Max(0, a.inherited-cost)
	return l.ticket(id, a, cost), true
}

// ticket numbers a request that was counted.
func (l *Ledger) ticket(id protocol.UpstreamID, a *account, cost float64) Ticket {
	l.tickets++
	return Ticket{Upstream: id, Fence: a.grant.Fence, Cost: cost, ID: l.tickets}
}

// Correct changes the cost of a running request once more is known of it.
//
// Failure guarded: a long prompt is admitted as cached an instant after the
// engine evicted it. Its upstream counts too low for as long as it runs, and
// takes more requests above the bound.
func (l *Ledger) Correct(ticket Ticket, cost float64) {
	a, ok := l.accounts[ticket.Upstream]
	if !ok || a.grant.Fence != ticket.Fence || !(cost > 0) || math.IsInf(cost, 0) {
		return
	}
	extra := cost - ticket.Cost
	a.running += extra - l.corrected[ticket.ID]
	l.corrected[ticket.ID] = extra
}

// Finish takes a request off the count: its answer ended, was cancelled, or
// was handed to another upstream. A ticket of an earlier tenure is ignored,
// because the floor of inherited work counts that request.
func (l *Ledger) Finish(now time.Duration, ticket Ticket) {
	extra := l.corrected[ticket.ID]
	delete(l.corrected, ticket.ID)
	a, ok := l.accounts[ticket.Upstream]
	if !ok || a.grant.Fence != ticket.Fence {
		return
	}
	if a.requests == 0 {
		panic("loadbound: every ticket is finished once: more finished than admitted")
	}
	a.rollWindow(now)
	a.running -= ticket.Cost + extra
	a.requests--
	if a.requests == 0 {
		// Sums of floats do not cancel exactly; no work is exactly none.
		a.running = 0
	}
	a.lowRequests = min(a.lowRequests, a.requests)
}

// Load returns the counted load of an owned upstream in tokens and its
// running requests.
func (l *Ledger) Load(now time.Duration, id protocol.UpstreamID) (tokens float64, requests int, ok bool) {
	a, ok := l.accounts[id]
	if !ok {
		return 0, 0, false
	}
	return l.counted(now, a), a.requests, true
}

// counted is the load that the upstream's own bound is kept over: never less
// than the truth. It is work running here, what can be left of inherited
// work, and never less than the line other owners count with.
func (l *Ledger) counted(now time.Duration, a *account) float64 {
	return math.Max(a.running+a.inherited, l.promised(now, a))
}

// contributed is what the upstream adds to the fleet's total: never more than
// the truth, but for the line other owners count with.
//
// Failure guarded: an engine changes owner, and the most that can be left of
// its old work is counted beside the new for some ten seconds. Added to the
// fleet's total it would raise the mean for all others, who would overfill
// their engines. Only work known to run is added: the owner's own, or the
// engine's last report less what can have drained since.
func (l *Ledger) contributed(now time.Duration, a *account) float64 {
	known := a.running
	if a.inherited > 0 {
		age := (now - a.reportedAt + reportLag).Seconds()
		left := a.reported - l.config.DrainFactor*a.grant.Capacity*age
		known = math.Max(known, math.Min(left, a.running+a.inherited))
	}
	return math.Max(known, l.promised(now, a))
}

// promised is the line below which an upstream's counted load does not fall.
//
// Failure guarded: a customer cancels a third of all requests at once. Other
// owners still count with the old total, whose mean is now too high, and
// overfill their engines for as long as their views are old. Keeping the
// vanished work counted here at the slope they assume makes both sides count
// the same total.
func (l *Ledger) promised(now time.Duration, a *account) float64 {
	drained := l.config.DrainFactor * a.grant.Capacity * (now - a.promisedAt).Seconds()
	return math.Max(0, a.promise-drained)
}
