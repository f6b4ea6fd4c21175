package throttle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
)

// fleetRun plays many routers before a few fragile servers that get more requests than they can
// run: the requests take longer from overloadFrom on. A server that refuses more than it bears in
// a second falls over.
type fleetRun struct {
	routers, servers int
	// slots is how many requests a server runs at once, room how many may wait behind them.
	slots, room int
	// bears is how many refusals in a second a server bears.
	bears     int
	perSecond float64
	// work is how long a request takes, slowWork in the overload.
	work, slowWork time.Duration
	// unlimited plays without a Throttle.
	unlimited bool
	// losesPaths says that the first router has no path to the servers between pathsLost and pathsBack.
	losesPaths bool
	// lowered says that the limits of the first router are cut to a tenth at pathsLost.
	lowered bool
}

// The times of a fleetRun.
const (
	overloadFrom  = 5 * time.Second
	overloadEnd   = 25 * time.Second
	fleetEnd      = 30 * time.Second
	downFor       = 4 * time.Second
	messageDelay  = 3 * time.Millisecond
	maxSentTo     = 2
	fragileServer = protocol.Service("s")
)

type fleetEventKind uint8

const (
	arrives fleetEventKind = iota
	ends
	reports
	told
	expires
	lowers
)

// fleetEvent is something that happens in a simulation.
type fleetEvent struct {
	kind           fleetEventKind
	router, server int
	// life is the server's incarnation that a request runs on.
	life    int
	refusal Refusal
}

// fleetServer is one server.
type fleetServer struct {
	running   int
	queue     []int
	refusals  []time.Duration
	downUntil time.Duration
	life      int
}

// fleetModel is the state of a simulation.
type fleetModel struct {
	fleetRun
	random    *rand.Rand
	events    timequeue.Queue[fleetEvent]
	balancers []*balance.Balancer
	throttles []*Throttle
	servers   []*fleetServer
	// falls counts servers that fell over. In the overload, asked counts requests and served
	// those that were answered.
	falls, asked, served int
	paths                pathCounts
}

func serverID(n int) protocol.UpstreamID { return protocol.UpstreamID(fmt.Sprintf("u%02d", n)) }
func routerID(n int) protocol.RouterID   { return protocol.RouterID(fmt.Sprintf("r%03d", n)) }

// start is when simulations begin by the routers' clocks.
const start = time.Hour

// play runs a simulation.
func (run fleetRun) play(seed uint64) *fleetModel {
	m := &fleetModel{fleetRun: run, random: rand.New(rand.NewPCG(seed, 1))}
	var list []roster.Entry
	for n := range run.servers {
		m.servers = append(m.servers, &fleetServer{})
		list = append(list, roster.Entry{ID: serverID(n), Service: fragileServer, State: roster.Ready, DataCentre: protocol.DataCentre(fmt.Sprint(n % 3))})
	}
	for n := range run.routers {
		b := balance.NewBalancer(balance.Settings{Multiple: 2, Slack: 3, DataCentre: protocol.DataCentre(fmt.Sprint(n % 3))})
		b.SetRoster(list)
		var others []protocol.RouterID
		for other := range run.routers {
			if other != n {
				others = append(others, routerID(other))
			}
		}
		b.SetNeighbours(balance.Neighbours{Mesh: others})
		m.balancers, m.throttles = append(m.balancers, b), append(m.throttles, New())
		m.events.Push(time.Duration(m.random.Float64()*float64(b.ReportInterval())), fleetEvent{kind: reports, router: n})
	}
	m.events.Push(0, fleetEvent{kind: arrives})
	m.events.Push(time.Second, fleetEvent{kind: expires})
	if run.lowered {
		m.events.Push(pathsLost, fleetEvent{kind: lowers})
	}
	for next, any := m.events.Next(); any && next < fleetEnd; next, any = m.events.Next() {
		at, e := m.events.Pop()
		m.step(at, e)
	}
	return m
}

func (m *fleetModel) step(at time.Duration, e fleetEvent) {
	switch e.kind {
	case arrives:
		m.events.Push(at+time.Duration(m.random.ExpFloat64()/m.perSecond*float64(time.Second)), fleetEvent{kind: arrives})
		if inOverload(at) {
			m.asked++
		}
		router := m.random.IntN(m.routers)
		m.paths.asked.count(at, router)
		m.send(at, router, nil)
	case ends:
		m.end(at, e)
	case reports:
		m.report(at, e.router)
	case told:
		m.throttles[e.router].Told(start+at, e.refusal)
	case lowers:
		for _, u := range m.throttles[0].upstreams {
			u.limit = max(u.limit/10, minRate)
			u.ceiling = u.limit
		}
	case expires:
		for _, throttle := range m.throttles {
			throttle.Expire(start+at, func(protocol.UpstreamID) (protocol.Service, bool) { return fragileServer, true })
		}
		m.events.Push(at+time.Second, e)
	}
}

func inOverload(at time.Duration) bool { return at >= overloadFrom && at < overloadEnd }

// send sends a request from a router to the server that it chooses.
func (m *fleetModel) send(at time.Duration, router int, tried []protocol.UpstreamID) {
	now, b, throttle := start+at, m.balancers[router], m.throttles[router]
	request := balance.Request{Service: fragileServer, Tried: tried}
	if !m.unlimited {
		request.Throttled = func(id protocol.UpstreamID) bool { return !throttle.Admits(now, id) }
	}
	choice := b.Pick(now, m.random, request)
	if choice.ID == "" {
		return
	}
	n := slices.IndexFunc(m.servers, func(s *fleetServer) bool { return s == m.serverOf(choice.ID) })
	server := m.servers[n]
	b.Started(choice.ID)
	throttle.Sent(now, choice.ID)
	tried = append(tried, choice.ID)
	switch {
	case m.hasLostPaths(at, router):
		b.Ended(now, choice.ID, balance.NoPath)
		throttle.Unsent(now, choice.ID)
		return
	case at < server.downUntil:
		b.Ended(now, choice.ID, balance.Unreachable)
		throttle.Unsent(now, choice.ID)
	case server.running+len(server.queue) >= m.slots+m.room:
		b.Ended(now, choice.ID, balance.Refused)
		m.refuse(at, router, n)
	default:
		server.queue = append(server.queue, router)
		m.startNext(at, n)
		return
	}
	if len(tried) < maxSentTo {
		m.send(at, router, tried)
	}
}

func (m *fleetModel) serverOf(id protocol.UpstreamID) *fleetServer {
	for n, server := range m.servers {
		if serverID(n) == id {
			return server
		}
	}
	return nil
}

// refuse counts a refusal, tells the routers, and lets the server fall over.
func (m *fleetModel) refuse(at time.Duration, router, n int) {
	throttle := m.throttles[router]
	throttle.NoteFragile(start+at, fragileServer, m.bears)
	refusal, tell := throttle.Refused(start+at, serverID(n), fragileServer)
	for other := range m.routers {
		if tell && other != router {
			m.events.Push(at+messageDelay, fleetEvent{kind: told, router: other, refusal: refusal})
		}
	}
	server := m.servers[n]
	server.refusals = append(slices.DeleteFunc(server.refusals, func(before time.Duration) bool { return at-before >= time.Second }), at)
	if len(server.refusals) <= m.bears {
		return
	}
	m.falls++
	*server = fleetServer{downUntil: at + downFor, life: server.life + 1}
}

// startNext starts requests that wait while there are free slots.
func (m *fleetModel) startNext(at time.Duration, n int) {
	server := m.servers[n]
	work := m.work
	if inOverload(at) {
		work = m.slowWork
	}
	for server.running < m.slots && len(server.queue) > 0 {
		server.running++
		took := time.Duration((0.5 + m.random.Float64()) * float64(work))
		m.events.Push(at+took, fleetEvent{kind: ends, router: server.queue[0], server: n, life: server.life})
		server.queue = server.queue[1:]
	}
}

// end ends a request. One that ran as its server fell over is lost.
func (m *fleetModel) end(at time.Duration, e fleetEvent) {
	now, server := start+at, m.servers[e.server]
	if server.life != e.life {
		m.balancers[e.router].Ended(now, serverID(e.server), balance.Abandoned)
		return
	}
	server.running--
	m.startNext(at, e.server)
	m.balancers[e.router].Ended(now, serverID(e.server), balance.Served)
	throttle := m.throttles[e.router]
	throttle.NoteFragile(now, fragileServer, m.bears)
	throttle.Served(now, serverID(e.server))
	m.paths.served.count(at, e.router)
	if inOverload(at) {
		m.served++
	}
}

// report sends a router's load to the others.
func (m *fleetModel) report(at time.Duration, router int) {
	b := m.balancers[router]
	if report, any := b.OwnLoadReport(m.random.IntN(3) == 0); any {
		for other := range m.routers {
			if other != router {
				m.balancers[other].ApplyLoadReport(start+at, routerID(router), report)
			}
		}
	}
	m.events.Push(at+b.ReportInterval(), fleetEvent{kind: reports, router: router})
}

// capacity returns how many requests the servers can answer in the overload.
func (m *fleetModel) capacity() int {
	perSecond := float64(len(m.servers)*m.slots) / m.slowWork.Seconds()
	return int(min(perSecond, m.perSecond) * (overloadEnd - overloadFrom).Seconds())
}

// overloadedFleets returns fleets that get more than their servers can run in the overload.
func overloadedFleets() []fleetRun {
	return []fleetRun{
		{routers: 9, servers: 3, slots: 6, room: 2, bears: 10, perSecond: 180, work: 15 * time.Millisecond, slowWork: 150 * time.Millisecond},
		{routers: 9, servers: 3, slots: 6, room: 0, bears: 5, perSecond: 360, work: 15 * time.Millisecond, slowWork: 150 * time.Millisecond},
		{routers: 9, servers: 12, slots: 64, room: 8, bears: 20, perSecond: 800, work: 500 * time.Millisecond, slowWork: 1500 * time.Millisecond},
		{routers: 87, servers: 4, slots: 6, room: 2, bears: 10, perSecond: 300, work: 30 * time.Millisecond, slowWork: 150 * time.Millisecond},
		{routers: 195, servers: 5, slots: 6, room: 2, bears: 10, perSecond: 300, work: 30 * time.Millisecond, slowWork: 200 * time.Millisecond},
	}
}

func TestFragileServersSurviveAnOverload(t *testing.T) {
	// Guards: fragile servers get more than they can take, refuse it, and fall over one after the
	// other, as each takes over the requests of the ones before.
	for _, fleet := range overloadedFleets() {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routers, %d servers, seed %d", fleet.routers, fleet.servers, seed), func(t *testing.T) {
				m := fleet.play(seed)
				unlimited := fleet
				unlimited.unlimited = true
				without := unlimited.play(seed)
				t.Logf("%d servers fell over and %d of %d requests were served, of at most %d; without limits %d and %d", m.falls, m.served, m.asked, m.capacity(), without.falls, without.served)
				most := 2 + float64(fleet.servers)/10
				assert.Check(t, float64(m.falls) <= most, "%d servers fell over", m.falls)
				assert.Check(t, float64(without.falls) > most, "the run shows nothing: without limits %d servers fell over", without.falls)
				assert.Check(t, m.served > without.served, "%d requests served, %d without limits", m.served, without.served)
			})
		}
	}
}
