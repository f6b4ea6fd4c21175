package loadbound

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol/upstreamapi"
)

const forever = 1000 * time.Hour

// owning returns a ledger that owns upstreams a, b, ... of the capacities.
func owning(capacities ...float64) *Ledger {
	l := NewLedger(DefaultConfig())
	for i, c := range capacities {
		l.Own(0, upstream(i), Grant{Fence: 1, Until: forever, Capacity: c})
	}
	return l
}

func TestAdmitRule(t *testing.T) {
	cases := []struct {
		name       string
		capacities []float64
		loads      []float64
		ask        Ask
		outcome    Outcome
		reason     Reason
	}{
		{"first request", []float64{1, 1}, []float64{0, 0}, Ask{Cost: 10}, Admit, Idle},
		{"huge on idle", []float64{1, 1}, []float64{0, 100}, Ask{Cost: 1e6}, Admit, Idle},
		{"within", []float64{1, 1}, []float64{100, 100}, Ask{Cost: 10}, Admit, WithinBound},
		{"over", []float64{1, 1}, []float64{170, 100}, Ask{Cost: 10}, Spill, OverBound},
		{"over finally", []float64{1, 1}, []float64{170, 100}, Ask{Cost: 10, Final: true}, Queue, OverBound},
		{"soft", []float64{1, 1}, []float64{100, 100}, Ask{Cost: 10, Multiple: 1.01}, Spill, OverSoftBound},
		{"soft ignored finally", []float64{1, 1}, []float64{100, 100}, Ask{Cost: 10, Multiple: 1.01, Final: true}, Admit, WithinBound},
		{"huge is one over finally", []float64{1, 1}, []float64{100, 100}, Ask{Cost: 1000, Final: true}, Admit, OneOver},
		{"no second huge", []float64{1, 1}, []float64{1100, 100}, Ask{Cost: 1000, Final: true}, Queue, OverBound},
		{"twice the capacity, twice the load", []float64{2, 1}, []float64{200, 100}, Ask{Cost: 20}, Admit, WithinBound},
		{"half the capacity", []float64{1, 2}, []float64{200, 100}, Ask{Cost: 20}, Spill, OverBound},
		{"no cost", []float64{1}, []float64{0}, Ask{}, Refuse, BadCost},
		{"bad cost", []float64{1}, []float64{0}, Ask{Cost: math.NaN()}, Refuse, BadCost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := owning(c.capacities...)
			for i, load := range c.loads {
				l.order[i].running = load
				l.order[i].requests = 1
			}
			d := l.Admit(0, upstream(0), c.ask)
			assert.Equal(t, d.Outcome, c.outcome)
			assert.Equal(t, d.Reason, c.reason)
		})
	}
}

func TestUnknownUpstreamAndFullUpstream(t *testing.T) {
	l := NewLedger(DefaultConfig())
	assert.Equal(t, l.Admit(0, "x", Ask{Cost: 1}).Reason, NotOwner)
	assert.Assert(t, !l.Own(0, "x", Grant{Fence: 1, Until: forever}))
	assert.Assert(t, l.Own(0, "x", Grant{Fence: 1, Until: forever, Capacity: 1, MaxRequests: 1}))
	assert.Equal(t, l.Admit(0, "x", Ask{Cost: 1}).Outcome, Admit)
	assert.Equal(t, l.Admit(0, "x", Ask{Cost: 1, Final: true}).Reason, UpstreamFull)
}

// A router freezes for longer than its lease while its engine is busy. The
// next owner takes the engine; the frozen one wakes and goes on with requests
// it had in hand. Unless its lease is checked at every admission, both admit.
func TestFormerOwnerAdmitsNothingAfterItsLease(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Own(0, "e", Grant{Fence: 1, Until: 5 * time.Second, Capacity: 1})
	before := l.Admit(4*time.Second, "e", Ask{Cost: 10})
	assert.Equal(t, before.Outcome, Admit)
	assert.Equal(t, l.Admit(5*time.Second, "e", Ask{Cost: 10}).Reason, NotOwner)
	assert.Assert(t, l.Own(9*time.Second, "e", Grant{Fence: 3, Until: forever, Capacity: 1,
		Reported: upstreamapi.Load{Running: 1, OutstandingTokens: 10}}))
	assert.Assert(t, !l.Own(9*time.Second, "e", Grant{Fence: 2, Until: forever, Capacity: 1}))
	l.Finish(9*time.Second, before.Ticket)
	load, _, _ := l.Load(9*time.Second, "e")
	assert.Equal(t, load, 10.0)
}

// An engine's owner dies with 1000 tokens of work on it. The next owner has
// admitted nothing there; if it counted from zero it would give the engine
// the same again, twice the fleet's mean.
func TestNewOwnerCountsInheritedWorkUntilItDrains(t *testing.T) {
	l := owning(100)
	busy := l.Admit(0, upstream(0), Ask{Cost: 1000})
	assert.Equal(t, busy.Outcome, Admit)
	l.Own(0, "taken", Grant{Fence: 2, Until: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 5, OutstandingTokens: 1000}})
	assert.Equal(t, l.Admit(0, "taken", Ask{Cost: 800}).Reason, OverBound)
	report := func(now time.Duration, running, tokens int) float64 {
		l.Reported(now, "taken", upstreamapi.Load{Running: running, OutstandingTokens: tokens})
		load, _, _ := l.Load(now, "taken")
		return load
	}
	assert.Equal(t, report(time.Second, 3, 600), 600.0)
	assert.Equal(t, report(2*time.Second, 9, 900), 600.0)
	assert.Equal(t, l.Admit(2*time.Second, "taken", Ask{Cost: 50}).Outcome, Admit)
	assert.Equal(t, report(2*time.Second, 1, 100), 150.0)
	report(3*time.Second, 2, 200)
	assert.Equal(t, report(5*time.Second, 1, 50), 50.0)
}

// An engine with a new owner has 500 tokens of work: 200 old, 300 new. What
// could be left of the old is counted against the engine, but added to the
// fleet's total it would raise the mean that other engines are filled to.
func TestInheritedWorkDoesNotRaiseTheMean(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Own(0, "e", Grant{Fence: 2, Until: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 5, OutstandingTokens: 1000}})
	l.Admit(0, "e", Ask{Cost: 300, Final: true})
	l.Reported(time.Second, "e", upstreamapi.Load{Running: 3, OutstandingTokens: 500})
	load, _, _ := l.Load(time.Second, "e")
	floor, _, _ := l.Fleet(time.Second)
	assert.Assert(t, load >= 500 && floor <= 500, "load %v floor %v", load, floor)
}

// One of four owners dies. For the five seconds until its lease has run out
// nobody reports its engines, whose capacity still counts: the mean looks
// lower than what every other engine carries, and all requests would queue.
func TestEnginesAdmitWhileAnOwnerIsLost(t *testing.T) {
	l := owning(100, 100, 100)
	l.SetFleetCapacity(400)
	for _, a := range l.order {
		a.running, a.requests = 1000, 10
	}
	d := l.Admit(0, upstream(0), Ask{Cost: 10, Final: true})
	assert.Equal(t, d.Reason, OneOver)
	assert.Equal(t, l.Admit(0, upstream(0), Ask{Cost: 10, Final: true}).Outcome, Queue)
}

// An owner dies while five streams run on its engine. Their entries resume
// them through the next owner; counted beside the floor as well, they would
// hold the engine back at twice its load.
func TestResumedStreamsReplaceInheritedWork(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Own(0, "e", Grant{Fence: 2, Until: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 5, OutstandingTokens: 1000}})
	ticket, ok := l.Resume(0, "e", 700)
	assert.Assert(t, ok && ticket.Fence == 2)
	load, requests, _ := l.Load(0, "e")
	assert.Equal(t, load, 1000.0)
	assert.Equal(t, requests, 1)
	_, ok = l.Resume(0, "e", math.Inf(1))
	assert.Assert(t, !ok)
}

func TestCorrectedCostEndsWithItsRequest(t *testing.T) {
	l := owning(1)
	kept := l.Admit(0, upstream(0), Ask{Cost: 10})
	long := l.Admit(0, upstream(0), Ask{Cost: 10, Final: true})
	l.Correct(long.Ticket, 50)
	l.Correct(long.Ticket, 70)
	l.Correct(Ticket{Upstream: upstream(0), Fence: 9, Cost: 1}, 99)
	l.Correct(long.Ticket, math.NaN())
	load, _, _ := l.Load(0, upstream(0))
	assert.Equal(t, load, 80.0)
	l.Finish(0, long.Ticket)
	load, _, _ = l.Load(0, upstream(0))
	assert.Equal(t, load, kept.Ticket.Cost)
}

func TestTicketFinishedTwicePanics(t *testing.T) {
	l := owning(1)
	d := l.Admit(0, upstream(0), Ask{Cost: 1})
	l.Finish(0, d.Ticket)
	defer func() { assert.Assert(t, recover() != nil) }()
	l.Finish(0, d.Ticket)
}
