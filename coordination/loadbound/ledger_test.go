package loadbound

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol/upstreamapi"
)

const forever = 1000 * time.Hour

// owning returns a ledger that owns one upstream of each given capacity.
func owning(capacities ...float64) *Ledger {
	l := NewLedger(DefaultConfig())
	for i, c := range capacities {
		l.Acquire(0, upstream(i), Grant{Fence: 1, ExpiresAt: forever, Capacity: c})
	}
	return l
}

// Each case of the admission rule with its outcome and reason.
func TestAdmitRule(t *testing.T) {
	cases := []struct {
		name       string
		capacities []float64
		loads      []float64
		request    Request
		outcome    Outcome
		reason     Reason
	}{
		{"first request", []float64{1, 1}, []float64{0, 0}, Request{Cost: 10}, Admit, Idle},
		{"huge on idle", []float64{1, 1}, []float64{0, 100}, Request{Cost: 1e6}, Admit, Idle},
		{"within", []float64{1, 1}, []float64{100, 100}, Request{Cost: 10}, Admit, WithinBound},
		{"over", []float64{1, 1}, []float64{170, 100}, Request{Cost: 10}, Spill, OverBound},
		{"over finally", []float64{1, 1}, []float64{170, 100}, Request{Cost: 10, Final: true}, Queue, OverBound},
		{"soft", []float64{1, 1}, []float64{100, 100}, Request{Cost: 10, Multiple: 1.01}, Spill, OverSoftBound},
		{"soft ignored finally", []float64{1, 1}, []float64{100, 100}, Request{Cost: 10, Multiple: 1.01, Final: true}, Admit, WithinBound},
		{"huge is one over finally", []float64{1, 1}, []float64{100, 100}, Request{Cost: 1000, Final: true}, Admit, OneOver},
		{"no second huge", []float64{1, 1}, []float64{1100, 100}, Request{Cost: 1000, Final: true}, Queue, OverBound},
		{"twice the capacity, twice the load", []float64{2, 1}, []float64{200, 100}, Request{Cost: 20}, Admit, WithinBound},
		{"half the capacity", []float64{1, 2}, []float64{200, 100}, Request{Cost: 20}, Spill, OverBound},
		{"no cost", []float64{1}, []float64{0}, Request{}, Refuse, BadCost},
		{"bad cost", []float64{1}, []float64{0}, Request{Cost: math.NaN()}, Refuse, BadCost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := owning(c.capacities...)
			for i, load := range c.loads {
				l.order[i].running = load
				l.order[i].requests = 1
			}
			d := l.Admit(0, upstream(0), c.request)
			assert.Equal(t, d.Outcome, c.outcome)
			assert.Equal(t, d.Reason, c.reason)
		})
	}
}

// An owner admits nothing to an upstream that it doesn't own, takes no
// ownership without a capacity, and admits no more than MaxRequests even for a
// final query.
func TestUnknownUpstreamAndFullUpstream(t *testing.T) {
	l := NewLedger(DefaultConfig())
	assert.Equal(t, l.Admit(0, "x", Request{Cost: 1}).Reason, NotOwner)
	assert.Assert(t, !l.Acquire(0, "x", Grant{Fence: 1, ExpiresAt: forever}))
	assert.Assert(t, l.Acquire(0, "x", Grant{Fence: 1, ExpiresAt: forever, Capacity: 1, MaxRequests: 1}))
	assert.Equal(t, l.Admit(0, "x", Request{Cost: 1}).Outcome, Admit)
	assert.Equal(t, l.Admit(0, "x", Request{Cost: 1, Final: true}).Reason, UpstreamFull)
}

// A router freezes for longer than its lease while its engine is busy. The next
// owner takes the engine over; then the frozen router resumes and continues
// with the requests that it was handling. If it didn't check its lease at every
// admission, both would admit.
func TestFormerOwnerAdmitsNothingAfterItsLease(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Acquire(0, "e", Grant{Fence: 1, ExpiresAt: 5 * time.Second, Capacity: 1})
	before := l.Admit(4*time.Second, "e", Request{Cost: 10})
	assert.Equal(t, before.Outcome, Admit)
	assert.Equal(t, l.Admit(5*time.Second, "e", Request{Cost: 10}).Reason, NotOwner)
	assert.Assert(t, l.Acquire(9*time.Second, "e", Grant{Fence: 3, ExpiresAt: forever, Capacity: 1,
		Reported: upstreamapi.Load{Running: 1, OutstandingTokens: 10}}))
	assert.Assert(t, !l.Acquire(9*time.Second, "e", Grant{Fence: 2, ExpiresAt: forever, Capacity: 1}))
	l.Finish(9*time.Second, before.Ticket)
	load, _, _ := l.Load(9*time.Second, "e")
	assert.Equal(t, load, 10.0)
}

// An engine's owner is lost while the engine has 1000 tokens of work. The next
// owner has admitted nothing there; if it counted from zero, it would give the
// engine the same amount again, twice the fleet's mean.
func TestNewOwnerCountsInheritedWorkUntilItDrains(t *testing.T) {
	l := owning(100)
	busy := l.Admit(0, upstream(0), Request{Cost: 1000})
	assert.Equal(t, busy.Outcome, Admit)
	l.Acquire(0, "taken", Grant{Fence: 2, ExpiresAt: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 5, OutstandingTokens: 1000}})
	assert.Equal(t, l.Admit(0, "taken", Request{Cost: 800}).Reason, OverBound)
	report := func(now time.Duration, running, tokens int) float64 {
		l.HandleReport(now, "taken", upstreamapi.Load{Running: running, OutstandingTokens: tokens})
		load, _, _ := l.Load(now, "taken")
		return load
	}
	assert.Equal(t, report(time.Second, 3, 600), 600.0)
	assert.Equal(t, report(2*time.Second, 9, 900), 600.0)
	assert.Equal(t, l.Admit(2*time.Second, "taken", Request{Cost: 50}).Outcome, Admit)
	assert.Equal(t, report(2*time.Second, 1, 100), 150.0)
	report(3*time.Second, 2, 200)
	assert.Equal(t, report(5*time.Second, 1, 50), 50.0)
}

// An engine with a new owner has 500 tokens of work: 200 old, 300 new. The most
// that can be left of the old work counts towards the engine's load, but added
// to the fleet's total it would raise the mean up to which other engines are
// filled.
func TestInheritedWorkDoesNotRaiseTheMean(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Acquire(0, "e", Grant{Fence: 2, ExpiresAt: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 5, OutstandingTokens: 1000}})
	l.Admit(0, "e", Request{Cost: 300, Final: true})
	l.HandleReport(time.Second, "e", upstreamapi.Load{Running: 3, OutstandingTokens: 500})
	load, _, _ := l.Load(time.Second, "e")
	floor, _, _ := l.Fleet(time.Second)
	assert.Assert(t, load >= 500 && floor <= 500, "load %v floor %v", load, floor)
}

// One of four owners is lost. For the five seconds until its lease has expired,
// no router reports its engines, whose capacity still counts: the mean looks
// lower than the load of every other engine, and all requests would queue.
func TestEnginesAdmitWhileAnOwnerIsLost(t *testing.T) {
	l := owning(100, 100, 100)
	l.SetFleetCapacity(400)
	for _, a := range l.order {
		a.running, a.requests = 1000, 10
	}
	d := l.Admit(0, upstream(0), Request{Cost: 10, Final: true})
	assert.Equal(t, d.Reason, OneOver)
	assert.Equal(t, l.Admit(0, upstream(0), Request{Cost: 10, Final: true}).Outcome, Queue)
}

// An owner is lost while five streams run on its engine. Their entry routers
// resume them through the next owner; if they counted beside the inherited work
// as well, the engine would seem to have twice its load.
func TestResumedStreamsReplaceInheritedWork(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Acquire(0, "e", Grant{Fence: 2, ExpiresAt: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 5, OutstandingTokens: 1000}})
	ticket, ok := l.Resume(0, "e", 700)
	assert.Assert(t, ok && ticket.Fence == 2)
	load, requests, _ := l.Load(0, "e")
	assert.Equal(t, load, 1000.0)
	assert.Equal(t, requests, 1)
	_, ok = l.Resume(0, "e", math.Inf(1))
	assert.Assert(t, !ok)
}

// A corrected cost replaces the earlier one, and disappears from the load
// together with its request.
func TestCorrectedCostEndsWithItsRequest(t *testing.T) {
	l := owning(1)
	kept := l.Admit(0, upstream(0), Request{Cost: 10})
	long := l.Admit(0, upstream(0), Request{Cost: 10, Final: true})
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

// A ticket finished twice would make the count too low from then on, so it must
// panic.
func TestTicketFinishedTwicePanics(t *testing.T) {
	l := owning(1)
	d := l.Admit(0, upstream(0), Request{Cost: 1})
	l.Finish(0, d.Ticket)
	defer func() { assert.Assert(t, recover() != nil) }()
	l.Finish(0, d.Ticket)
}
