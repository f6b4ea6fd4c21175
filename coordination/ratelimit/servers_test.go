package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/coordination/demand"
)

// spread is the deviation of the logarithm of the work, which gives it a tail.
const spread = 0.6

// send sends a request to the server with the fewest requests of its router, one with a low average
// load from all routers among several, as coordination/balance does with plain requests.
func (m *model) send(at time.Duration, a *attempt, tried int) {
	n := m.choose(a.router, tried)
	if n < 0 {
		m.finish(a, func(o *outcome) { o.rejected++ })
		return
	}
	server := m.servers[n]
	if server.running+len(server.queue) >= 5*m.slots {
		m.answered(at, a, false)
		if tried < 0 {
			m.send(at, a, n)
			return
		}
		m.finish(a, func(o *outcome) { o.rejected++ })
		return
	}
	a.server, a.life = n, server.life
	m.routers[a.router].flight[n]++
	server.queue = append(server.queue, a)
	m.runNext(at, n)
}

// choose returns a server, -1 if there is none.
func (m *model) choose(router, tried int) int {
	flight := m.routers[router].flight
	best, least, total := -1, math.MaxInt, 0.0
	for n, server := range m.servers {
		if server.gone || n == tried || flight[n] > least {
			continue
		}
		if flight[n] < least {
			least, total = flight[n], 0
		}
		weight := 1 / ((1 + server.average) * (1 + server.average))
		total += weight
		if m.random.Float64()*total < weight {
			best = n
		}
	}
	return best
}

// runNext starts requests while there are free slots.
func (m *model) runNext(at time.Duration, n int) {
	server := m.servers[n]
	for server.running < m.slots && len(server.queue) > 0 {
		a := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		mean := m.work.Seconds()
		if m.slower > 0 && m.inTrouble(at) {
			mean *= m.slower
		}
		took := mean * math.Exp(spread*m.random.NormFloat64()-spread*spread/2)
		end := at + time.Duration(took*float64(time.Second))
		begin := end
		if m.first > 0 {
			begin = min(end, at+m.first)
		}
		m.events.Push(begin, event{kind: begins, a: a})
		m.events.Push(end, event{kind: ends, a: a})
	}
}

// begin counts the begin of an answer.
func (m *model) begin(at time.Duration, a *attempt) {
	if m.servers[a.server].life != a.life {
		return
	}
	m.answered(at, a, at-a.at <= m.objective/2)
	if at-a.at <= m.objective {
		m.finish(a, func(o *outcome) { o.inTime++ })
	} else {
		m.finish(a, func(o *outcome) { o.late++ })
	}
}

func (m *model) answered(at time.Duration, a *attempt, inTime bool) {
	r := m.routers[a.router]
	r.own.decay(at)
	if inTime {
		r.own.inTime++
		return
	}
	r.own.late++
	r.constrainedAt = at
}

func (m *model) end(at time.Duration, a *attempt) {
	server := m.servers[a.server]
	if server.life != a.life {
		return
	}
	server.running--
	m.routers[a.router].flight[a.server]--
	m.runNext(at, a.server)
}

// publish reports a router's counts to the others.
func (m *model) publish(at time.Duration, n int) {
	m.events.Push(at+m.interval(), event{kind: publishes, router: n})
	r := m.routers[n]
	for server, inFlight := range r.flight {
		m.servers[server].average += (float64(inFlight*m.fleet.routers) - m.servers[server].average) * 0.3 / float64(m.fleet.routers)
	}
	if r.isolated {
		return
	}
	snapshot := counts{inFlight: inFlight(r)}
	if m.isConstrained(at, r) {
		snapshot = m.ownCounts(at, r)
	}
	m.events.Push(at+m.delay(), event{kind: applies, router: n, snapshot: snapshot})
}

func inFlight(r *modelRouter) float64 {
	total := 0
	for _, n := range r.flight {
		total += n
	}
	return float64(total)
}

func (m *model) isConstrained(at time.Duration, r *modelRouter) bool {
	return at-r.constrainedAt < 2*time.Second || m.sums.routers > 0
}

// ownCounts returns a router's counts as rates, corrected for the time since its start.
func (m *model) ownCounts(at time.Duration, r *modelRouter) counts {
	r.own.decay(at)
	c := counts{}
	c.add(&r.own, 1/(1-math.Exp(-max((at-r.startedAt).Seconds(), 0.2))))
	c.inFlight, c.routers, c.at = inFlight(r), 1, at
	c.limit, c.limited = 0, 0
	if limit := r.limiter.Limit(); limit > 0 {
		c.limit, c.limited = limit, 1
	}
	return c
}

// tick lets a router's Limiter observe.
func (m *model) tick(at time.Duration, n int) {
	m.events.Push(at+tick, event{kind: ticks, router: n})
	r := m.routers[n]
	c := m.ownCounts(at, r)
	reported := 0.0
	if others := m.others(at, r); others.routers > 0 {
		if others.limited > 0 {
			reported = others.limit / float64(others.limited)
		}
		c.add(&others, 1)
	}
	capacity := Capacity{InFlight: int(math.Round(c.inFlight))}
	if m.inTrouble(at) {
		capacity.InFlight += m.falseLoad
	}
	for _, server := range m.servers {
		if !server.gone && !m.silent {
			capacity.Slots += m.slots
		}
	}
	r.limiter.Observe(modelStart+at, m.totals(c), capacity, reported)
	if r.limiter.Limit() > 0 {
		r.constrainedAt = at
		if m.firstLimit == 0 && at > troubleFrom {
			m.firstLimit = at
		}
		if r.limitedAt == 0 {
			r.limitedAt = at
		}
	}
}

// others returns what a router knows of the other routers' counts.
func (m *model) others(at time.Duration, r *modelRouter) counts {
	if r.isolated && at-r.isolatedAt < reportTTL {
		return r.frozen
	}
	if r.isolated {
		return counts{}
	}
	others := m.sums
	others.add(&r.reported, -1)
	return others
}

// totals converts counts.
func (m *model) totals(c counts) demand.Totals {
	t := demand.Totals{Routers: c.routers, Arrived: c.arrived, Admitted: c.admitted, InTime: c.inTime, Late: c.late}
	for n, rate := range c.customers {
		t.Customers = append(t.Customers, demand.CustomerRate{Customer: m.hashes[n], Arrived: rate})
	}
	slices.SortFunc(t.Customers, func(a, b demand.CustomerRate) int { return cmp.Compare(b.Arrived, a.Arrived) })
	for _, rest := range t.Customers[listed:] {
		t.RestCustomers++
		t.RestArrived += rest.Arrived
	}
	t.Customers = t.Customers[:listed]
	return t
}

// breaks begins (0) or ends (1) the trouble, or breaks router 0 in its middle (2).
func (m *model) breaks(at time.Duration, phase int) {
	r := m.routers[0]
	switch phase {
	case 0:
		for n := range m.lost {
			m.lose(n)
		}
	case 1:
		for n := range m.back {
			m.servers[n].gone = false
		}
		r.isolated = false
	case 2:
		m.breakRouter(at, r)
	}
}

// breakRouter kills a router, cuts it off, or sets all limits too low.
func (m *model) breakRouter(at time.Duration, r *modelRouter) {
	if m.killed || m.cutOff {
		m.sums.add(&r.reported, -1)
		r.reported = counts{}
	}
	switch {
	case m.killed:
		m.routers[0] = m.newRouter(at)
		m.routers[0].flight = r.flight
	case m.cutOff:
		r.isolated, r.isolatedAt, r.frozen = true, at, m.sums
	case m.lowered:
		for _, router := range m.routers {
			router.limiter.perSlot *= 0.3
		}
	}
}

// lose ends a server with all that it has.
func (m *model) lose(n int) {
	server := m.servers[n]
	server.gone = true
	server.life++
	server.running, server.queue = 0, nil
	for _, r := range m.routers {
		r.flight[n] = 0
	}
}

// measured reports whether a request's outcome counts: the trouble without its first two seconds.
func (m *model) measured(asked time.Duration) bool {
	return asked >= troubleFrom+2*time.Second && asked < m.length-time.Second && (m.lost > 0 || asked < troubleEnd)
}
