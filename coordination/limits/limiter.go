package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// Limiter is the part of the limits that runs on an entry router: it spends
// credit and requests more. It decides about every request of a limited
// customer.
//
// It prevents a customer above its limit from taking capacity that other
// customers pay for.
type Limiter struct {
	config      Config
	routers     int
	incarnation uint32
	credits     map[protocol.CustomerID]*localCredit
	byKey       map[customerKey]protocol.CustomerID
	// active holds the customers that DueRequests must look at: with requests
	// waiting, a credit request in flight or slots to renew.
	active  map[protocol.CustomerID]*localCredit
	sweptAt time.Duration
}

// localCredit is the credit that this router holds for one customer.
type localCredit struct {
	limit    Limit
	tokens   float64
	requests float64
	expires  time.Duration
	slots    int
	// slotsUntil is when the lease of the slots ends. It is counted from the
	// time of the credit request, so that the lease ends here before it ends at
	// the home.
	slotsUntil time.Duration
	running    int
	scarce     bool
	renewAt    time.Duration
	// newDemand is what callers sent since the last credit request that was
	// answered, and sentDemand the part of it that the credit request in flight
	// reports.
	newDemand, sentDemand demand
	lastUsed              time.Duration
	// waitingTokens and waitingRequests count the requests that wait for
	// credit.
	waitingTokens   float64
	waitingRequests float64
	// The fields from sequence to requestedAt describe the credit request in
	// flight.
	sequence       uint32
	pending        bool
	requestedSlots int
	requestedAt    time.Duration
	denyUntil      time.Duration // the home grants nothing before this time
	failures       int           // credit requests in a row that went unanswered
	floorTokens    bucket
	floorRequests  bucket
}

// demand counts requests and their tokens.
type demand struct {
	tokens   float64
	requests float64
}

// NewLimiter returns a limiter for a fleet with the given number of routers.
// The incarnation must be higher than at any earlier start of this router.
func NewLimiter(config Config, routers int, incarnation uint32) *Limiter {
	return &Limiter{
		config:      config,
		routers:     max(routers, 1),
		incarnation: incarnation,
		credits:     make(map[protocol.CustomerID]*localCredit),
		byKey:       make(map[customerKey]protocol.CustomerID),
		active:      make(map[protocol.CustomerID]*localCredit),
	}
}

// SetRouters sets the number of routers in the fleet, by which the floor is
// divided.
func (l *Limiter) SetRouters(routers int) { l.routers = max(routers, 1) }

// Admit decides about one request. If it allows the request, it charges the
// customer's credit.
func (l *Limiter) Admit(now time.Duration, customer protocol.CustomerID, limit Limit, tokens int) Decision {
	if limit.unlimited() {
		return Decision{Kind: Allow}
	}
	c := l.creditFor(now, customer, limit)
	c.expire(now)
	c.newDemand.tokens += float64(tokens)
	c.newDemand.requests++
	c.lastUsed = now
	return l.decide(now, customer, c, float64(tokens))
}

// Retry decides again about a request for which Admit returned Wait. Unlike
// Admit, it doesn't count the request as demand a second time.
func (l *Limiter) Retry(now time.Duration, customer protocol.CustomerID, limit Limit, tokens int) Decision {
	if limit.unlimited() {
		return Decision{Kind: Allow}
	}
	c := l.creditFor(now, customer, limit)
	c.expire(now)
	return l.decide(now, customer, c, float64(tokens))
}

// Finished records that an allowed request ended.
func (l *Limiter) Finished(now time.Duration, customer protocol.CustomerID) {
	c := l.credits[customer]
	if c == nil || c.running == 0 {
		return
	}
	c.running--
	if c.slots <= c.running {
		return
	}
	keep := keepIdleSlot
	if c.scarce {
		keep = keepScarceSlot
	}
	c.renewAt = min(c.renewAt, now+keep)
}

// keepIdleSlot is how long a router keeps a slot that it doesn't use, and
// keepScarceSlot how long it does so while slots are scarce. A kept slot lets the
// router's next request start without a message to the home.
const (
	keepIdleSlot   = 5 * time.Second
	keepScarceSlot = time.Second
)

// decide allows the request if the local credit covers it, and otherwise
// refuses it or makes it wait for credit.
func (l *Limiter) decide(now time.Duration, customer protocol.CustomerID, c *localCredit, tokens float64) Decision {
	if c.covers(tokens) {
		c.charge(tokens)
		return Decision{Kind: Allow}
	}
	l.active[customer] = c
	if c.failures >= failuresToFloor {
		return l.decideByFloor(now, c, tokens)
	}
	if now < c.denyUntil {
		reason := ReasonRate
		if c.limit.Concurrent > 0 && c.running >= c.slots {
			reason = ReasonConcurrent
		}
		return Decision{Kind: Refuse, Reason: reason, RetryAfter: c.denyUntil - now}
	}
	c.waitingTokens += tokens
	c.waitingRequests++
	return Decision{Kind: Wait, CheckAt: now + l.config.RequestTimeout}
}

// failuresToFloor is the number of credit requests in a row that must go
// unanswered before the floor applies. It is more than one because a single
// message is lost now and then.
const failuresToFloor = 2

// decideByFloor admits requests within the floor, while the home doesn't
// answer.
func (l *Limiter) decideByFloor(now time.Duration, c *localCredit, tokens float64) Decision {
	// This keeps a credit request due, so that the router notices when the home
	// answers again.
	c.waitingTokens, c.waitingRequests = max(c.waitingTokens, tokens), max(c.waitingRequests, 1)
	share := l.config.FloorShare / float64(l.routers)
	allowed := c.running < 1 || c.limit.Concurrent <= 0
	retry := l.config.RequestTimeout
	for _, b := range []struct {
		bucket     *bucket
		rate, cost float64
	}{
		{&c.floorTokens, c.limit.TokensPerSecond * share, tokens},
		{&c.floorRequests, c.limit.RequestsPerSecond * share, 1},
	} {
		if b.rate <= 0 {
			continue
		}
		// The bucket holds one request: floors are too small for more.
		b.bucket.level = min(b.bucket.level+b.rate*(now-b.bucket.updated).Seconds(), b.cost)
		b.bucket.updated = now
		if b.bucket.level < b.cost {
			allowed = false
			missing := time.Duration((b.cost - b.bucket.level) / b.rate * float64(time.Second))
			retry = max(retry, min(missing, time.Minute))
		}
	}
	if !allowed {
		return Decision{Kind: Refuse, Reason: ReasonNoHome, RetryAfter: retry}
	}
	c.floorTokens.level -= tokens
	c.floorRequests.level--
	c.running++
	return Decision{Kind: Allow}
}

// NewRequest returns the message that carries the given entries to one home.
func (l *Limiter) NewRequest(entries []CreditRequestEntry) CreditRequest {
	return CreditRequest{Incarnation: l.incarnation, Entries: entries}
}

// DueRequests returns the credit requests that are due, one for each customer,
// ordered by customer. The caller groups them by HomeOf and sends each group
// with NewRequest.
func (l *Limiter) DueRequests(now time.Duration) []DueRequest {
	var due []DueRequest
	for customer, c := range l.active {
		c.expire(now)
		if c.pending && now-c.requestedAt < l.config.RequestTimeout {
			continue
		}
		if c.pending {
			c.pending = false
			c.failures++
			l.startFloor(now, c)
		}
		if c.due(now) {
			due = append(due, DueRequest{Customer: customer, Entry: l.newEntry(now, customer, c)})
		} else if c.inactive() {
			delete(l.active, customer)
		}
	}
	l.sweep(now)
	slices.SortFunc(due, func(a, b DueRequest) int { return cmp.Compare(a.Customer, b.Customer) })
	return due
}

// creditPeriods is how many periods granted credit lasts. It is more than one,
// since a router's demand may fall for a while.
const creditPeriods = 2

// sweep removes the credit of customers that have not been used for long.
func (l *Limiter) sweep(now time.Duration) {
	if now-l.sweptAt < l.config.MaxPeriod {
		return
	}
	l.sweptAt = now
	for customer, c := range l.credits {
		if c.idle(now, l.config) {
			delete(l.credits, customer)
			delete(l.byKey, keyOf(customer))
		}
	}
}

// HandleGrant adds a home's grant to the local credit. Only the answer to the
// latest credit request counts, so a duplicated one adds nothing.
func (l *Limiter) HandleGrant(now time.Duration, answer CreditGrant) {
	for _, granted := range answer.Entries {
		c := l.credits[l.byKey[granted.Customer]]
		if c == nil || !c.pending || granted.Sequence != c.sequence {
			continue
		}
		c.expire(now)
		c.pending = false
		c.failures = 0
		c.slots = int(granted.Slots)
		c.slotsUntil = c.requestedAt + l.config.SlotTTL
		c.scarce = granted.Scarce
		c.tokens += float64(granted.Tokens)
		c.requests += float64(granted.Requests)
		c.expires = now + creditPeriods*time.Duration(granted.PeriodSeconds)*time.Second
		c.newDemand.tokens -= c.sentDemand.tokens
		c.newDemand.requests -= c.sentDemand.requests
		if granted.RetryMillis > 0 {
			c.denyUntil = now + time.Duration(granted.RetryMillis)*time.Millisecond
		} else if c.slots < c.requestedSlots {
			// A router that got too few slots waits for a quarter of the period,
			// as one that was denied credit waits before its next request.
			const partOfPeriod = 4
			c.denyUntil = now + time.Duration(granted.PeriodSeconds)*time.Second/partOfPeriod
		}
		if c.slots > 0 {
			c.renewAt = now + l.config.SlotRenew
		}
	}
}

// creditFor returns the customer's local credit, which it creates if necessary.
func (l *Limiter) creditFor(now time.Duration, customer protocol.CustomerID, limit Limit) *localCredit {
	c := l.credits[customer]
	if c == nil {
		c = &localCredit{lastUsed: now}
		// Sequence numbers must also grow when a customer's credit was
		// removed and is created again.
		c.sequence = uint32(now / time.Millisecond)
		l.credits[customer] = c
		l.byKey[keyOf(customer)] = customer
	}
	c.limit = limit
	return c
}

// startFloor empties the buckets of the floor when the home is first considered
// unreachable, so that a partition doesn't start with a burst.
func (l *Limiter) startFloor(now time.Duration, c *localCredit) {
	if c.failures == failuresToFloor {
		c.floorTokens = bucket{updated: now}
		c.floorRequests = bucket{updated: now}
	}
}

// newEntry returns the customer's entry for a credit request and marks the
// request as in flight.
func (l *Limiter) newEntry(now time.Duration, customer protocol.CustomerID, c *localCredit) CreditRequestEntry {
	c.sequence++
	c.pending = true
	c.requestedAt = now
	c.requestedSlots = c.wantedSlots()
	entry := CreditRequestEntry{
		Customer:  keyOf(customer),
		Sequence:  c.sequence,
		WantSlots: uint16(min(c.requestedSlots, math.MaxUint16)),
		HeldSlots: uint16(min(c.slots, math.MaxUint16)),
	}
	entry.SeenTokens = uint32(c.newDemand.tokens)
	entry.SeenRequests = uint32(c.newDemand.requests)
	entry.WantTokens = uint32(math.Ceil(max(0, c.waitingTokens-c.tokens)))
	entry.WantRequests = uint32(math.Ceil(max(0, c.waitingRequests-c.requests)))
	c.sentDemand = c.newDemand
	// Returned slots must not be used from now on: the answer may get lost while
	// the home leases them to another router.
	c.slots = min(c.slots, int(entry.WantSlots))
	c.waitingTokens, c.waitingRequests = 0, 0
	return entry
}

// covers reports whether the credit is enough for a request.
func (c *localCredit) covers(tokens float64) bool {
	switch {
	case c.limit.TokensPerSecond > 0 && c.tokens < tokens:
		return false
	case c.limit.RequestsPerSecond > 0 && c.requests < 1:
		return false
	case c.limit.Concurrent > 0 && c.running >= c.slots:
		return false
	}
	return true
}

// charge deducts a request from the credit.
func (c *localCredit) charge(tokens float64) {
	c.tokens = max(0, c.tokens-tokens)
	c.requests = max(0, c.requests-1)
	c.running++
}

// expire drops credit and slots whose time has run out.
func (c *localCredit) expire(now time.Duration) {
	if now >= c.expires {
		c.tokens, c.requests = 0, 0
	}
	if now >= c.slotsUntil {
		c.slots = 0
	}
}

// due reports whether a credit request must be sent: for requests that wait, or
// to renew or return slots.
func (c *localCredit) due(now time.Duration) bool {
	if now < c.denyUntil && c.failures == 0 {
		return false
	}
	if c.waitingRequests > 0 {
		return true
	}
	return c.limit.Concurrent > 0 && c.slots > 0 && now >= c.renewAt
}

// wantedSlots counts the requests that run and wait and, unless slots are
// scarce, one more for every four of them. A spare slot at each of many routers
// would use up a small limit.
func (c *localCredit) wantedSlots() int {
	if c.limit.Concurrent <= 0 {
		return 0
	}
	const runningPerSpare = 4
	wanted := c.running + int(c.waitingRequests)
	if !c.scarce {
		wanted += wanted / runningPerSpare
	}
	return wanted
}

// inactive reports whether DueRequests has nothing to do for the customer.
func (c *localCredit) inactive() bool {
	return !c.pending && c.waitingRequests == 0 && c.slots == 0
}

// idle reports whether the customer's credit can be removed.
func (c *localCredit) idle(now time.Duration, config Config) bool {
	const forgetAfter = 3
	return c.running == 0 && c.inactive() && now-c.lastUsed > forgetAfter*config.MaxPeriod
}
