package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/loadlimit"
	"endiveplank/coordination/roster"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
)

// speedSource says from what a router takes an upstream's speed.
type speedSource string

const (
	noSource        speedSource = "load alone"
	fromPace        speedSource = "reported pace"
	fromCompletions speedSource = "completions"
	fromTimes       speedSource = "own answer times"
	fromOracle      speedSource = "known at once"
)

// uneven plays routers before upstreams of one service that differ in speed. The first upstream is
// slowFactor times slower from slowFrom to slowEnd.
type uneven struct {
	source             speedSource
	routers, upstreams int
	slots              int
	perSecond          float64
	// jitter lets each machine's speed change many times a second.
	jitter bool
}

const (
	slowFactor   = 5
	slowFrom     = 10 * time.Second
	slowEnd      = 15 * time.Second
	unevenFrom   = 3 * time.Second
	unevenEnd    = 22 * time.Second
	plainWork    = 60 * time.Millisecond
	plainLimit   = 300 * time.Millisecond
	networkDelay = 10 * time.Millisecond
	jitterHold   = 80 * time.Millisecond
	meanJitter   = 1.125
)

type unevenKind uint8

const (
	arrives unevenKind = iota
	reaches
	done
	answers
	reports
	delivers
)

// unevenEvent is something that happens in a simulation. A request's arrival is at.
type unevenEvent struct {
	kind       unevenKind
	router     int
	upstream   int
	at         time.Duration
	work       time.Duration
	load       Observation
	choiceLoad int
	report     balance.LoadReport
}

type unevenUpstream struct {
	speed       float64
	running     int
	queue       []unevenEvent
	inFlight    int
	completed   []time.Duration
	received    []int
	jitter      float64
	jitterUntil time.Duration
}

type unevenModel struct {
	uneven
	random    *rand.Rand
	events    timequeue.Queue[unevenEvent]
	balancers []*balance.Balancer
	reports   []*Reports
	times     [][]float64
	roles     []balance.Neighbours
	entries   []roster.Entry
	state     []*unevenUpstream
	indexOf   map[protocol.UpstreamID]int
	// asked and inTime count requests, during in the slow time and after it until a second later.
	asked, inTime             int
	askedDuring, inTimeDuring int
	unused, refused           int
	limiters                  []*loadlimit.Limiter
	// shortUntil is until when routers pass on what upstreams report, after a late answer.
	shortUntil time.Duration
}

func (run uneven) play(seed uint64) *unevenModel {
	m := &unevenModel{uneven: run, random: rand.New(rand.NewPCG(seed, 1)), roles: rolesOf(run.routers), indexOf: map[protocol.UpstreamID]int{}}
	m.entries = listed(plain, run.upstreams, run.slots)
	for i := range m.entries {
		m.entries[i].DataCentre = protocol.DataCentre(fmt.Sprint(i % 3))
		speed := 1.0
		if i%3 == 2 {
			speed = 1.3
		}
		m.state = append(m.state, &unevenUpstream{speed: speed, received: make([]int, int(unevenEnd/(100*time.Millisecond))+1)})
		m.indexOf[m.entries[i].ID] = i
	}
	for i := range run.routers {
		settings := balance.Settings{Multiple: 2, Slack: 3, DataCentre: protocol.DataCentre(fmt.Sprint(i % 3)), BySpeed: run.source != noSource}
		b, r := balance.NewBalancer(settings), New()
		b.SetRoster(m.entries)
		b.SetNeighbours(m.roles[i])
		r.SetRoster(m.entries)
		m.balancers, m.reports = append(m.balancers, b), append(m.reports, r)
		m.limiters = append(m.limiters, loadlimit.NewLimiter())
		m.times = append(m.times, make([]float64, run.upstreams))
		m.events.Push(time.Duration(m.random.Float64()*float64(b.ReportInterval())), unevenEvent{kind: reports, router: i})
	}
	m.events.Push(0, unevenEvent{kind: arrives})
	for next, any := m.events.Next(); any && next < unevenEnd; next, any = m.events.Next() {
		at, e := m.events.Pop()
		m.step(at, e)
	}
	return m
}

func (m *unevenModel) step(at time.Duration, e unevenEvent) {
	switch e.kind {
	case arrives:
		m.events.Push(at+time.Duration(m.random.ExpFloat64()/m.perSecond*float64(time.Second)), e)
		m.send(at)
	case reaches:
		m.state[e.upstream].queue = append(m.state[e.upstream].queue, e)
		m.startNext(at, e.upstream)
	case done:
		m.done(at, e)
	case answers:
		m.ended(at, e)
	case reports:
		m.report(at, e.router)
	case delivers:
		from := routerID(e.router)
		for _, to := range m.roles[e.router].Mesh {
			var other int
			fmt.Sscanf(string(to), "r%d", &other)
			m.balancers[other].ApplyLoadReport(start+at, from, e.report)
			m.reports[other].Apply(start+at, m.roles[other], from, e.report.Reported)
		}
	}
}

func (m *unevenModel) send(at time.Duration) {
	router := m.random.IntN(m.routers)
	limiter := m.limiters[router]
	request := balance.Request{Service: plain, LoadLimit: limiter.Arrived(start+at, "c")}
	request.Slowness = func(id protocol.UpstreamID) float64 { return m.known(at, router, id) }
	e := unevenEvent{kind: reaches, router: router, at: at, work: time.Duration((0.5 + m.random.Float64()) * float64(plainWork))}
	choice := m.balancers[router].Pick(start+at, m.random, request)
	if choice.ID == "" {
		if m.counted(at) {
			m.refused++
			m.asked++
			if at >= slowFrom && at < slowEnd+time.Second {
				m.askedDuring++
			}
		}
		return
	}
	limiter.Admitted(start + at)
	e.choiceLoad = choice.Load
	m.balancers[router].Started(choice.ID)
	e.upstream = m.indexOf[choice.ID]
	u := m.state[e.upstream]
	u.inFlight++
	u.received[int(at/(100*time.Millisecond))]++
	m.events.Push(at+networkDelay, e)
}

// slowness returns how many times as long as usual work takes on an upstream at this moment.
func (m *unevenModel) slowness(at time.Duration, n int) float64 {
	u := m.state[n]
	if !m.jitter {
		return m.baseSlowness(at, n)
	}
	for u.jitterUntil <= at {
		u.jitter = (0.5 + 2.5*m.random.Float64()*m.random.Float64()) / meanJitter
		u.jitterUntil = max(at, u.jitterUntil) + time.Duration(m.random.ExpFloat64()*float64(jitterHold))
	}
	return u.jitter * m.baseSlowness(at, n)
}

// baseSlowness returns the same without the jitter.
func (m *unevenModel) baseSlowness(at time.Duration, n int) float64 {
	if n == 0 && at >= slowFrom && at < slowEnd {
		return slowFactor * m.state[n].speed
	}
	return m.state[n].speed
}

func (m *unevenModel) startNext(at time.Duration, n int) {
	u := m.state[n]
	for u.running < m.slots && len(u.queue) > 0 {
		u.running++
		e := u.queue[0]
		u.queue = u.queue[1:]
		e.kind = done
		m.events.Push(at+m.took(at, n, e.work), e)
	}
}

// took returns how long work takes that begins now, as the speed changes on the way.
func (m *unevenModel) took(at time.Duration, n int, work time.Duration) time.Duration {
	slow := m.slowness(at, n)
	spent := time.Duration(0)
	for _, until := range []time.Duration{slowFrom, slowEnd} {
		if n != 0 || at >= until {
			continue
		}
		if at+time.Duration(float64(work)*slow) <= until {
			break
		}
		work -= time.Duration(float64(until-at) / slow)
		spent += until - at
		slow *= m.baseSlowness(until, n) / m.baseSlowness(at, n)
		at = until
	}
	return spent + time.Duration(float64(work)*slow)
}

// done ends a request and notes the load that the answer's header reports.
func (m *unevenModel) done(at time.Duration, e unevenEvent) {
	u := m.state[e.upstream]
	l := load(u.running, len(u.queue), int(100*m.slowness(at, e.upstream)))
	l.Slots = m.slots
	entry := m.entries[e.upstream]
	e.load = Observation{Upstream: entry.ID, StartedAt: entry.StartedAt, Load: l, Kind: "all", Took: at + networkDelay - e.at}
	if m.counted(e.at) {
		m.judge(e)
	}
	u.running--
	m.startNext(at, e.upstream)
	e.kind = answers
	m.events.Push(at+networkDelay, e)
}

func (m *unevenModel) counted(arrived time.Duration) bool {
	return arrived >= unevenFrom && arrived < unevenEnd-3*time.Second
}

func (m *unevenModel) judge(e unevenEvent) {
	m.asked++
	during := e.at >= slowFrom && e.at < slowEnd+time.Second
	if during {
		m.askedDuring++
	}
	if e.load.Took <= plainLimit {
		m.inTime++
		if during {
			m.inTimeDuring++
		}
	}
}

func (m *unevenModel) ended(at time.Duration, e unevenEvent) {
	u, b := m.state[e.upstream], m.balancers[e.router]
	u.inFlight--
	u.completed = append(u.completed, at)
	b.Ended(start+at, e.load.Upstream, balance.Served)
	e.load.InFlight = b.OwnInFlight(e.load.Upstream)
	e.load.FleetInFlight, _ = b.Load(e.load.Upstream)
	if e.load.Took > plainLimit {
		m.shortUntil = at + 2*time.Second
	}
	m.limiters[e.router].Record(start+at, e.choiceLoad, e.load.Took <= plainLimit/2)
	if verdict := m.reports[e.router].Observe(start+at, e.load); verdict != Used {
		m.unused++
	}
	known := &m.times[e.router][e.upstream]
	if took := e.load.Took.Seconds(); *known == 0 {
		*known = took
	} else {
		*known += 0.2 * (took - *known)
	}
}

// report sends a router's load to the others.
func (m *unevenModel) report(at time.Duration, router int) {
	b := m.balancers[router]
	report, _ := b.OwnLoadReport(m.random.IntN(3) == 0)
	if out := m.reports[router].Pending(start+at, m.roles[router], func(protocol.Service) bool { return at < m.shortUntil }); len(out) > 0 {
		report.Reported = out[0].Reported
	}
	m.events.Push(at+networkDelay, unevenEvent{kind: delivers, router: router, report: report})
	m.events.Push(at+b.ReportInterval(), unevenEvent{kind: reports, router: router})
}

// known returns how slow a router takes an upstream for.
func (m *unevenModel) known(at time.Duration, router int, id protocol.UpstreamID) float64 {
	switch n := m.indexOf[id]; m.source {
	case fromOracle:
		return m.baseSlowness(at, n)
	case fromPace:
		return m.reports[router].Slowness(start+at, id)
	case fromTimes:
		return relative(m.times[router], n)
	case fromCompletions:
		return m.byCompletions(at, n)
	}
	return 1
}

// relative returns a known time as a multiple of the mean of all that are known.
func relative(known []float64, n int) float64 {
	sum, count := 0.0, 0
	for _, t := range known {
		if t > 0 {
			sum += t
			count++
		}
	}
	if known[n] == 0 {
		return 1
	}
	return known[n] * float64(count) / sum
}

// byCompletions returns how many requests an upstream completes in a second for each in flight,
// over the last second and of all routers, in relation to the mean of all upstreams.
func (m *unevenModel) byCompletions(at time.Duration, n int) float64 {
	rate := func(u *unevenUpstream) float64 {
		for len(u.completed) > 0 && u.completed[0] < at-time.Second {
			u.completed = u.completed[1:]
		}
		return (float64(len(u.completed)) + 1) / (float64(min(u.inFlight, m.slots)) + 1)
	}
	sum := 0.0
	for _, u := range m.state {
		sum += rate(u)
	}
	return sum / float64(len(m.state)) / rate(m.state[n])
}

// part returns the part of the requests that the first upstream got, as a multiple of an even part.
func (m *unevenModel) part(from, to time.Duration) float64 {
	sum, first := 0, 0
	for n, u := range m.state {
		for i := from / (100 * time.Millisecond); i < to/(100*time.Millisecond); i++ {
			sum += u.received[i]
			if n == 0 {
				first += u.received[i]
			}
		}
	}
	return float64(first) * float64(len(m.state)) / float64(sum)
}
