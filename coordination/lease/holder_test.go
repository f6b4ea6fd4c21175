package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// opened returns a leader and a holder with the open session 1.
func opened(t *testing.T) (*Leader, *Holder, *fleetstate.Machine) {
	machine := fleetstate.New(fleetstate.DefaultSettings())
	leader := NewLeader(DefaultTiming(), machine)
	leader.TakeOffice(0)
	machine.Apply(1, fleetstate.Command{Open: &ownership.Open{Router: "r", Capacity: 1}}.Encode())
	leader.Applied(0)
	holder := NewHolder(DefaultTiming(), fleetstate.NewView())
	holder.Opened(0, 1)
	assert.Equal(t, holder.Valid(0), false)
	return leader, holder, machine
}

// A renewal's answer comes two seconds late. The lease must count from when
// the renewal was sent, because the leader counts from about then.
func TestLateAnswer(t *testing.T) {
	leader, holder, _ := opened(t)
	renewal := holder.Renew(time.Second)
	reply := leader.OnRenewal(time.Second, true, renewal)
	end := time.Second + DefaultTiming().Lease
	holder.OnReply(3*time.Second, reply)
	assert.Equal(t, holder.Valid(end-1), true)
	assert.Equal(t, holder.Valid(end), false)
	holder.OnReply(3*time.Second, reply)
	assert.Equal(t, holder.Until(), end)
}

// The leader's process stops for four seconds and goes on; by its clock every
// session has run out, though the routers kept renewing. Closing them all
// would refuse every caller of the fleet.
func TestPausedLeader(t *testing.T) {
	leader, _, _ := opened(t)
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		assert.Equal(t, len(leader.Tick(now)), 0)
	}
	assert.Equal(t, len(leader.Tick(5*time.Second)), 0)
	var closed []ownership.SessionID
	last := 5 * time.Second
	for now := last; len(closed) == 0; now += 100 * time.Millisecond {
		closed, last = leader.Tick(now), now
	}
	assert.Equal(t, last, 5*time.Second+DefaultTiming().Wait)
}

// A process that no longer holds the leader lease must not grant, and a router
// asks another; a closed session never comes back, also not by an operator's
// override.
func TestRefusals(t *testing.T) {
	leader, holder, machine := opened(t)
	assert.Equal(t, holder.OnReply(0, leader.OnRenewal(0, false, holder.Renew(0))), TryOther)
	assert.Equal(t, holder.Valid(0), false)
	assert.Equal(t, holder.Override(0, time.Hour), false, "before it caught up")
	assert.Equal(t, holder.OnReply(0, leader.OnRenewal(0, true, holder.Renew(0))), Continue)
	assert.Equal(t, holder.Valid(0), true)
	assert.Equal(t, holder.Override(time.Minute, time.Hour), true)
	assert.Equal(t, holder.Valid(16*time.Minute-1), true)
	assert.Equal(t, holder.Valid(16*time.Minute), false)
	machine.Apply(2, fleetstate.Command{Close: &ownership.Close{Session: 1}}.Encode())
	leader.Applied(0)
	assert.Equal(t, holder.OnReply(time.Minute, leader.OnRenewal(time.Minute, true, holder.Renew(time.Minute))), OpenSession)
	assert.Equal(t, holder.Valid(time.Minute), false)
}

// A table that is larger than a chunk reaches a new router in steps. It is not
// valid before the last, whatever it was granted.
func TestCatchUpInChunks(t *testing.T) {
	leader, holder, machine := opened(t)
	for i := range 400 {
		machine.Apply(uint64(2+i), fleetstate.Command{Open: &ownership.Open{Router: "x", Incarnation: uint64(i), Address: string(make([]byte, 200)), Capacity: 1}}.Encode())
	}
	holder.Opened(0, 401)
	leader.Applied(0)
	rounds := 0
	for ; holder.View().Revision() < 401; rounds++ {
		assert.Equal(t, holder.Valid(0), false)
		assert.Equal(t, holder.RenewalDue(0), true)
		holder.OnReply(0, leader.OnRenewal(0, true, holder.Renew(0)))
	}
	assert.Equal(t, holder.Valid(0), true)
	assert.Assert(t, rounds > 3 && rounds < 20, "%d chunks", rounds)
}

// A router acknowledges a change right after a periodic renewal, and the two
// arrive at its relay in the other order. The acknowledgement must go on; the
// operator would wait until it is repeated. A closed session is told apart, and
// a bundle that no leader granted grants nothing.
func TestRelayKeepsTheNewestRenewal(t *testing.T) {
	leader, holder, machine := opened(t)
	relay := NewRelay(DefaultTiming(), machine)
	older, newer := holder.Renew(0), holder.Renew(0)
	newer.Applied = 1
	relay.OnRenewal(0, newer)
	relay.OnRenewal(0, older)
	relay.OnRenewal(0, Renewal{Session: 7, Seq: 1})
	_, due := relay.Bundle(DefaultTiming().Gather - 1)
	assert.Equal(t, due, false)
	bundle, due := relay.Bundle(DefaultTiming().Gather)
	assert.Equal(t, due, true)
	assert.DeepEqual(t, bundle.Renewals, []Acked{{1, 1}, {7, 0}})
	assert.Equal(t, len(relay.OnBundleReply(0, leader.OnBundle(0, false, bundle))), 0)
	relay.OnRenewal(0, newer)
	bundle, _ = relay.Bundle(DefaultTiming().Gather)
	answers := relay.OnBundleReply(0, leader.OnBundle(0, true, bundle))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, holder.OnReply(0, answers[0].Reply), Continue)
	assert.Equal(t, holder.Until(), DefaultTiming().Lease)
	relay.OnRenewal(0, Renewal{Session: 7, Seq: 2})
	bundle, _ = relay.Bundle(DefaultTiming().Gather)
	answers = relay.OnBundleReply(0, leader.OnBundle(0, true, bundle))
	assert.Equal(t, answers[0].Reply.Verdict, SessionClosed)
}
