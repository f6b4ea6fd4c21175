package demand

import (
	"maps"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// A router reports at most every minInterval and at least every maxInterval, and in
	// between so often that its reports take some meshBytes or groupBytes a second: a third of
	// what load reports take in a mesh, or what a relay may send of these reports.
	minInterval = 250 * time.Millisecond
	maxInterval = time.Second
	meshBytes   = 8000
	groupBytes  = 2600
	// A list of customers is in every second report or more rarely, so that the reports take no
	// more, at least in every one of maxListInterval.
	minListInterval = 2
	maxListInterval = 4
	// countsBytes is the size of a ServiceCounts without customers, and listBytes what the
	// customers add.
	countsBytes = 26
	listBytes   = 65
	// callTolerance is how much earlier than due a report is sent, as the calls of Reports are
	// a tick of a router apart.
	callTolerance = 50 * time.Millisecond
)

// Outgoing is a report to other routers.
type Outgoing struct {
	To     []protocol.RouterID
	Report []ServiceCounts
}

// sent is what was reported last.
type sent struct {
	at time.Duration
	// rounds counts the reports, and listedAt is the last of them with customers.
	rounds, listedAt int
	// services are those that were reported.
	services map[ServiceID]bool
	// receivers is the number of reports in the last round.
	receivers int
}

// isConstrained reports whether this router sees the service short of capacity itself.
func (c *counts) isConstrained(now time.Duration) bool {
	return c.noted && now-c.constrainedAt <= constrainedTTL
}

// Reports returns the reports to send now, if they are due: about the services that are short of
// capacity, and once more about those that no longer are. It is to be called several times a
// second.
func (c *Counter) Reports(now time.Duration, neighbours Neighbours) []Outgoing {
	c.setNeighbours(neighbours)
	c.expire(now)
	constrained := c.constrained(now)
	isNew := slices.ContainsFunc(constrained, func(id ServiceID) bool { return !c.sent.services[id] })
	if !isNew && now-c.sent.at+callTolerance < c.interval() {
		return nil
	}
	services := slices.AppendSeq(slices.Clone(constrained), maps.Keys(c.sent.services))
	slices.Sort(services)
	services = slices.Compact(services)
	if len(services) == 0 {
		return nil
	}
	outgoing := c.build(now, services[:min(maxServices, len(services))], c.nextRound(now, isNew))
	c.sent.services = map[ServiceID]bool{}
	for _, id := range constrained {
		c.sent.services[id] = true
	}
	c.sent.receivers = 0
	for _, o := range outgoing {
		c.sent.receivers += len(o.To)
	}
	return outgoing
}

// setNeighbours takes changed neighbours.
func (c *Counter) setNeighbours(n Neighbours) {
	if c.roles.neighbours.equal(n) {
		return
	}
	c.roles = newRoles(c.self, n)
	maps.DeleteFunc(c.gone, func(id protocol.RouterID, _ bool) bool {
		_, known := c.roles.places[id]
		return !known
	})
}

// nextRound begins a round of reports, and returns whether they list customers.
func (c *Counter) nextRound(now time.Duration, list bool) bool {
	c.sent.at = now
	c.sent.rounds++
	list = list || c.sent.rounds-c.sent.listedAt >= c.listInterval()
	if list {
		c.sent.listedAt = c.sent.rounds
	}
	return list
}

// constrained returns the services that are short of capacity, at most maxServices.
func (c *Counter) constrained(now time.Duration) []ServiceID {
	candidates := map[ServiceID]bool{}
	for id := range c.own {
		candidates[id] = true
	}
	for _, r := range c.remote {
		for id := range r {
			candidates[id] = true
		}
	}
	maps.DeleteFunc(candidates, func(id ServiceID, _ bool) bool { return !c.isConstrained(now, id) })
	services := slices.Sorted(maps.Keys(candidates))
	return services[:min(maxServices, len(services))]
}

// bytesPerSecond returns what reports may take.
func (c *Counter) bytesPerSecond() float64 {
	if c.roles.neighbours.grouped() {
		return groupBytes
	}
	return meshBytes
}

// interval returns the time between two reports.
func (c *Counter) interval() time.Duration {
	bytes := c.sent.receivers * len(c.sent.services) * (countsBytes + listBytes/minListInterval)
	interval := time.Duration(float64(bytes) / c.bytesPerSecond() * float64(time.Second))
	return max(minInterval, min(interval, maxInterval))
}

// listInterval returns the number of reports from one with customers to the next.
func (c *Counter) listInterval() int {
	reports := c.sent.receivers * len(c.sent.services)
	for every := minListInterval; every < maxListInterval; every++ {
		if float64(reports*(countsBytes+listBytes/every)) <= c.bytesPerSecond() {
			return every
		}
	}
	return maxListInterval
}

// build returns the reports about some services to all neighbours.
func (c *Counter) build(now time.Duration, services []ServiceID, list bool) []Outgoing {
	n := c.roles.neighbours
	var outgoing []Outgoing
	send := func(to []protocol.RouterID, scope Scope, sum func(ServiceID) *part) {
		if report := reportOf(services, scope, list, sum); len(to) > 0 && len(report) > 0 {
			outgoing = append(outgoing, Outgoing{To: to, Report: report})
		}
	}
	own := func(id ServiceID) *part { return c.reportedPart(now, id) }
	switch {
	case !n.grouped():
		send(n.Mesh, ScopeRouter, own)
		return outgoing
	case n.Relay != "":
		send([]protocol.RouterID{n.Relay}, ScopeRouter, own)
		return outgoing
	}
	send(c.roles.rowMates(c.self), ScopeGroup, func(id ServiceID) *part {
		return c.sumWithOwn(now, id, func(_ protocol.RouterID, s *source) bool { return s.scope == ScopeRouter })
	})
	send(c.roles.rowReceivers(c.self, c.gone), ScopeRow, func(id ServiceID) *part {
		return c.sumWithOwn(now, id, func(_ protocol.RouterID, s *source) bool { return s.scope != ScopeRow })
	})
	for _, member := range n.Members {
		send([]protocol.RouterID{member}, ScopeOthers, func(id ServiceID) *part {
			return c.sumWithOwn(now, id, func(from protocol.RouterID, _ *source) bool { return from != member })
		})
	}
	return outgoing
}

// reportOf returns a report about the services for which there are counts.
func reportOf(services []ServiceID, scope Scope, list bool, sum func(ServiceID) *part) []ServiceCounts {
	var report []ServiceCounts
	for _, id := range services {
		if p := sum(id); p.routers > 0 {
			report = append(report, pack(id, scope, p, list))
		}
	}
	return report
}

// reportedPart returns this router's own counts as it reports them: none before it has counted for
// learningTime, or if it has no requests for the service.
func (c *Counter) reportedPart(now time.Duration, service ServiceID) *part {
	own := c.own[service]
	if own == nil || !c.canReport(now) {
		return &part{}
	}
	p := own.part(now, now-c.startedAt, maxListed)
	p.constrained = own.isConstrained(now)
	return p
}

// sumWithOwn returns the sum of this router's own counts and of some reports.
func (c *Counter) sumWithOwn(now time.Duration, service ServiceID, include func(protocol.RouterID, *source) bool) *part {
	return sumOf(append(c.parts(now, service, include), c.reportedPart(now, service)))
}
