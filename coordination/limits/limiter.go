package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

// Limiter is the entry router's side: it spends credit and asks for more.
//
// Load: every request of a limited customer. Harm prevented: a customer above its
// limit takes from others what they pay for.
type Limiter struct {
	config      Config
	routers     int
	incarnation uint32
	wallets     map[protocol.CustomerID]*wallet
	byKey       map[customerKey]protocol.CustomerID
	// open holds the wallets that Asks must look at: with something waiting, an
	// ask on its way or slots to renew.
	open    map[protocol.CustomerID]*wallet
	sweptAt time.Duration
}

// wallet is what the router holds of one customer's credit.
type wallet struct {
	limit    Limit
	tokens   float64
	requests float64
	expires  time.Duration
	slots    int
	// slotsUntil is when the lease of the slots ends, counted from the ask, so that
	// it ends here before it ends at the home.
	slotsUntil time.Duration
	running    int
	scarce     bool
	renewAt    time.Duration
	// What callers sent since the last ask that was answered, and the part of it
	// that is in the ask on its way.
	seen, seenAsked demand
	seenAt          time.Duration
	// The request that waits for credit.
	wantTokens   float64
	wantRequests float64
	// The ask on its way.
	sequence   uint32
	asked      bool
	askedSlots int
	askedAt    time.Duration
	deny       time.Duration // no use asking before
	failures   int
	floor      bucket
	floorReq   bucket
}

// demand counts requests and their tokens.
type demand struct {
	tokens   float64
	requests float64
}

// NewLimiter returns a limiter for a fleet of routers. The incarnation must be
// higher than at any earlier start of this router.
func NewLimiter(config Config, routers int, incarnation uint32) *Limiter {
	return &Limiter{
		config:      config,
		routers:     max(routers, 1),
		incarnation: incarnation,
		wallets:     make(map[protocol.CustomerID]*wallet),
		byKey:       make(map[customerKey]protocol.CustomerID),
		open:        make(map[protocol.CustomerID]*wallet),
	}
}

// SetRouters tells the limiter the size of the fleet, which divides the floor.
func (l *Limiter) SetRouters(routers int) { l.routers = max(routers, 1) }

// Admit decides about one request. It charges an allowed one.
func (l *Limiter) Admit(now time.Duration, customer protocol.CustomerID, limit Limit, tokens int) Decision {
	if limit.none() {
		return Decision{Kind: Allow}
	}
	w := l.wallet(now, customer, limit)
	w.expire(now)
	w.seen.tokens += float64(tokens)
	w.seen.requests++
	w.seenAt = now
	return l.decide(now, customer, w, float64(tokens))
}

// Again decides once more about a request that was told to wait. It differs from
// Admit in that the request isn't counted as demand a second time.
func (l *Limiter) Again(now time.Duration, customer protocol.CustomerID, limit Limit, tokens int) Decision {
	if limit.none() {
		return Decision{Kind: Allow}
	}
	w := l.wallet(now, customer, limit)
	w.expire(now)
	return l.decide(now, customer, w, float64(tokens))
}

// Finished notes that an allowed request ended.
func (l *Limiter) Finished(now time.Duration, customer protocol.CustomerID) {
	w := l.wallets[customer]
	if w == nil || w.running == 0 {
		return
	}
	w.running--
	if w.slots <= w.running {
		return
	}
	keep := keepIdleSlot
	if w.scarce {
		keep = keepScarceSlot
	}
	w.renewAt = min(w.renewAt, now+keep)
}

// keepIdleSlot is how long a router keeps a slot that it does not use, and
// keepScarceSlot how long when others want it: its own next request may use it
// without any message.
const (
	keepIdleSlot   = 5 * time.Second
	keepScarceSlot = time.Second
)

func (l *Limiter) decide(now time.Duration, customer protocol.CustomerID, w *wallet, tokens float64) Decision {
	if w.covers(tokens) {
		w.pay(tokens)
		return Decision{Kind: Allow}
	}
	l.open[customer] = w
	if w.failures >= failuresToFloor {
		return l.decideAlone(now, w, tokens)
	}
	if now < w.deny {
		reason := ReasonRate
		if w.limit.Concurrent > 0 && w.running >= w.slots {
			reason = ReasonConcurrent
		}
		return Decision{Kind: Refuse, Reason: reason, RetryAfter: w.deny - now}
	}
	w.wantTokens += tokens
	w.wantRequests++
	return Decision{Kind: Wait, CheckAt: now + l.config.AskTimeout}
}

// failuresToFloor is how many asks in a row must go unanswered before the floor
// applies: one is lost now and then.
const failuresToFloor = 2

// decideAlone admits within the floor, which fills while the home is silent.
func (l *Limiter) decideAlone(now time.Duration, w *wallet, tokens float64) Decision {
	w.wantTokens, w.wantRequests = max(w.wantTokens, tokens), max(w.wantRequests, 1)
	share := l.config.FloorShare / float64(l.routers)
	allowed := w.running < 1 || w.limit.Concurrent <= 0
	retry := l.config.AskTimeout
	for _, b := range []struct {
		bucket     *bucket
		rate, cost float64
	}{
		{&w.floor, w.limit.TokensPerSecond * share, tokens},
		{&w.floorReq, w.limit.RequestsPerSecond * share, 1},
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
	w.floor.level -= tokens
	w.floorReq.level--
	w.running++
	return Decision{Kind: Allow}
}

// Ask returns the message for one home with the given entries.
func (l *Limiter) Ask(entries []AskEntry) Ask {
	return Ask{Incarnation: l.incarnation, Entries: entries}
}

// Asks returns the asks that are due, one for each customer, in order of customer.
// The caller groups them by HomeOf and sends each group with Ask.
func (l *Limiter) Asks(now time.Duration) []CustomerAsk {
	var due []CustomerAsk
	for customer, w := range l.open {
		w.expire(now)
		if w.asked && now-w.askedAt < l.config.AskTimeout {
			continue
		}
		if w.asked {
			w.asked = false
			w.failures++
			l.startFloor(now, w)
		}
		if w.due(now) {
			due = append(due, CustomerAsk{Customer: customer, Entry: l.ask(now, customer, w)})
		} else if w.settled() {
			delete(l.open, customer)
		}
	}
	l.sweep(now)
	slices.SortFunc(due, func(a, b CustomerAsk) int { return cmp.Compare(a.Customer, b.Customer) })
	return due
}

// creditLife times the period of a grant is how long it lasts, since a router's
// demand may fall for a while.
const creditLife = 2

// sweep forgets wallets that have not been used for long.
func (l *Limiter) sweep(now time.Duration) {
	if now-l.sweptAt < l.config.MaxPeriod {
		return
	}
	l.sweptAt = now
	for customer, w := range l.wallets {
		if w.idle(now, l.config) {
			delete(l.wallets, customer)
			delete(l.byKey, keyOf(customer))
		}
	}
}

// Granted takes in a home's answer. Only the answer to the latest ask counts, so a
// doubled one adds nothing.
func (l *Limiter) Granted(now time.Duration, answer Answer) {
	for _, granted := range answer.Entries {
		w := l.wallets[l.byKey[granted.Customer]]
		if w == nil || !w.asked || granted.Sequence != w.sequence {
			continue
		}
		w.expire(now)
		w.asked = false
		w.failures = 0
		w.slots = int(granted.Slots)
		w.slotsUntil = w.askedAt + l.config.SlotTTL
		w.scarce = granted.Scarce
		w.tokens += float64(granted.Tokens)
		w.requests += float64(granted.Requests)
		w.expires = now + creditLife*time.Duration(granted.Seconds)*time.Second
		w.seen.tokens -= w.seenAsked.tokens
		w.seen.requests -= w.seenAsked.requests
		if granted.RetryMillis > 0 {
			w.deny = now + time.Duration(granted.RetryMillis)*time.Millisecond
		} else if w.slots < w.askedSlots {
			// Denied routers ask again in turns, as for credit.
			const partOfPeriod = 4
			w.deny = now + time.Duration(granted.Seconds)*time.Second/partOfPeriod
		}
		if w.slots > 0 {
			w.renewAt = now + l.config.SlotRenew
		}
	}
}

func (l *Limiter) wallet(now time.Duration, customer protocol.CustomerID, limit Limit) *wallet {
	w := l.wallets[customer]
	if w == nil {
		w = &wallet{seenAt: now}
		// Sequence numbers must grow also when a wallet is made anew.
		w.sequence = uint32(now / time.Millisecond)
		l.wallets[customer] = w
		l.byKey[keyOf(customer)] = customer
	}
	w.limit = limit
	return w
}

// startFloor starts the floor's buckets empty at the first sign that the home is
// gone, so that a partition gives no burst.
func (l *Limiter) startFloor(now time.Duration, w *wallet) {
	if w.failures == failuresToFloor {
		w.floor = bucket{updated: now}
		w.floorReq = bucket{updated: now}
	}
}

func (l *Limiter) ask(now time.Duration, customer protocol.CustomerID, w *wallet) AskEntry {
	w.sequence++
	w.asked = true
	w.askedAt = now
	w.askedSlots = w.wantedSlots()
	entry := AskEntry{
		Customer: keyOf(customer),
		Sequence: w.sequence,
		Slots:    uint16(min(w.askedSlots, math.MaxUint16)),
		Held:     uint16(min(w.slots, math.MaxUint16)),
	}
	entry.SeenTokens = uint32(w.seen.tokens)
	entry.SeenRequests = uint32(w.seen.requests)
	entry.WantTokens = uint32(math.Ceil(max(0, w.wantTokens-w.tokens)))
	entry.WantRequests = uint32(math.Ceil(max(0, w.wantRequests-w.requests)))
	w.seenAsked = w.seen
	// Slots that are given back are out of use from now on, since the answer may get
	// lost and the home lease them to another router.
	w.slots = min(w.slots, int(entry.Slots))
	w.wantTokens, w.wantRequests = 0, 0
	return entry
}

// covers says whether the wallet pays for a request.
func (w *wallet) covers(tokens float64) bool {
	switch {
	case w.limit.TokensPerSecond > 0 && w.tokens < tokens:
		return false
	case w.limit.RequestsPerSecond > 0 && w.requests < 1:
		return false
	case w.limit.Concurrent > 0 && w.running >= w.slots:
		return false
	}
	return true
}

func (w *wallet) pay(tokens float64) {
	w.tokens = max(0, w.tokens-tokens)
	w.requests = max(0, w.requests-1)
	w.running++
}

// expire drops credit and slots that are too old.
func (w *wallet) expire(now time.Duration) {
	if now >= w.expires {
		w.tokens, w.requests = 0, 0
	}
	if now >= w.slotsUntil {
		w.slots = 0
	}
}

// due says whether the home must be asked: for a request that waits, or to renew
// or give back slots.
func (w *wallet) due(now time.Duration) bool {
	if now < w.deny && w.failures == 0 {
		return false
	}
	if w.wantRequests > 0 {
		return true
	}
	return w.limit.Concurrent > 0 && w.slots > 0 && now >= w.renewAt
}

// wantedSlots is what runs and what waits, and without scarcity a few more where
// many run. A spare slot at each of many routers would use up a small limit.
func (w *wallet) wantedSlots() int {
	if w.limit.Concurrent <= 0 {
		return 0
	}
	const runningPerSpare = 4
	wanted := w.running + int(w.wantRequests)
	if !w.scarce {
		wanted += wanted / runningPerSpare
	}
	return wanted
}

// settled says that Asks has nothing to do for the wallet.
func (w *wallet) settled() bool {
	return !w.asked && w.wantRequests == 0 && w.slots == 0
}

// idle says that the wallet can be forgotten.
func (w *wallet) idle(now time.Duration, config Config) bool {
	const forgetAfter = 3
	return w.running == 0 && w.settled() && now-w.seenAt > forgetAfter*config.MaxPeriod
}
