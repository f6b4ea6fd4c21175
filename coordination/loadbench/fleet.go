package loadbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/limits"
	"endiveplank/protocol"
)

// LimitPolicy is how the routers of the Fleet model enforce customers' limits.
type LimitPolicy uint8

const (
	// Credit uses package limits: the home router of each customer grants
	// credit to the routers.
	Credit LimitPolicy = iota
	// EqualShares gives each router the same part of each limit.
	EqualShares
	// PerRouter gives each router the whole limit.
	PerRouter
	// OneCounter is the ideal for requests in flight: all routers share one
	// counter without delay.
	OneCounter
)

// FleetConfig describes a run of the Fleet model: customers whose rates follow a
// Zipf distribution. Their requests arrive through random routers, and some
// customers send far above their limits.
type FleetConfig struct {
	Seed      uint64
	Policy    LimitPolicy
	Routers   int
	Customers int
	// Rate is the number of requests per second of all customers together.
	Rate float64
	// One in GreedyEvery customers is greedy: it sends GreedyFactor times its
	// limit. The others are modest: they send half of theirs.
	GreedyEvery  int
	GreedyFactor float64
	// Concurrent limits requests in flight instead of tokens per second. Requests
	// then run for MeanRunTime on average.
	Concurrent bool
	// MessageLoss is the share of messages that get lost.
	MessageLoss float64
	// Between PartitionFrom and PartitionTo, the first Partitioned routers reach
	// no other router and none reaches them.
	Partitioned   int
	PartitionFrom time.Duration
	PartitionTo   time.Duration
	WarmUp        time.Duration
	End           time.Duration
}

// FleetResult is the result of a run of the Fleet model.
type FleetResult struct {
	// MaxErrorPct and MinErrorPct are the largest and the smallest error of a
	// greedy customer's admitted tokens against its limit after the warm-up, in
	// percent. Only customers whose limit allows at least MinAdmitted requests in
	// that time count, because with few requests random variation dominates the
	// error.
	MaxErrorPct float64
	MinErrorPct float64
	// MaxInFlightOverPct is by how many percent the largest number of requests in
	// flight of a greedy customer exceeded its limit. It applies to concurrency
	// limits of at least MinConcurrent, for which MaxErrorPct and MinErrorPct are
	// the errors of the mean number in flight.
	MaxInFlightOverPct float64
	// ModestRefusedPct is the share of the modest customers' requests that were
	// refused, and WaitedPct the share of all admitted requests that waited for a
	// home's grant, both in percent.
	ModestRefusedPct float64
	WaitedPct        float64
	// BytesMean and BytesMax are the mean and the maximum over the routers of the
	// control bytes that a router sent per second.
	BytesMean float64
	BytesMax  float64
}

// FleetResult leaves out greedy customers whose limit allows fewer than MinAdmitted
// requests, or fewer than MinConcurrent requests in flight.
const (
	MinAdmitted   = 100
	MinConcurrent = 10
)

// MeanRunTime is the mean time that a request runs.
const MeanRunTime = 5 * time.Second

const (
	requestTokens = 300.0
	// messageOverhead is the size of a frame's length prefix and of the IP and UDP
	// headers.
	messageOverhead = 4 + 20 + 8
	// creditTick is how often a router sends the credit requests that are due.
	creditTick = time.Second
	// bundleDelay is how long a router collects credit requests for one message.
	bundleDelay = 2 * time.Millisecond
	// maxWait is how long a request waits for credit before it is refused.
	maxWait = time.Second
)

type fleet struct {
	Clock
	config           FleetConfig
	rng              *rand.Rand
	ids              []protocol.RouterID
	limiters         []*limits.Limiter
	homes            []*limits.Home
	localBuckets     []map[int]*localBucket
	customers        []*fleetCustomer
	byID             map[protocol.CustomerID]*fleetCustomer
	sendPlanned      []bool            // per router: a round of credit requests is scheduled
	waiting          [][]*fleetRequest // per router, in order of arrival
	bytes            []int             // per router: control bytes sent
	admittedRequests int
	waited           int // admitted requests that waited
}

type fleetCustomer struct {
	id              protocol.CustomerID
	home            int // index of the home router
	rate            float64
	limit           limits.Limit
	greedy          bool
	sent            int
	refused         int
	admittedTokens  float64
	inFlight        int
	maxInFlight     int
	inFlightSeconds float64 // sum over the requests of the seconds in flight
	countedUntil    time.Duration
}

// addInFlightTime adds the time in flight since the last call, without the warm-up.
func (c *fleetCustomer) addInFlightTime(now, warmUp time.Duration) {
	from := max(c.countedUntil, warmUp)
	if now > from {
		c.inFlightSeconds += float64(c.inFlight) * (now - from).Seconds()
		c.maxInFlight = max(c.maxInFlight, c.inFlight)
	}
	c.countedUntil = now
}

type fleetRequest struct {
	router        int
	customer      *fleetCustomer
	customerIndex int
	tokens        int
	sent          time.Duration
}

type localBucket struct {
	level     float64
	updatedAt time.Duration
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
		f.localBuckets = append(f.localBuckets, make(map[int]*localBucket))
	}
	f.waiting = make([][]*fleetRequest, config.Routers)
	f.bytes = make([]int, config.Routers)
	f.sendPlanned = make([]bool, config.Routers)
	f.assignHomes()
	var next func()
	next = func() {
		f.arrive()
		f.After(exponential(f.rng, config.Rate), next)
	}
	f.At(0, next)
	if config.Policy == Credit {
		for i := range config.Routers {
			f.At(time.Duration(f.rng.Int64N(int64(creditTick))), func() { f.tick(i) })
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
			c.limit = limits.Limit{Concurrent: int(math.Ceil(allowed * MeanRunTime.Seconds()))}
		}
		table[c.id] = c.limit
		f.byID[c.id] = c
		f.customers = append(f.customers, c)
	}
	return table
}

func (f *fleet) assignHomes() {
	byID := make(map[protocol.RouterID]int, len(f.ids))
	for i, id := range f.ids {
		byID[id] = i
	}
	for _, c := range f.customers {
		home, _ := limits.HomeOf(c.id, f.ids)
		c.home = byID[home]
	}
}

// arrive brings one request of a customer, drawn from the Zipf distribution, to a
// random router.
func (f *fleet) arrive() {
	n := f.pickCustomer()
	r := &fleetRequest{
		router:        f.rng.IntN(f.config.Routers),
		customer:      f.customers[n],
		customerIndex: n,
		tokens:        int(requestTokens * (0.5 + f.rng.Float64())),
		sent:          f.Now(),
	}
	if f.Now() >= f.config.WarmUp {
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
	f.applyDecision(r, f.limiters[r.router].Admit(f.Now(), r.customer.id, r.customer.limit, r.tokens))
}

// pickCustomer draws the index of a customer with a probability proportional to
// 1/rank, by rejection sampling from a log-uniform distribution.
func (f *fleet) pickCustomer() int {
	n := float64(f.config.Customers)
	for {
		rank := math.Pow(n+1, f.rng.Float64())
		k := int(rank)
		// The log-uniform draw gives rank k the weight log(1+1/k), so accept it with a
		// probability proportional to 1/k over that weight.
		accept := (1 / float64(k)) / math.Log1p(1/float64(k)) * math.Ln2
		if f.rng.Float64() < accept {
			return k - 1
		}
	}
}

func (f *fleet) applyDecision(r *fleetRequest, decision limits.Decision) {
	switch decision.Kind {
	case limits.Allow:
		f.admit(r)
	case limits.Refuse:
		f.refuse(r)
	case limits.Wait:
		f.waiting[r.router] = append(f.waiting[r.router], r)
		f.sendCreditRequests(r.router)
		f.At(decision.CheckAt, func() { f.retryWaiting(r.router, map[*fleetCustomer]bool{r.customer: true}) })
	}
}

func (f *fleet) admit(r *fleetRequest) {
	if f.config.Concurrent {
		f.run(r)
	}
	if f.Now() < f.config.WarmUp {
		return
	}
	f.admittedRequests++
	if f.Now() > r.sent {
		f.waited++
	}
	r.customer.admittedTokens += float64(r.tokens)
}

// run keeps a request in flight for an exponentially distributed time.
func (f *fleet) run(r *fleetRequest) {
	c := r.customer
	c.addInFlightTime(f.Now(), f.config.WarmUp)
	c.inFlight++
	f.After(exponential(f.rng, 1/MeanRunTime.Seconds()), func() {
		c.addInFlightTime(f.Now(), f.config.WarmUp)
		c.inFlight--
		f.limiters[r.router].Finished(f.Now(), c.id)
	})
}

func (f *fleet) refuse(r *fleetRequest) {
	if f.Now() >= f.config.WarmUp {
		r.customer.refused++
	}
}

// admitLocally decides by a token bucket of each router, for the baselines
// EqualShares and PerRouter. The bucket holds two seconds of the limit, but at
// least the tokens of the largest request.
func (f *fleet) admitLocally(r *fleetRequest) {
	rate := r.customer.limit.TokensPerSecond
	if f.config.Policy == EqualShares {
		rate /= float64(f.config.Routers)
	}
	depth := max(2*rate, 1.5*requestTokens)
	b := f.localBuckets[r.router][r.customerIndex]
	if b == nil {
		b = &localBucket{level: depth}
		f.localBuckets[r.router][r.customerIndex] = b
	}
	b.level = min(depth, b.level+rate*(f.Now()-b.updatedAt).Seconds())
	b.updatedAt = f.Now()
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
	f.sendCreditRequests(router)
	f.After(creditTick, func() { f.tick(router) })
}

func (f *fleet) result() FleetResult {
	r := FleetResult{MaxErrorPct: -100, MinErrorPct: 100, MaxInFlightOverPct: -100}
	seconds := (f.config.End - f.config.WarmUp).Seconds()
	modest, modestRefused := 0, 0
	for _, c := range f.customers {
		allowed := c.limit.TokensPerSecond * seconds
		if f.config.Concurrent && c.greedy && c.limit.Concurrent >= MinConcurrent {
			c.addInFlightTime(f.config.End, f.config.WarmUp)
			mean := c.inFlightSeconds / seconds / float64(c.limit.Concurrent)
			r.MaxErrorPct = max(r.MaxErrorPct, 100*(mean-1))
			r.MinErrorPct = min(r.MinErrorPct, 100*(mean-1))
			r.MaxInFlightOverPct = max(r.MaxInFlightOverPct, 100*(float64(c.maxInFlight)/float64(c.limit.Concurrent)-1))
			continue
		}
		switch {
		case !c.greedy:
			modest += c.sent
			modestRefused += c.refused
		case !f.config.Concurrent && allowed >= MinAdmitted*requestTokens:
			r.MaxErrorPct = max(r.MaxErrorPct, 100*(c.admittedTokens/allowed-1))
			r.MinErrorPct = min(r.MinErrorPct, 100*(c.admittedTokens/allowed-1))
		}
	}
	r.ModestRefusedPct = percent(modestRefused, modest)
	r.WaitedPct = percent(f.waited, f.admittedRequests)
	for _, sent := range f.bytes {
		perSecond := float64(sent) / seconds
		r.BytesMean += perSecond / float64(f.config.Routers)
		r.BytesMax = max(r.BytesMax, perSecond)
	}
	return r
}
