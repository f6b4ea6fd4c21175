package throttle

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The time in the overload in which the first router of a fleetRun has no path to the servers. If its
// limits are lowered, they are at the begin of it.
const (
	pathsLost = 10 * time.Second
	pathsBack = 13 * time.Second
)

// routerCounts counts requests after pathsBack: of the first router, and of the others.
type routerCounts struct{ first, others int }

// pathCounts counts the requests of callers and those that were served.
type pathCounts struct{ asked, served routerCounts }

func (c *routerCounts) count(at time.Duration, router int) {
	switch {
	case at < pathsBack || !inOverload(at):
	case router == 0:
		c.first++
	default:
		c.others++
	}
}

func (c *routerCounts) add(other routerCounts) {
	c.first += other.first
	c.others += other.others
}

// hasLostPaths reports whether a router has no path to the servers.
func (m *fleetModel) hasLostPaths(at time.Duration, router int) bool {
	return m.losesPaths && router == 0 && at >= pathsLost && at < pathsBack
}

// checkServedAlike plays a fleet with some seeds, and checks that the first router is served at least two
// thirds as often as the others, and that few servers fall over.
func checkServedAlike(t *testing.T, fleet fleetRun) {
	t.Helper()
	t.Run(fmt.Sprintf("%d routers, %d servers, room %d", fleet.routers, fleet.servers, fleet.room), func(t *testing.T) {
		var asked, served routerCounts
		for seed := range uint64(3) {
			m := fleet.play(seed)
			assert.Check(t, float64(m.falls) <= 2+float64(fleet.servers)/10, "seed %d: %d servers fell over", seed, m.falls)
			asked.add(m.paths.asked)
			served.add(m.paths.served)
		}
		t.Logf("served %d of %d requests of the router, %d of %d of the others", served.first, asked.first, served.others, asked.others)
		assert.Check(t, 3*served.first*asked.others >= 2*served.others*asked.first, "the router is served less than two thirds as often")
	})
}

// Guards: a router that has lost its paths cuts its limits to almost nothing meanwhile, and is served
// less than the others for long after its paths are back.
func TestLimitsOfARouterSurviveTheLossOfItsPaths(t *testing.T) {
	for _, fleet := range overloadedFleets()[:3] {
		fleet.losesPaths = true
		checkServedAlike(t, fleet)
	}
}

// Guards: in a fleet of many routers, each of which may send less than a request a second to an
// upstream, cuts come before any of them has saved up for one, and half of the capacity is unused.
func TestRoutersWithLowLimitsSendBetweenCuts(t *testing.T) {
	for _, fleet := range overloadedFleets()[3:] {
		for seed := range uint64(3) {
			m := fleet.play(seed)
			assert.Check(t, 2*m.served > m.capacity(), "%d routers, seed %d: served %d of %d", fleet.routers, seed, m.served, m.capacity())
			assert.Check(t, float64(m.falls) <= 2+float64(fleet.servers)/10, "%d servers fell over", m.falls)
		}
	}
}

// Guards: routers raise and cut their limits by factors, so that one whose limits are low stays low for
// as long as the overload lasts.
func TestLowLimitsBecomeLikeThoseOfTheOthers(t *testing.T) {
	for _, fleet := range overloadedFleets() {
		fleet.lowered = true
		checkServedAlike(t, fleet)
	}
}
