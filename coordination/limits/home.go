package limits

import (
	"math"
	"time"

	"endiveplank/protocol"
)

// Home keeps the accounts of the customers whose home this router is.
//
// Load: up to some tens of asks per second. Harm prevented: a customer that
// gets its limit once from each router. The limit holds from above because credit
// is taken out of the one bucket before it is granted.
type Home struct {
	config   Config
	accounts map[customerKey]*account
	limits   map[customerKey]Limit
}

type account struct {
	opened   time.Duration
	tokens   bucket
	requests bucket
	holders  map[protocol.RouterID]*holder
	slots    int // sum over holders
	period   time.Duration
	counted  time.Duration // when period was last computed
}

// holder is what the home knows of one router for one customer.
type holder struct {
	incarnation uint32
	sequence    uint32
	asked       time.Duration
	slots       int
	until       time.Duration
	tokens      seenRate
	requests    seenRate
}

// NewHome returns a home with the customers' limits.
func NewHome(config Config, table map[protocol.CustomerID]Limit) *Home {
	h := &Home{config: config, accounts: make(map[customerKey]*account)}
	h.SetTable(table)
	return h
}

// SetTable replaces the limits after a change of the customers table.
func (h *Home) SetTable(table map[protocol.CustomerID]Limit) {
	h.limits = make(map[customerKey]Limit, len(table))
	for customer, limit := range table {
		h.limits[keyOf(customer)] = limit
	}
}

// Answer grants what the accounts allow. An entry for an unknown customer, or
// one that repeats an earlier sequence number, gets no answer.
func (h *Home) Answer(now time.Duration, from protocol.RouterID, ask Ask) Answer {
	var answer Answer
	for _, entry := range ask.Entries {
		limit, ok := h.limits[entry.Customer]
		if !ok {
			continue
		}
		a := h.account(now, entry.Customer)
		router := a.holder(now, from)
		if !router.news(ask.Incarnation, entry.Sequence) {
			continue
		}
		granted := AnswerEntry{Customer: entry.Customer, Sequence: entry.Sequence}
		h.grantSlots(now, a, router, limit, entry, &granted)
		h.grantRates(now, a, router, limit, entry, &granted)
		router.asked = now
		answer.Entries = append(answer.Entries, granted)
	}
	return answer
}

// account returns the customer's account. A new one starts with empty buckets: this
// router cannot know what an earlier home has granted.
func (h *Home) account(now time.Duration, key customerKey) *account {
	a := h.accounts[key]
	if a == nil {
		a = &account{opened: now, holders: make(map[protocol.RouterID]*holder), period: h.config.MinPeriod}
		for _, b := range []*bucket{&a.tokens, &a.requests} {
			b.updated = now
			b.demand.updated = now
		}
		h.accounts[key] = a
	}
	h.setPeriod(now, a)
	return a
}

// setPeriod spreads the asks of all routers that lately asked, so that a home
// answers for one customer at most Config.AnswersPerSecond times a second. It
// also forgets routers that have not asked for long.
func (h *Home) setPeriod(now time.Duration, a *account) {
	if now-a.counted < time.Second {
		return
	}
	a.counted = now
	active := 0
	for id, router := range a.holders {
		if now-router.asked < 2*h.config.MaxPeriod {
			active++
		} else if router.slots == 0 && now-router.asked > forgetHolder {
			delete(a.holders, id)
		}
	}
	spread := time.Duration(float64(active) / h.config.AnswersPerSecond * float64(time.Second))
	a.period = min(max(spread, h.config.MinPeriod), h.config.MaxPeriod)
}

// forgetHolder outlasts any message that may still be doubled.
const forgetHolder = 10 * time.Minute

func (a *account) holder(now time.Duration, router protocol.RouterID) *holder {
	found := a.holders[router]
	if found == nil {
		found = &holder{asked: now, tokens: seenRate{updated: now}, requests: seenRate{updated: now}}
		a.holders[router] = found
	}
	return found
}

// news says whether an ask is newer than all before, and remembers it. A doubled
// ask would otherwise be granted twice.
func (h *holder) news(incarnation, sequence uint32) bool {
	if incarnation < h.incarnation || incarnation == h.incarnation && sequence <= h.sequence {
		return false
	}
	h.incarnation = incarnation
	h.sequence = sequence
	return true
}

// grantRates grants tokens and requests together, since a request needs both.
func (h *Home) grantRates(now time.Duration, a *account, router *holder, limit Limit, entry AskEntry, granted *AnswerEntry) {
	tokens := a.tokens.offer(now, a.period, &router.tokens, limit.TokensPerSecond, entry.SeenTokens, entry.WantTokens)
	requests := a.requests.offer(now, a.period, &router.requests, limit.RequestsPerSecond, entry.SeenRequests, entry.WantRequests)
	granted.Seconds = uint16(a.period / time.Second)
	granted.RetryMillis = uint32(max(tokens.retry, requests.retry) / time.Millisecond)
	if tokens.denied || requests.denied {
		return
	}
	a.tokens.level -= tokens.grant
	a.requests.level -= requests.grant
	granted.Tokens = uint32(tokens.grant)
	granted.Requests = uint32(requests.grant)
}

// bucket is the account of one rate: a token bucket and the demand for it. The
// bucket may be overdrawn by one grant, so that a request larger than the burst
// can pass at all.
type bucket struct {
	level   float64
	updated time.Duration
	demand  seenRate
}

// seenRate is a rate of demand: a sum that decays over demandWindow, and the time
// that it covers by now.
type seenRate struct {
	sum     float64
	span    float64
	updated time.Duration
}

// demandWindow is the time constant of the demand, in seconds.
const demandWindow = 30.0

// advance decays the sum to now.
func (s *seenRate) advance(now time.Duration) {
	keep := math.Exp(-(now - s.updated).Seconds() / demandWindow)
	s.updated = now
	s.sum *= keep
	s.span = max(s.span*keep+demandWindow*(1-keep), 1)
}

// perSecond is the rate at the time of the last advance.
func (s *seenRate) perSecond() float64 { return s.sum / s.span }

// offered is what a bucket would grant.
type offered struct {
	grant  float64
	retry  time.Duration // how long this must last the router
	denied bool
}

// offer computes a grant for a router that saw demand since it last asked and has
// wanted of it waiting. router is that router's rate of demand.
//
// While the fleet's demand is within the limit, a router gets its own demand for
// a period ahead, with a margin. Above the limit it gets its share in proportion to
// its demand, a little more or less as the bucket is above or below empty, and
// is told how long that must last, so that it asks only once in that time. Either
// way the bucket has the last word.
//
// What waits is not taken for demand of the time before: it is why the router
// asks now, and a router that meets a customer once an hour would seem to need
// a period's worth of it.
func (b *bucket) offer(now, period time.Duration, router *seenRate, rate float64, seen, wanted uint32) offered {
	if rate <= 0 {
		return offered{grant: float64(seen) + float64(wanted)}
	}
	depth := rate * max(shortestDepth, period/4).Seconds()
	b.refill(now, rate, depth)
	b.demand.advance(now)
	b.demand.sum += float64(seen)
	router.advance(now)
	router.sum += max(0, float64(seen)-float64(wanted))
	own := router.perSecond()
	router.sum += min(float64(seen), float64(wanted))
	fraction := min(1, rate/max(b.demand.perSecond(), rate))
	floor := 0.0
	if fraction < 1 {
		floor = -depth
		fraction = min(1, fraction*(1+b.level/(2*depth)))
	}
	if b.level <= floor {
		wait := time.Duration((floor - b.level) / rate * float64(time.Second))
		return offered{denied: true, retry: wait + period/8}
	}
	ahead := own * fraction * period.Seconds()
	if fraction == 1 {
		ahead = max(0, min(ahead*margin, b.level/partOfLevel))
	}
	grant := math.Floor(max(float64(wanted), ahead))
	if fraction == 1 || own == 0 {
		return offered{grant: grant}
	}
	lasts := min(grant/(own*fraction), period.Seconds())
	return offered{grant: grant, retry: time.Duration(lasts * float64(time.Second))}
}

const (
	// margin covers the ordinary changes of a router's demand over a period.
	margin = 1.25
	// partOfLevel keeps the first of many routers from taking, in advance, what
	// the others' callers wait for.
	partOfLevel = 4
	// shortestDepth is the least that a bucket holds, in time of its rate.
	shortestDepth = 2 * time.Second
)

// refill brings the bucket to now. It holds two seconds of the limit, or
// a quarter of the period where that is longer, because grants for a period come
// in lumps.
func (b *bucket) refill(now time.Duration, rate, depth float64) {
	elapsed := (now - b.updated).Seconds()
	b.updated = now
	b.level = min(b.level+rate*elapsed, depth)
}

// grantSlots sets how many slots the router holds: what it wants if there are
// enough, else what it has and whatever is left. A home that is new to the customer
// leases no more than the routers say they hold, until the leases of the earlier
// home have run out; it would otherwise lease the same slots again.
func (h *Home) grantSlots(now time.Duration, a *account, router *holder, limit Limit, entry AskEntry, granted *AnswerEntry) {
	if limit.Concurrent <= 0 {
		return
	}
	a.expire(now)
	wanted := int(entry.Slots)
	if now-a.opened < h.config.SlotTTL {
		wanted = min(wanted, int(entry.Held))
	}
	a.slots -= router.slots
	free := max(0, limit.Concurrent-a.slots)
	router.slots = min(wanted, free)
	router.until = now + h.config.SlotTTL
	a.slots += router.slots
	granted.Slots = uint16(router.slots)
	const scarceShare = 8
	granted.Scarce = limit.Concurrent-a.slots <= limit.Concurrent/scarceShare
}

// expire takes back the slots of routers that have not renewed them.
func (a *account) expire(now time.Duration) {
	for _, router := range a.holders {
		if router.slots > 0 && now >= router.until {
			a.slots -= router.slots
			router.slots = 0
		}
	}
}
