package loadbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/limits"
	"endiveplank/protocol"
)

// LimitPolicy is how the routers of the Fleet model hold limits.
type LimitPolicy uint8

const (
	// Credit is package limits.
	Credit LimitPolicy = iota
	// EqualShares gives each router the same part of each limit.
	EqualShares
	// PerRouter gives each router the whole limit.
	PerRouter
	// OneCounter is the ideal for requests in flight: one counter that all
	// routers see at once.
	OneCounter
)

// FleetConfig describes a run of the Fleet model: customers whose requests come
// in through any router, by a Zipf law, some of them far above their limits.
type FleetConfig struct {
	Seed      uint64
	Policy    LimitPolicy
	Routers   int
	Customers int
	// Rate is the requests per second of all customers.
	Rate float64
	// Every GreedyEvery-th customer sends GreedyFactor times its limit, and the
	// others half of theirs.
	GreedyEvery  int
	GreedyFactor float64
	// Concurrent limits requests in flight instead of tokens per second. Requests
	// run for RunTime in the mean.
	Concurrent bool
	// Lost is the share of messages that get lost.
	Lost float64
	// From PartedFrom to PartedTo, routers with a number below Parted reach
	// nobody.
	Parted     int
	PartedFrom time.Duration
	PartedTo   time.Duration
	Warm       time.Duration
	End        time.Duration
}

// FleetResult is what a run counted.
type FleetResult struct {
	// Over and Under are the largest and smallest error of a greedy customer's
	// admitted tokens against its limit after the warm-up, in percent. Only
	// customers whose limit allows at least MinAdmitted requests in that time
	// count, since the error of a few requests is their randomness.
	Over  float64
	Under float64
	// MostInFlight is the largest number in flight of a greedy customer over its
	// limit, in percent above it, for concurrency limits; Over and Under are then
	// those of the mean number in flight.
	MostInFlight float64
	// ModestRefused is the share of requests refused of customers within their
	// limits, and Waited of all allowed requests those that waited for a home.
	ModestRefused float64
	Waited        float64
	// BytesMean and BytesMax are control bytes sent per second and node.
	BytesMean float64
	BytesMax  float64
}

// MinAdmitted is the least number of requests for which an error counts, and
// MinSlots the least limit of requests in flight.
const (
	MinAdmitted = 100
	MinSlots    = 10
)

// RunTime is how long a request runs in the mean.
const RunTime = 5 * time.Second

const (
	requestTokens = 300.0
	// messageOverhead is a frame's length prefix and the headers of IP and UDP.
	messageOverhead = 4 + 20 + 8
	askTick         = time.Second
	gatherTime      = 2 * time.Millisecond
	waitAtMost      = time.Second
)

type fleet struct {
	Clock
	config    FleetConfig
	rng       *rand.Rand
	ids       []protocol.RouterID
	limiters  []*limits.Limiter
	homes     []*limits.Home
	local     []map[int]*localBucket
	customers []*fleetCustomer
	byID      map[protocol.CustomerID]*fleetCustomer
	sending   []bool            // an ask round is planned
	waiting   [][]*fleetRequest // per router, in order of arrival
	bytes     []int
	allowed   int
	waited    int
}

type fleetCustomer struct {
	id       protocol.CustomerID
	home     int
	rate     float64
	limit    limits.Limit
	greedy   bool
	sent     int
	refused  int
	admitted float64
	inFlight int
	most     int
	ran      float64 // seconds of requests in flight
	counted  time.Duration
}

// count adds up the time in flight until now.
func (c *fleetCustomer) count(now, warm time.Duration) {
	from := max(c.counted, warm)
	if now > from {
		c.ran += float64(c.inFlight) * (now - from).Seconds()
		c.most = max(c.most, c.inFlight)
	}
	c.counted = now
}

type fleetRequest struct {
	router   int
	customer *fleetCustomer
	number   int
	tokens   int
	sent     time.Duration
}

type localBucket struct {
	level float64
	at    time.Duration
}

// RunFleet runs the model once.
func RunFleet(config FleetConfig) FleetResult {
	f := &fleet{config: config, rng: rand.New(rand.NewPCG(config.Seed, 3))}
	f.byID = make(map[protocol.CustomerID]*fleetCustomer)
	table := f.makeCustomers()
	for i := range config.Routers {
		f.ids = append(f.ids, protocol.RouterID(fmt.Sprintf("router-%04d", i)))
		f.limiters = append(f.limiters, limits.NewLimiter(limits.DefaultConfig(), config.Routers, 1))
		f.homes = append(f.homes, limits.NewHome(limits.DefaultConfig(), table))
		f.local = append(f.local, make(map[int]*localBucket))
	}
	f.waiting = make([][]*fleetRequest, config.Routers)
	f.bytes = make([]int, config.Routers)
	f.sending = make([]bool, config.Routers)
	f.findHomes()
	var next func()
	next = func() {
		f.arrive()
		f.After(exponential(f.rng, config.Rate), next)
	}
	f.At(0, next)
	if config.Policy == Credit {
		for i := range config.Routers {
			f.At(time.Duration(f.rng.Int64N(int64(askTick))), func() { f.tick(i) })
		}
	}
	f.Run(config.End)
	return f.result()
}

func (f *fleet) makeCustomers() map[protocol.CustomerID]limits.Limit {
	table := make(map[protocol.CustomerID]limits.Limit)
	harmonic := 0.0
	for i := range f.config.Customers {
		harmonic += 1 / float64(i+1)
	}
	for i := range f.config.Customers {
		rate := f.config.Rate / harmonic / float64(i+1)
		c := &fleetCustomer{id: protocol.CustomerID(fmt.Sprintf("customer-%d", i)), rate: rate}
		c.greedy = i%f.config.GreedyEvery == 1
		allowed := 2 * rate
		if c.greedy {
			allowed = rate / f.config.GreedyFactor
		}
		c.limit = limits.Limit{TokensPerSecond: allowed * requestTokens}
		if f.config.Concurrent {
			c.limit = limits.Limit{Concurrent: int(math.Ceil(allowed * RunTime.Seconds()))}
		}
		table[c.id] = c.limit
		f.byID[c.id] = c
		f.customers = append(f.customers, c)
	}
	return table
}

func (f *fleet) findHomes() {
	byID := make(map[protocol.RouterID]int, len(f.ids))
	for i, id := range f.ids {
		byID[id] = i
	}
	for _, c := range f.customers {
		home, _ := limits.HomeOf(c.id, f.ids)
		c.home = byID[home]
	}
}

// arrive brings one request of a customer drawn by the Zipf law to any router.
func (f *fleet) arrive() {
	n := f.pickCustomer()
	r := &fleetRequest{
		router:   f.rng.IntN(f.config.Routers),
		customer: f.customers[n],
		number:   n,
		tokens:   int(requestTokens * (0.5 + f.rng.Float64())),
		sent:     f.Now(),
	}
	if f.Now() >= f.config.Warm {
		r.customer.sent++
	}
	if f.config.Policy == OneCounter {
		f.admitByCounter(r)
		return
	}
	if f.config.Policy != Credit {
		f.admitLocally(r)
		return
	}
	f.follow(r, f.limiters[r.router].Admit(f.Now(), r.customer.id, r.customer.limit, r.tokens))
}

// pickCustomer inverts the sum of 1/rank, approximately.
func (f *fleet) pickCustomer() int {
	n := float64(f.config.Customers)
	for {
		rank := math.Pow(n+1, f.rng.Float64())
		k := int(rank)
		// Log-uniform gives rank k the weight log(1+1/k); accept by 1/k over that.
		accept := (1 / float64(k)) / math.Log1p(1/float64(k)) * math.Ln2
		if f.rng.Float64() < accept {
			return k - 1
		}
	}
}

func (f *fleet) follow(r *fleetRequest, decision limits.Decision) {
	switch decision.Kind {
	case limits.Allow:
		f.admit(r)
	case limits.Refuse:
		f.refuse(r)
	case limits.Wait:
		f.waiting[r.router] = append(f.waiting[r.router], r)
		f.send(r.router)
		f.At(decision.CheckAt, func() { f.again(r.router, map[*fleetCustomer]bool{r.customer: true}) })
	}
}

func (f *fleet) admit(r *fleetRequest) {
	if f.config.Concurrent {
		f.run(r)
	}
	if f.Now() < f.config.Warm {
		return
	}
	f.allowed++
	if f.Now() > r.sent {
		f.waited++
	}
	r.customer.admitted += float64(r.tokens)
}

// run keeps a request in flight for a while.
func (f *fleet) run(r *fleetRequest) {
	c := r.customer
	c.count(f.Now(), f.config.Warm)
	c.inFlight++
	f.After(exponential(f.rng, 1/RunTime.Seconds()), func() {
		c.count(f.Now(), f.config.Warm)
		c.inFlight--
		f.limiters[r.router].Finished(f.Now(), c.id)
	})
}

func (f *fleet) refuse(r *fleetRequest) {
	if f.Now() >= f.config.Warm {
		r.customer.refused++
	}
}

// admitLocally is the baselines' token bucket of two seconds, of at least one
// request.
func (f *fleet) admitLocally(r *fleetRequest) {
	rate := r.customer.limit.TokensPerSecond
	if f.config.Policy == EqualShares {
		rate /= float64(f.config.Routers)
	}
	depth := max(2*rate, 1.5*requestTokens)
	b := f.local[r.router][r.number]
	if b == nil {
		b = &localBucket{level: depth}
		f.local[r.router][r.number] = b
	}
	b.level = min(depth, b.level+rate*(f.Now()-b.at).Seconds())
	b.at = f.Now()
	if b.level < float64(r.tokens) {
		f.refuse(r)
		return
	}
	b.level -= float64(r.tokens)
	f.admit(r)
}

func (f *fleet) admitByCounter(r *fleetRequest) {
	if r.customer.inFlight >= r.customer.limit.Concurrent {
		f.refuse(r)
		return
	}
	f.admit(r)
}

func (f *fleet) tick(router int) {
	f.send(router)
	f.After(askTick, func() { f.tick(router) })
}

func (f *fleet) result() FleetResult {
	r := FleetResult{Over: -100, Under: 100, MostInFlight: -100}
	seconds := (f.config.End - f.config.Warm).Seconds()
	modest, modestRefused := 0, 0
	for _, c := range f.customers {
		allowed := c.limit.TokensPerSecond * seconds
		if f.config.Concurrent && c.greedy && c.limit.Concurrent >= MinSlots {
			c.count(f.config.End, f.config.Warm)
			mean := c.ran / seconds / float64(c.limit.Concurrent)
			r.Over = max(r.Over, 100*(mean-1))
			r.Under = min(r.Under, 100*(mean-1))
			r.MostInFlight = max(r.MostInFlight, 100*(float64(c.most)/float64(c.limit.Concurrent)-1))
			continue
		}
		switch {
		case !c.greedy:
			modest += c.sent
			modestRefused += c.refused
		case !f.config.Concurrent && allowed >= MinAdmitted*requestTokens:
			r.Over = max(r.Over, 100*(c.admitted/allowed-1))
			r.Under = min(r.Under, 100*(c.admitted/allowed-1))
		}
	}
	r.ModestRefused = percent(modestRefused, modest)
	r.Waited = percent(f.waited, f.allowed)
	for _, sent := range f.bytes {
		perSecond := float64(sent) / seconds
		r.BytesMean += perSecond / float64(f.config.Routers)
		r.BytesMax = max(r.BytesMax, perSecond)
	}
	return r
}
