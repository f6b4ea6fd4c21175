package demand

import (
	"maps"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// listTTL is how long a list of customers is used if the reports behind it have none. At
	// most maxListInterval reports pass from one list to the next.
	listTTL = 2 * maxListInterval * time.Second
	// maxServices is the number of services in a report.
	maxServices = 16
)

// remote is what another router has reported last, by service.
type remote map[ServiceID]*source

// source is a router's report about a service.
type source struct {
	*part
	scope                Scope
	receivedAt, listedAt time.Duration
}

// isConstrained reports whether a router in the scope sees the service short of capacity.
func (s *source) isConstrained(now time.Duration) bool {
	return s.constrained && now-s.receivedAt <= constrainedTTL
}

// Apply replaces what another router has reported. It is called with every load report, also
// with those that contain no counts. It ignores counts that are damaged,
// and keeps those before.
func (c *Counter) Apply(now time.Duration, from protocol.RouterID, report []ServiceCounts) {
	delete(c.gone, from)
	if len(report) == 0 || from == c.self {
		return
	}
	before := c.remote[from]
	received := remote{}
	for _, counts := range report[:min(maxServices, len(report))] {
		p, ok := unpack(counts)
		if !ok {
			if old := before[counts.Service]; old != nil {
				received[counts.Service] = old
			}
			continue
		}
		s := &source{part: p, scope: counts.Scope, receivedAt: now, listedAt: now}
		if len(counts.Customers) == 0 {
			s.inheritList(now, before, counts.Service)
		}
		received[counts.Service] = s
	}
	c.remote[from] = received
}

// inheritList takes the list of customers of the report before.
func (s *source) inheritList(now time.Duration, before remote, service ServiceID) {
	old := before[service]
	if old == nil || old.scope != s.scope || now-old.receivedAt > reportTTL || now-old.listedAt > listTTL {
		return
	}
	s.customers, s.sketch, s.listedAt = old.customers, old.sketch, old.listedAt
}

// Drop removes the counts of a router whose connections have ended. It keeps sums that the
// router reported for others: these still run, and are in no other report.
func (c *Counter) Drop(from protocol.RouterID) {
	c.gone[from] = true
	maps.DeleteFunc(c.remote[from], func(_ ServiceID, s *source) bool { return s.scope == ScopeRouter })
}

// source returns a router's report about a service, nil if it has none that is to be used.
func (c *Counter) source(now time.Duration, from protocol.RouterID, service ServiceID) *source {
	s := c.remote[from][service]
	if s == nil || now-s.receivedAt > reportTTL || !c.roles.accepts(from, s.scope) {
		return nil
	}
	return s
}

// sources returns the reports about a service that are to be used, by router. Where several routers
// may report the same sum, as the relays of one row may, it returns the newest.
func (c *Counter) sources(now time.Duration, service ServiceID) map[protocol.RouterID]*source {
	sources, sums := map[protocol.RouterID]*source{}, map[int]protocol.RouterID{}
	for from := range c.remote {
		s := c.source(now, from, service)
		if s == nil {
			continue
		}
		if sum, isSum := c.roles.sumOf(from, s.scope); isSum {
			other, known := sums[sum]
			if known && isNewer(sources[other], s, other < from) {
				continue
			}
			delete(sources, other)
			sums[sum] = from
		}
		sources[from] = s
	}
	return sources
}

// isNewer reports whether a was received after b, or, if both were received at once, first.
func isNewer(a, b *source, first bool) bool {
	return a.receivedAt > b.receivedAt || a.receivedAt == b.receivedAt && first
}

// parts returns the reports about a service that include accepts, in the order of the routers, so
// that sums don't depend on the order of a map.
func (c *Counter) parts(now time.Duration, service ServiceID, include func(from protocol.RouterID, s *source) bool) []*part {
	sources := c.sources(now, service)
	var parts []*part
	for _, from := range slices.Sorted(maps.Keys(sources)) {
		s := sources[from]
		if !include(from, s) {
			continue
		}
		p := *s.part
		p.constrained = s.isConstrained(now)
		parts = append(parts, &p)
	}
	return parts
}

// everyone includes all reports in a sum.
func everyone(protocol.RouterID, *source) bool { return true }

// expire removes reports that are too old, and counts of services that aren't used.
func (c *Counter) expire(now time.Duration) {
	for _, r := range c.remote {
		maps.DeleteFunc(r, func(_ ServiceID, s *source) bool { return now-s.receivedAt > reportTTL })
	}
	maps.DeleteFunc(c.remote, func(_ protocol.RouterID, r remote) bool { return len(r) == 0 })
	maps.DeleteFunc(c.own, func(_ ServiceID, own *counts) bool { return now-own.usedAt > idleTime && own.limit == 0 })
}
