package loadbound

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

// TestMain fixes the seed of the property tests, so that a run in CI can be
// repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func upstream(i int) protocol.UpstreamID { return protocol.UpstreamID(fmt.Sprintf("u%03d", i)) }
func router(i int) protocol.RouterID     { return protocol.RouterID(fmt.Sprintf("r%03d", i)) }

// A summary keeps its size and its delay on the wire, and rounding lowers the
// load and raises the capacity, never the reverse.
func TestSummaryWireForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Summary{
			Sequence:    rapid.Uint32().Draw(t, "sequence"),
			Echo:        rapid.Uint32().Draw(t, "echo"),
			EchoDelay:   time.Duration(rapid.Uint16().Draw(t, "held")) * time.Millisecond,
			Outstanding: rapid.Float64Range(0, 1e9).Draw(t, "outstanding"),
			Floor:       rapid.Float64Range(0, 1e9).Draw(t, "floor"),
			Capacity:    rapid.Float64Range(0, 1e9).Draw(t, "capacity"),
			Count:       rapid.Uint16().Draw(t, "count"),
		}
		wire := s.AppendBinary(nil)
		assert.Equal(t, len(wire), SummaryBytes)
		got, ok := DecodeSummary(wire)
		assert.Assert(t, ok)
		assert.Assert(t, got.Floor <= s.Floor && got.Floor > s.Floor-tokenUnit)
		assert.Assert(t, got.Capacity >= s.Capacity && got.Capacity <= s.Capacity+tokenUnit)
		assert.Equal(t, got.EchoDelay, s.EchoDelay)
	})
	_, ok := DecodeSummary(make([]byte, SummaryBytes-1))
	assert.Assert(t, !ok)
}

// A message waits three seconds in a stalled connection and arrives with a
// total from before the load fell. Taken as new it would overstate the mean;
// its echo shows that it is old.
func TestStalledSummaryCountsAsOld(t *testing.T) {
	a, b := owning(100), owning(100)
	a.Receive(0, "b", b.Summary(0, "a", false))
	b.Receive(0, "a", a.Summary(0, "b", false))
	b.Admit(0, upstream(0), Request{Cost: 1000})
	stalled := b.Summary(0, "a", false)
	a.Receive(3*time.Second, "b", stalled)
	floor, reported, _ := a.Fleet(3 * time.Second)
	assert.Equal(t, reported, 1000.0)
	assert.Assert(t, math.Abs(floor-650) < 1e-9, "floor %v", floor)
}

// A router restarts within a second and numbers its summaries from 1 again. By
// number alone they would look like late ones, and its neighbours would use its
// last total from before the restart until the numbers catch up.
func TestRestartedNeighbourIsHeard(t *testing.T) {
	a, b := owning(100), owning(100)
	b.Admit(0, upstream(0), Request{Cost: 1000})
	for range 5 {
		a.Receive(0, "b", b.Summary(0, "a", false))
	}
	b = owning(100)
	now := time.Second
	a.Receive(now, "b", b.Summary(now, "a", false))
	now += time.Second
	b.Receive(now, "a", a.Summary(now, "b", false))
	a.Receive(now+1, "b", b.Summary(now+1, "a", false))
	_, reported, _ := a.Fleet(now + 1)
	assert.Equal(t, reported, 0.0)
}

// fleet is a set of ledgers that exchange summaries with delays. The test knows
// their true load.
type fleet struct {
	ledgers []*Ledger
	running [][]Ticket
	pending []message
	members []protocol.RouterID
}

type message struct {
	at       time.Duration
	from, to int
	summary  Summary
}

func newFleet(routers int) *fleet {
	w := &fleet{}
	for i := range routers {
		l := NewLedger(DefaultConfig())
		l.Acquire(0, upstream(i), Grant{Fence: 1, ExpiresAt: forever, Capacity: 1000})
		l.SetFleetCapacity(1000 * float64(routers))
		w.ledgers = append(w.ledgers, l)
		w.members = append(w.members, router(i))
	}
	w.running = make([][]Ticket, routers)
	return w
}

func (w *fleet) exchange(now time.Duration, from int, delay time.Duration) {
	peers, relay := Neighbours(router(from), w.members)
	for _, peer := range peers {
		var to int
		_, _ = fmt.Sscanf(string(peer), "r%d", &to)
		s := w.ledgers[from].Summary(now, peer, relay)
		w.pending = append(w.pending, message{at: now + delay, from: from, to: to, summary: s})
	}
}

func (w *fleet) deliver(now time.Duration) {
	kept := w.pending[:0]
	for _, m := range w.pending {
		if m.at > now {
			kept = append(kept, m)
			continue
		}
		w.ledgers[m.to].Receive(now, router(m.from), m.summary)
	}
	w.pending = kept
}

// countedTotal is the load of the fleet as its owners count it.
func (w *fleet) countedTotal(now time.Duration) float64 {
	total := 0.0
	for i, l := range w.ledgers {
		load, _, _ := l.Load(now, upstream(i))
		total += load
	}
	return total
}

// Routers receive each other's totals seconds late and out of order, customers
// cancel whole batches at once, and messages are lost. No router's floor of the
// total may be above what the owners count, in a mesh or in a tree, and no
// admission within the bound may exceed the bound over counted load.
func TestFloorNeverOverstatesAndBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleet(rapid.SampledFrom([]int{2, 5, 9, 14, 40}).Draw(t, "routers"))
		now := time.Duration(0)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			w.deliver(now)
			r := rapid.IntRange(0, len(w.ledgers)-1).Draw(t, "router")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				delay := time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay")) * time.Millisecond
				w.exchange(now, r, delay)
			case 1:
				for _, ticket := range w.running[r] {
					w.ledgers[r].Finish(now, ticket)
				}
				w.running[r] = nil
			default:
				w.admit(t, now, r)
			}
			for _, l := range w.ledgers {
				floor, _, _ := l.Fleet(now)
				assert.Assert(t, floor <= w.countedTotal(now)*(1+1e-9)+1e-6)
			}
		}
	})
}

func (w *fleet) admit(t *rapid.T, now time.Duration, r int) {
	cost := rapid.Float64Range(1, 3000).Draw(t, "cost")
	d := w.ledgers[r].Admit(now, upstream(r), Request{Cost: cost, Final: rapid.Bool().Draw(t, "final")})
	if d.Outcome != Admit {
		return
	}
	w.running[r] = append(w.running[r], d.Ticket)
	if d.Reason != WithinBound {
		return
	}
	load, _, _ := w.ledgers[r].Load(now, upstream(r))
	mean := w.countedTotal(now) / float64(len(w.ledgers))
	assert.Assert(t, load <= DefaultMultiple*mean*(1+1e-9), "load %v mean %v", load, mean)
}

// Above MeshLimit the neighbours form a tree: n-1 links, and at most TreeArity
// children and a parent for each router.
func TestTreeReachesEveryRouterOnce(t *testing.T) {
	for _, n := range []int{2, 9, 10, 330, 1000} {
		var list []protocol.RouterID
		for i := range n {
			list = append(list, router(i))
		}
		links := 0
		most := 0
		for _, self := range list {
			peers, relay := Neighbours(self, list)
			assert.Equal(t, relay, n > MeshLimit)
			links += len(peers)
			most = max(most, len(peers))
		}
		if n > MeshLimit {
			assert.Equal(t, links, 2*(n-1))
			assert.Assert(t, most <= TreeArity+1)
		}
	}
}
