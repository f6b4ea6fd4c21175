package limits

import (
	"math"
	"time"

	"endiveplank/protocol"
)

// Home keeps the accounts of the customers whose limits this router manages for
// the fleet. It handles up to some tens of credit requests per second.
//
// It prevents a customer from getting its whole limit from each router: it
// takes credit out of the customer's one bucket before it grants the credit.
type Home struct {
	config   Config
	accounts map[customerKey]*account
	limits   map[customerKey]Limit
}

// account is the home's account of one customer.
type account struct {
	createdAt     time.Duration
	tokens        bucket
	requests      bucket
	routers       map[protocol.RouterID]*routerAccount
	slots         int // sum over routers
	period        time.Duration
	periodUpdated time.Duration // when period was last computed
}

// routerAccount is what the home knows of one router for one customer.
type routerAccount struct {
	incarnation uint32
	sequence    uint32
	lastRequest time.Duration
	slots       int
	slotsUntil  time.Duration
	tokens      demandRate
	requests    demandRate
}

// NewHome returns a home with the customers' limits.
func NewHome(config Config, table map[protocol.CustomerID]Limit) *Home {
	h := &Home{config: config, accounts: make(map[customerKey]*account)}
	h.SetLimits(table)
	return h
}

// SetLimits replaces the limits after a change of the customers table.
func (h *Home) SetLimits(table map[protocol.CustomerID]Limit) {
	h.limits = make(map[customerKey]Limit, len(table))
	for customer, limit := range table {
		h.limits[keyOf(customer)] = limit
	}
}

// HandleRequest grants as much of the requested credit as the accounts allow.
// It returns no entry for an unknown customer, or for an entry that repeats an
// earlier sequence number.
func (h *Home) HandleRequest(now time.Duration, from protocol.RouterID, request CreditRequest) CreditGrant {
	var grant CreditGrant
	for _, entry := range request.Entries {
		limit, ok := h.limits[entry.Customer]
		if !ok {
			continue
		}
		a := h.account(now, entry.Customer)
		router := a.routerAccount(now, from)
		if !router.isNewer(request.Incarnation, entry.Sequence) {
			continue
		}
		granted := CreditGrantEntry{Customer: entry.Customer, Sequence: entry.Sequence}
		h.grantSlots(now, a, router, limit, entry, &granted)
		h.grantRates(now, a, router, limit, entry, &granted)
		router.lastRequest = now
		grant.Entries = append(grant.Entries, granted)
	}
	return grant
}

// account returns the customer's account. A new one starts with empty buckets,
// because this router can't know what an earlier home has granted.
func (h *Home) account(now time.Duration, key customerKey) *account {
	a := h.accounts[key]
	if a == nil {
		a = &account{createdAt: now, routers: make(map[protocol.RouterID]*routerAccount), period: h.config.MinPeriod}
		for _, b := range []*bucket{&a.tokens, &a.requests} {
			b.updated = now
			b.demand.updated = now
		}
		h.accounts[key] = a
	}
	h.setPeriod(now, a)
	return a
}

// setPeriod chooses the period by the number of routers that recently requested
// credit, so that the home sends at most Config.GrantsPerSecond grants a second
// for one customer. It also removes routers that have requested none for long.
func (h *Home) setPeriod(now time.Duration, a *account) {
	if now-a.periodUpdated < time.Second {
		return
	}
	a.periodUpdated = now
	active := 0
	for id, router := range a.routers {
		if now-router.lastRequest < 2*h.config.MaxPeriod {
			active++
		} else if router.slots == 0 && now-router.lastRequest > forgetRouterAfter {
			delete(a.routers, id)
		}
	}
	spread := time.Duration(float64(active) / h.config.GrantsPerSecond * float64(time.Second))
	a.period = min(max(spread, h.config.MinPeriod), h.config.MaxPeriod)
}

// forgetRouterAfter is how long a router without slots is remembered after its
// last request. It is longer than any message can be delayed, so that a late
// duplicate is recognised.
const forgetRouterAfter = 10 * time.Minute

func (a *account) routerAccount(now time.Duration, router protocol.RouterID) *routerAccount {
	found := a.routers[router]
	if found == nil {
		found = &routerAccount{lastRequest: now, tokens: demandRate{updated: now}, requests: demandRate{updated: now}}
		a.routers[router] = found
	}
	return found
}

// isNewer reports whether a request is newer than all earlier ones of this
// router, and records it. Otherwise a duplicated request would be granted
// twice.
func (r *routerAccount) isNewer(incarnation, sequence uint32) bool {
	if incarnation < r.incarnation || incarnation == r.incarnation && sequence <= r.sequence {
		return false
	}
	r.incarnation = incarnation
	r.sequence = sequence
	return true
}

// grantRates grants tokens and requests together, since a request needs both.
func (h *Home) grantRates(now time.Duration, a *account, router *routerAccount, limit Limit, entry CreditRequestEntry, granted *CreditGrantEntry) {
	tokens := a.tokens.offer(now, a.period, &router.tokens, limit.TokensPerSecond, entry.SeenTokens, entry.WantTokens)
	requests := a.requests.offer(now, a.period, &router.requests, limit.RequestsPerSecond, entry.SeenRequests, entry.WantRequests)
	granted.PeriodSeconds = uint16(a.period / time.Second)
	granted.RetryMillis = uint32(max(tokens.retry, requests.retry) / time.Millisecond)
	if tokens.denied || requests.denied {
		return
	}
	a.tokens.level -= tokens.grant
	a.requests.level -= requests.grant
	granted.Tokens = uint32(tokens.grant)
	granted.Requests = uint32(requests.grant)
}

// bucket is the account of one rate: a token bucket and the demand for it. One
// grant may overdraw the bucket, so that a request larger than the burst can be
// admitted at all.
type bucket struct {
	level   float64
	updated time.Duration
	demand  demandRate
}

// demandRate measures demand per second: a sum that decays over demandWindow,
// and the time span in seconds that the sum covers.
type demandRate struct {
	sum     float64
	span    float64
	updated time.Duration
}

// demandWindow is the time constant of the demand, in seconds.
const demandWindow = 30.0

// advance decays the sum to now.
func (d *demandRate) advance(now time.Duration) {
	keep := math.Exp(-(now - d.updated).Seconds() / demandWindow)
	d.updated = now
	d.sum *= keep
	d.span = max(d.span*keep+demandWindow*(1-keep), 1)
}

// perSecond returns the rate at the time of the last advance.
func (d *demandRate) perSecond() float64 { return d.sum / d.span }

// offerResult is what a bucket would grant.
type offerResult struct {
	grant  float64
	retry  time.Duration // how long the grant must last, or the wait after a denial
	denied bool
}

// offer computes a grant for a router. seen is the demand at that router since
// its last request, wanted the part of it that waits for credit, and router the
// router's rate of demand.
//
// While the fleet's demand is within the limit, a router is granted its own
// demand for a period ahead, with a margin. When the demand exceeds the limit,
// the router is granted a share in proportion to its demand, a little more or
// less as the bucket's level is above or below zero, and learns how long the
// grant must last, so that it sends only one request in that time. In both
// cases, a bucket whose level is too low grants nothing.
//
// The waiting work doesn't count as demand of the time before, because it is
// the reason for this request: a router that receives one request an hour from
// a customer would otherwise seem to need a period's worth of such requests.
func (b *bucket) offer(now, period time.Duration, router *demandRate, rate float64, seen, wanted uint32) offerResult {
	if rate <= 0 {
		return offerResult{grant: float64(seen) + float64(wanted)}
	}
	depth := rate * max(minDepth, period/4).Seconds()
	b.refill(now, rate, depth)
	b.demand.advance(now)
	b.demand.sum += float64(seen)
	router.advance(now)
	router.sum += max(0, float64(seen)-float64(wanted))
	own := router.perSecond()
	router.sum += min(float64(seen), float64(wanted))
	fraction := min(1, rate/max(b.demand.perSecond(), rate))
	minLevel := 0.0
	if fraction < 1 {
		minLevel = -depth
		fraction = min(1, fraction*(1+b.level/(2*depth)))
	}
	if b.level <= minLevel {
		wait := time.Duration((minLevel - b.level) / rate * float64(time.Second))
		return offerResult{denied: true, retry: wait + period/8}
	}
	ahead := own * fraction * period.Seconds()
	if fraction == 1 {
		ahead = max(0, min(ahead*demandMargin, b.level/levelDivisor))
	}
	grant := math.Floor(max(float64(wanted), ahead))
	if fraction == 1 || own == 0 {
		return offerResult{grant: grant}
	}
	lasts := min(grant/(own*fraction), period.Seconds())
	return offerResult{grant: grant, retry: time.Duration(lasts * float64(time.Second))}
}

const (
	// demandMargin covers the ordinary changes of a router's demand over a
	// period.
	demandMargin = 1.25
	// levelDivisor limits the credit that is granted in advance to a quarter of
	// the bucket's level, so that the first of many routers doesn't take the
	// credit that the other routers' callers wait for.
	levelDivisor = 4
	// minDepth is the minimum depth of a bucket, as the time in which its rate
	// fills it.
	minDepth = 2 * time.Second
)

// refill adds the credit for the time since the last refill. The bucket holds
// two seconds of the limit, or a quarter of the period where that is longer,
// because a grant takes the credit of a whole period at once.
func (b *bucket) refill(now time.Duration, rate, depth float64) {
	elapsed := (now - b.updated).Seconds()
	b.updated = now
	b.level = min(b.level+rate*elapsed, depth)
}

// grantSlots sets how many slots the router holds: as many as it wants if
// enough are free, otherwise those it has plus the free ones. A home that is
// new to the customer grants no more slots than the routers report to hold
// until the leases of the earlier home have run out; otherwise it would lease
// the same slots twice.
func (h *Home) grantSlots(now time.Duration, a *account, router *routerAccount, limit Limit, entry CreditRequestEntry, granted *CreditGrantEntry) {
	if limit.Concurrent <= 0 {
		return
	}
	a.expire(now)
	wanted := int(entry.WantSlots)
	if now-a.createdAt < h.config.SlotTTL {
		wanted = min(wanted, int(entry.HeldSlots))
	}
	a.slots -= router.slots
	free := max(0, limit.Concurrent-a.slots)
	router.slots = min(wanted, free)
	router.slotsUntil = now + h.config.SlotTTL
	a.slots += router.slots
	granted.Slots = uint16(router.slots)
	// Slots are scarce when at most an eighth of them is free.
	const scarceDivisor = 8
	granted.Scarce = limit.Concurrent-a.slots <= limit.Concurrent/scarceDivisor
}

// expire takes back the slots of routers that have not renewed them.
func (a *account) expire(now time.Duration) {
	for _, router := range a.routers {
		if router.slots > 0 && now >= router.slotsUntil {
			a.slots -= router.slots
			router.slots = 0
		}
	}
}
