package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
)

// deskRun simulates a plain service of a few servers behind many routers, each of which
// knows the others' load as of their last reports.
type deskRun struct {
	routers int
	// slots is how many requests each server runs at once; the others wait.
	slots int
	// speeds are the durations of requests on each server, as multiples of work.
	speeds []float64
	// perSecond is the rate of requests, work the duration of one.
	perSecond float64
	work      time.Duration
	// skew is the share of the requests that go to the routers of the first data centre,
	// 0 for an even distribution.
	skew    float64
	seconds int
}

// deskEvent is a request that arrives or ends, or a router that reports its load.
type deskEvent struct {
	at     time.Duration
	kind   deskEventKind
	router int
	server int
	// began is when the request arrived.
	began time.Duration
}

type deskEventKind uint8

const (
	requestArrives deskEventKind = iota
	requestEnds
	routerReports
)

// deskServer runs requests in its slots and queues the others.
type deskServer struct {
	busy    int
	waiting []deskEvent
}

// deskModel is the state of a simulation.
type deskModel struct {
	deskRun
	random    *rand.Rand
	list      []roster.Entry
	balancers []*Balancer
	servers   []deskServer
	events    timequeue.Queue[deskEvent]
	took      []time.Duration
}

// play returns the sorted durations of the requests.
func (run deskRun) play(seed uint64) []time.Duration {
	m := &deskModel{deskRun: run, random: rand.New(rand.NewPCG(seed, 1)), servers: make([]deskServer, len(run.speeds))}
	for i := range run.speeds {
		m.list = append(m.list, roster.Entry{
			ID: protocol.UpstreamID(fmt.Sprintf("u%02d", i)), Service: "s", State: roster.Ready, DataCentre: deskDataCentre(i),
		})
	}
	for i := range run.routers {
		m.startRouter(i)
	}
	m.push(deskEvent{kind: requestArrives})
	end := time.Duration(run.seconds) * time.Second
	for next, any := m.events.Next(); any && next < end; next, any = m.events.Next() {
		_, e := m.events.Pop()
		m.step(e)
	}
	slices.Sort(m.took)
	return m.took
}

// deskDataCentre distributes routers and servers over four data centres.
func deskDataCentre(i int) protocol.DataCentre { return protocol.DataCentre(fmt.Sprint("dc", i%4)) }

func deskRouter(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprint("r", i)) }

// startRouter adds a router that reports to the others, with a random offset.
func (m *deskModel) startRouter(i int) {
	b := NewBalancer(Settings{Multiple: 2, Slack: 3, DataCentre: deskDataCentre(i)})
	b.SetRoster(m.list)
	var n Neighbours
	for j := range m.routers {
		if j != i {
			n.Mesh = append(n.Mesh, deskRouter(j))
		}
	}
	b.SetNeighbours(n)
	m.balancers = append(m.balancers, b)
	first := time.Duration(m.random.Float64() * float64(b.ReportInterval()))
	m.push(deskEvent{at: first, kind: routerReports, router: i})
}

// push adds an event.
func (m *deskModel) push(e deskEvent) { m.events.Push(e.at, e) }

func (m *deskModel) step(e deskEvent) {
	switch e.kind {
	case routerReports:
		m.report(e)
	case requestArrives:
		m.arrive(e)
	case requestEnds:
		m.end(e)
	}
}

// report sends a router's load report to all others, sometimes a full one.
func (m *deskModel) report(e deskEvent) {
	b := m.balancers[e.router]
	loads, any := b.OwnLoadReport(m.random.IntN(3) == 0)
	for j, other := range m.balancers {
		if j != e.router && any {
			other.ApplyLoadReport(now+e.at, deskRouter(e.router), loads)
		}
	}
	m.push(deskEvent{at: e.at + b.ReportInterval(), kind: routerReports, router: e.router})
}

// arrive sends a request to its server, and draws when the next one arrives.
func (m *deskModel) arrive(e deskEvent) {
	router := m.random.IntN(m.routers)
	if m.random.Float64() < m.skew {
		router -= router % 4
	}
	choice := m.balancers[router].Pick(now+e.at, m.random, plain())
	m.balancers[router].Started(choice.ID)
	server := slices.IndexFunc(m.list, func(e roster.Entry) bool { return e.ID == choice.ID })
	m.serve(e.at, deskEvent{router: router, server: server, began: e.at})
	pause := time.Duration(m.random.ExpFloat64() / m.perSecond * float64(time.Second))
	m.push(deskEvent{at: e.at + pause, kind: requestArrives})
}

// serve has a server run a request, once it has a free slot.
func (m *deskModel) serve(at time.Duration, request deskEvent) {
	s := &m.servers[request.server]
	if s.busy >= m.slots {
		s.waiting = append(s.waiting, request)
		return
	}
	s.busy++
	work := float64(m.work) * math.Exp(0.5*m.random.NormFloat64()) * m.speeds[request.server]
	request.kind = requestEnds
	request.at = at + time.Duration(work)
	m.push(request)
}

func (m *deskModel) end(e deskEvent) {
	m.took = append(m.took, e.at-e.began)
	m.balancers[e.router].Ended(now+e.at, m.list[e.server].ID, Served)
	s := &m.servers[e.server]
	s.busy--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		m.serve(e.at, next)
	}
}

func TestManyRoutersWithStaleLoadsBalanceADesk(t *testing.T) {
	// Guards: many routers with stale loads send to the same idle server. A desk of four
	// servers is half loaded, and each of 83 routers learns of the others' load every 0.4
	// s. If each sent to the server that looked idle, that one would have a queue while
	// the others have none, and callers would wait three times as long as the work takes.
	// The reference is a desk on which no request ever waits.
	for name, run := range map[string]deskRun{
		"83 routers":                              {routers: 83, speeds: []float64{1, 1, 1, 1}, perSecond: 400},
		"83 routers, most callers in one place":   {routers: 83, speeds: []float64{1, 1, 1, 1}, perSecond: 400, skew: 0.7},
		"9 routers":                               {routers: 9, speeds: []float64{1, 1, 1, 1}, perSecond: 400},
		"9 routers with little to do":             {routers: 9, speeds: []float64{1, 1, 1, 1}, perSecond: 60},
		"40 routers, twelve servers, longer work": {routers: 40, speeds: slices.Repeat([]float64{1}, 12), perSecond: 120, work: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			run.slots, run.seconds = 6, 20
			if run.work == 0 {
				run.work = 30 * time.Millisecond
			}
			took := run.play(1)
			unqueued := run
			unqueued.slots = 1000
			ideal := unqueued.play(1)
			for _, q := range []float64{0.5, 0.9, 0.99} {
				assert.Assert(t, quantile(took, q) <= quantile(ideal, q)*5/4, "%.2f: %v, without waiting %v", q, quantile(took, q), quantile(ideal, q))
			}
		})
	}
}

func TestASlowServerOfADeskGetsLess(t *testing.T) {
	// Guards: a slow server gets as many requests as the others. One server of four takes
	// three times as long. With a quarter of the requests its queue would grow by the
	// second, and its callers would wait until their deadlines.
	run := deskRun{routers: 83, slots: 6, speeds: []float64{1, 1, 1, 3}, perSecond: 350, work: 30 * time.Millisecond, seconds: 20}
	took := run.play(1)
	assert.Assert(t, quantile(took, 0.9) < 150*time.Millisecond, "%v", quantile(took, 0.9))
	assert.Assert(t, quantile(took, 0.99) < 500*time.Millisecond, "%v", quantile(took, 0.99))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
