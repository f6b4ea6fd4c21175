package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/demand"
	"endiveplank/coordination/retryschedule"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
)

// fleet describes a simulated fleet: routers before the servers of one service.
type fleet struct {
	routers, servers, slots int
	// work is the mean time that a request takes on a slot. An answer begins after first, or at
	// the end of the work if first is 0.
	work, first, objective time.Duration
	// usual is the usual demand as a part of the capacity.
	usual float64
	// length is how long a simulation runs.
	length time.Duration
}

// trouble is what happens in a simulation from troubleFrom to troubleEnd.
type trouble struct {
	name string
	// demand multiplies the usual demand, and customer that of the largest customer, whose additional
	// requests all arrive at router 0 if oneRouter is set.
	demand, customer float64
	oneRouter        bool
	// lost is how many servers are lost for good at troubleFrom, back how many return at the end.
	lost, back int
	// impatient is the part of the callers that retry at once, whatever Retry-After says.
	impatient float64
	// killed says that router 0 is killed and started again, and cutOff that it is cut off.
	killed, cutOff bool
	// lowered says that all limits are set far too low, and falseLoad by how many requests a server
	// overstates its load.
	lowered   bool
	falseLoad int
	// funnel says that all requests arrive at router 0.
	funnel bool
	// unlimited plays without a Limiter, silent without announced slots.
	unlimited, silent bool
	// slower multiplies the work.
	slower float64
}

// The times of a simulation.
const (
	modelStart  = time.Hour
	troubleFrom = 5 * time.Second
	troubleEnd  = 15 * time.Second
	tick        = 50 * time.Millisecond
	reportTTL   = 2500 * time.Millisecond
	wave        = 20 * time.Second
	waveHeight  = 0.25
	burst       = 3
	customers   = 24
	listed      = 8
	callerWaits = 3 * time.Second
	impatient   = 0.1
	hop         = 5 * time.Millisecond
)

// rankParts is the usual mix of ranks.
var rankParts = [demand.Ranks]float64{0.15, 0.35, 0.3, 0.2}

// attempt is one request of a caller at a router.
type attempt struct {
	router, rank, customer int
	at, asked              time.Duration
	retry, impatient       bool
	reserved               bool
	server, life           int
}

type eventKind uint8

const (
	bursts eventKind = iota
	arrives
	begins
	ends
	ticks
	publishes
	applies
	breaks
)

type event struct {
	kind     eventKind
	a        *attempt
	router   int
	snapshot counts
}

// modelRouter is a router of a simulation.
type modelRouter struct {
	limiter       *Limiter
	schedule      *retryschedule.Schedule
	own, reported counts
	flight        []int
	constrainedAt time.Duration
	startedAt     time.Duration
	isolated      bool
	// refused and asked count the largest customer's requests while it is measured, and
	// othersRefused and othersAsked those of the others.
	refused, asked, othersRefused, othersAsked float64
	// frozen is the last sum of the others' counts before the router was cut off.
	frozen     counts
	isolatedAt time.Duration
	// limitedAt is when the router first had a limit.
	limitedAt time.Duration
}

// modelServer is a server of a simulation.
type modelServer struct {
	running, life int
	queue         []*attempt
	gone          bool
	average       float64
}

// outcome counts the callers of a simulation by what became of them.
type outcome struct{ inTime, late, refused, rejected, lost float64 }

func (o outcome) all() float64 { return o.inTime + o.late + o.refused + o.rejected + o.lost }

// model is the state of a simulation.
type model struct {
	fleet
	trouble
	random   *rand.Rand
	events   timequeue.Queue[event]
	routers  []*modelRouter
	servers  []*modelServer
	sums     counts
	digest   uint64
	names    [customers]protocol.CustomerID
	hashes   [customers]demand.CustomerHash
	weights  [customers]float64
	outcomes map[string]*outcome
	// seconds are the outcomes by second of the arrival, new requests only.
	seconds []outcome
	// possible is what the capacity allows in each second.
	possible []float64
	// again counts the retries that honoured Retry-After, and refusedAgain those refused again.
	again, refusedAgain float64
	firstLimit          time.Duration
}

// capacity returns how many requests a second the servers can complete.
func (m *model) capacity() float64 {
	ready := 0
	for _, s := range m.servers {
		if !s.gone {
			ready++
		}
	}
	return float64(ready*m.slots) / m.work.Seconds()
}

func (m *model) inTrouble(at time.Duration) bool { return at >= troubleFrom && at < troubleEnd }

// play runs a simulation.
func play(f fleet, t trouble, seed uint64) *model {
	m := &model{fleet: f, trouble: t, random: rand.New(rand.NewPCG(seed, 1)), outcomes: map[string]*outcome{}}
	m.seconds = make([]outcome, int(f.length.Seconds())+1)
	m.possible = make([]float64, len(m.seconds))
	total := 0.0
	for n := range customers {
		m.names[n] = protocol.CustomerID(fmt.Sprintf("c%02d", n))
		m.hashes[n] = demand.CustomerHashOf(m.names[n])
		m.weights[n] = 1 / float64(n+2)
		total += m.weights[n]
	}
	for n := range customers {
		m.weights[n] /= total
	}
	for range f.servers {
		m.servers = append(m.servers, &modelServer{})
	}
	for n := range f.routers {
		m.routers = append(m.routers, m.newRouter(0))
		m.events.Push(time.Duration(m.random.Float64()*float64(tick)), event{kind: ticks, router: n})
		m.events.Push(time.Duration(m.random.Float64()*float64(m.interval())), event{kind: publishes, router: n})
	}
	m.events.Push(0, event{kind: bursts})
	m.events.Push(troubleFrom, event{kind: breaks, router: 0})
	m.events.Push(troubleEnd, event{kind: breaks, router: 1})
	m.events.Push(troubleFrom+3*time.Second, event{kind: breaks, router: 2})
	for next, any := m.events.Next(); any && next < f.length; next, any = m.events.Next() {
		at, e := m.events.Pop()
		m.step(at, e)
	}
	return m
}

func (m *model) newRouter(at time.Duration) *modelRouter {
	return &modelRouter{limiter: New(usualSettings), schedule: retryschedule.NewSchedule(retryschedule.Settings{Reserve: usualSettings.Reserve}), flight: make([]int, len(m.servers)), constrainedAt: -time.Hour, startedAt: at, own: counts{at: at}}
}

// interval is the time between two reports of a router.
func (m *model) interval() time.Duration {
	if m.fleet.routers >= 100 {
		return 250 * time.Millisecond
	}
	return max(100*time.Millisecond, time.Duration(m.fleet.routers)*5*time.Millisecond)
}

// delay is how long a report takes to the other routers.
func (m *model) delay() time.Duration {
	if m.fleet.routers >= 100 {
		return hop + time.Duration(m.random.Float64()*float64(m.interval()))
	}
	return hop
}

func (m *model) step(at time.Duration, e event) {
	switch e.kind {
	case bursts:
		m.burst(at)
	case arrives:
		m.arrive(at, e.a)
	case begins:
		m.begin(at, e.a)
	case ends:
		m.end(at, e.a)
	case ticks:
		m.tick(at, e.router)
	case publishes:
		m.publish(at, e.router)
	case applies:
		r := m.routers[e.router]
		m.sums.add(&r.reported, -1)
		r.reported = e.snapshot
		m.sums.add(&r.reported, 1)
	case breaks:
		m.breaks(at, e.router)
	}
}

// rate returns the demand at a time in requests a second, and that of the largest customer's
// additional requests.
func (m *model) rate(at time.Duration) (usual, extra float64) {
	full := float64(m.fleet.servers*m.slots) / m.work.Seconds()
	usual = m.usual * full * (1 + waveHeight*math.Sin(2*math.Pi*at.Seconds()/wave.Seconds()))
	if m.inTrouble(at) {
		if m.trouble.demand > 0 {
			usual *= m.trouble.demand
		}
		if m.customer > 1 {
			extra = usual * m.weights[0] * (m.customer - 1)
		}
	}
	return usual, extra
}

// burst lets a caller send a burst of requests.
func (m *model) burst(at time.Duration) {
	usual, extra := m.rate(at)
	m.events.Push(at+time.Duration(m.random.ExpFloat64()*burst/(usual+extra)*float64(time.Second)), event{kind: bursts})
	router, customer := m.random.IntN(m.fleet.routers), 0
	if m.random.Float64()*(usual+extra) < usual {
		customer = m.draw(m.weights[:])
	} else if m.oneRouter {
		router = 0
	}
	if m.funnel && m.inTrouble(at) {
		router = 0
	}
	part := impatient
	if m.inTrouble(at) && m.trouble.impatient > 0 {
		part = m.trouble.impatient
	}
	second := int(at / time.Second)
	m.possible[second] += burst
	for range burst {
		a := &attempt{router: router, rank: m.draw(rankParts[:]), customer: customer, at: at, asked: at, impatient: m.random.Float64() < part}
		m.arrive(at, a)
	}
}

// draw returns a random index by weights.
func (m *model) draw(weights []float64) int {
	point := m.random.Float64()
	for n, weight := range weights {
		if point -= weight; point < 0 {
			return n
		}
	}
	return len(weights) - 1
}

// arrive lets a request arrive at a router.
func (m *model) arrive(at time.Duration, a *attempt) {
	r := m.routers[a.router]
	r.own.decay(at)
	r.own.arrived[a.rank]++
	r.own.customers[a.customer]++
	remaining := callerWaits - (at - a.asked)
	d := r.limiter.Admit(modelStart+at, m.random.Float64(), Request{Rank: a.rank, Customer: m.names[a.customer], Remaining: remaining, Reserved: a.reserved})
	r.count(!a.retry && m.measured(at) && m.inTrouble(at), a.customer == 0, d.Admitted)
	if a.retry && !a.impatient {
		m.again++
	}
	if d.Admitted || m.unlimited {
		r.own.admitted[a.rank]++
		m.send(at, a, -1)
		return
	}
	if a.retry && !a.impatient {
		m.refusedAgain++
	}
	r.constrainedAt = at
	m.refused(at, a, d.Reason, remaining)
}

// count counts a request for the comparison of routers.
func (r *modelRouter) count(counted, largest, admitted bool) {
	switch {
	case !counted:
	case largest && !admitted:
		r.refused++
		r.asked++
	case largest:
		r.asked++
	case !admitted:
		r.othersRefused++
		r.othersAsked++
	default:
		r.othersAsked++
	}
}

// refused lets a caller retry once, at another router, when the router's schedule says.
func (m *model) refused(at time.Duration, a *attempt, reason Reason, remaining time.Duration) {
	retry := *a
	retry.retry, retry.at = true, at
	switch {
	case a.impatient:
	case reason == ReasonOutlier:
		retry.at = at + remaining/3
	default:
		offer := m.offer(at, a, remaining)
		retry.at, retry.reserved = at+offer.RetryAfter, offer.Reserved
	}
	if a.retry || retry.at-at > remaining/3 {
		m.finish(a, func(o *outcome) { o.refused++ })
		return
	}
	if !m.funnel {
		retry.router = m.random.IntN(m.fleet.routers)
	}
	m.events.Push(retry.at, event{kind: arrives, a: &retry})
}

// offer returns what a router's schedule offers. The part of the router is that of its arrivals.
func (m *model) offer(at time.Duration, a *attempt, remaining time.Duration) retryschedule.Offer {
	r := m.routers[a.router]
	m.digest++
	capacity := retryschedule.Capacity{
		Limit: r.limiter.Limit(),
		Part:  demand.Sum(m.ownCounts(at, r).arrived) / max(demand.Sum(r.limiter.totals.Arrived), 1),
		Known: retryschedule.KnownAfter(m.interval(), m.fleet.routers >= 100),
	}
	refused := retryschedule.Refused{Digest: m.digest, Rank: a.rank, Objective: m.objective, Remaining: remaining}
	return r.schedule.Offer(modelStart+at, m.random.Float64(), refused, capacity)
}

// finish counts what became of a caller's request.
func (m *model) finish(a *attempt, count func(*outcome)) {
	count(&m.seconds[int(a.asked/time.Second)])
	keys := []string{fmt.Sprintf("rank %d", a.rank), fmt.Sprintf("customer %02d", a.customer)}
	if !m.measured(a.asked) {
		return
	}
	for _, key := range append(keys, "all") {
		if m.outcomes[key] == nil {
			m.outcomes[key] = &outcome{}
		}
		count(m.outcomes[key])
	}
}
