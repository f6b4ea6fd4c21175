package ownership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

// CI runs the properties on one seed; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// cluster applies plans to a state without delay.
type cluster struct {
	state *State
	live  []Upstream
	index uint64
	moved int
}

func newCluster(routers, upstreams, dataCentres int) *cluster {
	c := &cluster{state: NewState()}
	for i := range upstreams {
		c.live = append(c.live, Upstream{ID: protocol.UpstreamID(fmt.Sprint("u", i)), DataCentre: dataCentre(i % dataCentres), Capacity: 1})
	}
	for i := range routers {
		c.join(i, dataCentre(i%dataCentres))
	}
	return c
}

func dataCentre(i int) protocol.DataCentre { return protocol.DataCentre(fmt.Sprint("dc", i)) }

func (c *cluster) join(i int, at protocol.DataCentre) SessionID {
	c.index++
	answer, _ := c.state.Open(c.index, Open{Router: protocol.RouterID(fmt.Sprint("r", i)), Incarnation: c.index, DataCentre: at, Capacity: 100})
	return answer.Session
}

func (c *cluster) close(id SessionID) {
	c.index++
	c.state.Close(c.index, Close{id})
}

// converge applies plans, with owners releasing what they are asked to, until a
// plan is empty. It returns the number of rounds, or -1 after 200 of them.
func (c *cluster) converge() int {
	for round := range 200 {
		plan := MakePlan(c.state.Sessions(), c.live, c.state.Assignments())
		if plan.Empty() {
			return round
		}
		c.index++
		c.state.Assign(c.index, plan.Assign)
		c.index++
		answer, _ := c.state.Move(c.index, plan.Move)
		c.moved += len(answer.Assignments)
		for _, a := range answer.Assignments {
			c.index++
			c.state.Release(c.index, Release{Session: a.Owner, Held: []Held{{a.Upstream, a.Fence}}})
		}
		c.index++
		c.state.Forget(plan.Forget)
	}
	return -1
}

// Routers, and upstreams of random capacities, join and leave in random data
// centres. A planner that never stops moving upstreams, leaves one without an
// owner, or chooses a remote owner although the data centre has a router, fails
// here. So does one that keeps assignments of upstreams that left.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(0, 0, 1)
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			at := dataCentre(rapid.IntRange(0, 2).Draw(t, "site"))
			sessions := c.state.Sessions()
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind < 2:
				c.live = append(c.live, Upstream{ID: protocol.UpstreamID(fmt.Sprint("u", step)), DataCentre: at, Capacity: float64(rapid.IntRange(0, 9).Draw(t, "capacity"))})
			case kind == 2:
				c.join(step, at)
			case kind == 3 && len(sessions) > 1:
				session := sessions[rapid.IntRange(0, len(sessions)-1).Draw(t, "session")]
				c.close(session.ID)
			case kind == 4 && len(c.live) > 0:
				c.live = c.live[1:]
			}
			rounds := c.converge()
			assert.Assert(t, rounds >= 0, "the plan does not converge")
			checkOwners(t, c)
		}
	})
}

func checkOwners(t *rapid.T, c *cluster) {
	dataCentres := map[protocol.DataCentre]bool{}
	for _, session := range c.state.Sessions() {
		dataCentres[session.DataCentre] = true
	}
	assert.Assert(t, len(c.state.Assignments()) <= len(c.live))
	for _, upstream := range c.live {
		assignment, _ := c.state.Assignment(upstream.ID)
		owner, ok := c.state.Session(assignment.Owner)
		assert.Assert(t, ok || len(dataCentres) == 0, "%s has no owner", upstream.ID)
		assert.Assert(t, !dataCentres[upstream.DataCentre] || owner.DataCentre == upstream.DataCentre, "%s is owned elsewhere", upstream.ID)
	}
}

type fixedLease struct {
	until   time.Duration
	session SessionID
}

func (l fixedLease) Valid(now time.Duration) bool { return now < l.until }
func (l fixedLease) Session() SessionID           { return l.session }

// A router owns an upstream, is frozen until after its lease expired, and
// resumes right before an admission, with its stale view. The guard must refuse
// the admission, and also one after the router released the upstream, and one
// to an upstream of another router.
func TestGuard(t *testing.T) {
	c := newCluster(1, 2, 1)
	c.converge()
	guard := NewGuard(fixedLease{3 * time.Second, 1}, c.state.Assignment)
	fence, decision := guard.MayAdmit(2*time.Second, "u0")
	assert.Equal(t, decision, Allowed)
	assert.Equal(t, fence, protocol.Fence(2))
	_, decision = guard.MayAdmit(3*time.Second, "u0")
	assert.Equal(t, decision, NoLease)
	_, decision = guard.MayAdmit(0, "u7")
	assert.Equal(t, decision, NotOwner)
	held := guard.Release("u0")
	_, decision = guard.MayAdmit(0, "u0")
	assert.Equal(t, decision, Released)
	c.state.Release(10, Release{Session: 1, Held: []Held{held}})
	c.state.Assign(11, Assign{[]Target{{"u0", 1}}})
	fence, decision = guard.MayAdmit(0, "u0")
	assert.Equal(t, decision, Allowed)
	assert.Equal(t, fence, protocol.Fence(11))
	c.state.Release(12, Release{Session: 1, Held: []Held{held}})
	_, decision = guard.MayAdmit(0, "u0")
	assert.Equal(t, decision, Allowed, "a late duplicate of the release counted")
	c.state.Move(13, Move{[]protocol.UpstreamID{"u0"}})
	_, decision = guard.MayAdmit(0, "u0")
	assert.Equal(t, decision, Released)
}

// A router restarts and requests a session while its old one is still open, a
// delayed request of the old process arrives, and a request is repeated because
// its reply was lost. None of them may give an upstream two owners,
// and a stopping router may get no upstream.
func TestOpenSession(t *testing.T) {
	state := NewState()
	open := func(index, incarnation uint64) Answer {
		answer, _ := state.Open(index, Open{Router: "r", Incarnation: incarnation, Capacity: 1})
		return answer
	}
	assert.DeepEqual(t, open(1, 5), Answer{Outcome: Done, Session: 1})
	assert.DeepEqual(t, open(2, 5), Answer{Outcome: Done, Session: 1})
	assert.DeepEqual(t, open(3, 6), Answer{Outcome: Done, Session: 3})
	assert.DeepEqual(t, open(4, 5), Answer{Outcome: Superseded, Session: 3})
	state.Assign(5, Assign{[]Target{{"u", 1}}})
	answer, _ := state.Assign(6, Assign{[]Target{{"u", 3}}})
	assert.Equal(t, len(answer.Assignments), 0, "assigned while the old session is open")
	state.Stop(7, Stop{3})
	state.Close(8, Close{1})
	answer, _ = state.Assign(9, Assign{[]Target{{"u", 3}}})
	assert.Equal(t, len(answer.Assignments), 0, "assigned to a stopping router")
}

// BenchmarkMoves measures how many upstreams move when a router joins and when
// it is lost again, and the skew of upstreams over routers. It compares the
// planner with plain rendezvous hashing, where each upstream goes to the first
// router in its order.
func BenchmarkMoves(b *testing.B) {
	for _, size := range []struct{ routers, upstreams, dataCentres int }{{9, 12, 3}, {330, 790, 8}, {1000, 2400, 8}} {
		b.Run(fmt.Sprintf("routers=%d", size.routers), func(b *testing.B) {
			const trials = 10
			var join, plainJoin, loss, skew, plainSkew float64
			for range b.N {
				rng := rand.New(rand.NewPCG(1, 3))
				c := newCluster(size.routers, size.upstreams, size.dataCentres)
				c.converge()
				skew, plainSkew = skewOf(c.owners()), skewOf(c.rendezvousOwners())
				join, plainJoin, loss = 0, 0, 0
				for trial := range trials {
					before, plain := c.owners(), c.rendezvousOwners()
					id := c.join(size.routers+trial, dataCentre(rng.IntN(size.dataCentres)))
					c.converge()
					join += changed(before, c.owners())
					plainJoin += changed(plain, c.rendezvousOwners())
					before = c.owners()
					c.close(id)
					c.converge()
					loss += changed(before, c.owners())
				}
			}
			b.ReportMetric(join/trials, "join-moves")
			b.ReportMetric(plainJoin/trials, "plain-join-moves")
			b.ReportMetric(loss/trials, "loss-moves")
			b.ReportMetric(skew, "skew-max/mean")
			b.ReportMetric(plainSkew, "plain-skew-max/mean")
			sessions, assignments := convergedCluster(size.routers, size.upstreams, size.dataCentres)
			start := time.Now()
			MakePlan(sessions.state.Sessions(), sessions.live, assignments)
			b.ReportMetric(float64(time.Since(start).Microseconds()), "us/plan")
		})
	}
}

func convergedCluster(routers, upstreams, dataCentres int) (*cluster, []Assignment) {
	c := newCluster(routers, upstreams, dataCentres)
	c.converge()
	return c, c.state.Assignments()
}

func (c *cluster) owners() map[protocol.UpstreamID]SessionID {
	owners := map[protocol.UpstreamID]SessionID{}
	for _, assignment := range c.state.Assignments() {
		owners[assignment.Upstream] = assignment.Owner
	}
	return owners
}

func (c *cluster) rendezvousOwners() map[protocol.UpstreamID]SessionID {
	owners := map[protocol.UpstreamID]SessionID{}
	for _, upstream := range c.live {
		best := -1.0
		for _, session := range c.state.Sessions() {
			if s := score(upstream.ID, session); session.DataCentre == upstream.DataCentre && s > best {
				best, owners[upstream.ID] = s, session.ID
			}
		}
	}
	return owners
}

func changed(before, after map[protocol.UpstreamID]SessionID) float64 {
	count := 0.0
	for upstream, owner := range after {
		if before[upstream] != owner {
			count++
		}
	}
	return count
}

func skewOf(owners map[protocol.UpstreamID]SessionID) float64 {
	counts := map[SessionID]float64{}
	most := 0.0
	for _, owner := range owners {
		counts[owner]++
		most = max(most, counts[owner])
	}
	return most * float64(len(counts)) / float64(len(owners))
}

// BenchmarkGuard measures the check before each admission at 790 upstreams.
func BenchmarkGuard(b *testing.B) {
	c := newCluster(330, 790, 8)
	c.converge()
	guard := NewGuard(fixedLease{time.Hour, 1}, c.state.Assignment)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		guard.MayAdmit(0, c.live[i%len(c.live)].ID)
	}
}
