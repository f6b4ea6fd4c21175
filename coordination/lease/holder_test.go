package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// openSession returns a leader and a holder with the open session 1.
func openSession(t *testing.T) (*Leader, *Holder, *fleetstate.Machine) {
	machine := fleetstate.New(fleetstate.DefaultSettings())
	leader := NewLeader(DefaultTiming(), machine)
	leader.StartTerm(0)
	machine.Apply(1, fleetstate.Command{Open: &ownership.Open{Router: "r", Capacity: 1}}.Encode())
	leader.HandleApplied(0)
	holder := NewHolder(DefaultTiming(), fleetstate.NewView())
	holder.StartSession(0, 1)
	assert.Equal(t, holder.Valid(0), false)
	return leader, holder, machine
}

// Guards against a lease that a late reply extends. The reply to a renewal
// arrives two seconds late. The lease must count from when the renewal was
// sent, because the leader counts from about that time.
func TestLateReplyDoesNotExtendLease(t *testing.T) {
	leader, holder, _ := openSession(t)
	renewal := holder.NewRenewal(time.Second)
	reply := leader.HandleRenewal(time.Second, true, renewal)
	end := time.Second + DefaultTiming().Lease
	holder.HandleReply(3*time.Second, reply)
	assert.Equal(t, holder.Valid(end-1), true)
	assert.Equal(t, holder.Valid(end), false)
	holder.HandleReply(3*time.Second, reply)
	assert.Equal(t, holder.ExpiresAt(), end)
}

// Guards against a paused leader that closes all sessions. The leader's
// process stops for four seconds. By its clock every session has then expired,
// although the routers kept renewing. Closing them would make the whole fleet
// refuse its callers.
func TestPausedLeaderKeepsSessions(t *testing.T) {
	leader, _, _ := openSession(t)
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		assert.Equal(t, len(leader.Tick(now)), 0)
	}
	assert.Equal(t, len(leader.Tick(5*time.Second)), 0)
	var closed []ownership.SessionID
	last := 5 * time.Second
	for now := last; len(closed) == 0; now += 100 * time.Millisecond {
		closed, last = leader.Tick(now), now
	}
	assert.Equal(t, last, 5*time.Second+DefaultTiming().ExpireAfter)
}

// A process that no longer holds the leader lease must not grant a lease, and
// the router asks another voter. A closed session is never valid again, not
// even by an operator's override.
func TestRefusedRenewalsAndClosedSession(t *testing.T) {
	leader, holder, machine := openSession(t)
	assert.Equal(t, holder.HandleReply(0, leader.HandleRenewal(0, false, holder.NewRenewal(0))), TryOtherVoter)
	assert.Equal(t, holder.Valid(0), false)
	assert.Equal(t, holder.Override(0, time.Hour), false, "before it caught up")
	assert.Equal(t, holder.HandleReply(0, leader.HandleRenewal(0, true, holder.NewRenewal(0))), Continue)
	assert.Equal(t, holder.Valid(0), true)
	assert.Equal(t, holder.Override(time.Minute, time.Hour), true)
	assert.Equal(t, holder.Valid(16*time.Minute-1), true)
	assert.Equal(t, holder.Valid(16*time.Minute), false)
	machine.Apply(2, fleetstate.Command{Close: &ownership.Close{Session: 1}}.Encode())
	leader.HandleApplied(0)
	assert.Equal(t, holder.HandleReply(time.Minute, leader.HandleRenewal(time.Minute, true, holder.NewRenewal(time.Minute))), OpenSession)
	assert.Equal(t, holder.Valid(time.Minute), false)
}

// Guards against a router that acts on part of the state. A table larger than
// a chunk reaches a new router in several chunks. The router is not valid
// before the last chunk, even if its lease was granted.
func TestCatchUpInChunks(t *testing.T) {
	leader, holder, machine := openSession(t)
	for i := range 400 {
		machine.Apply(uint64(2+i), fleetstate.Command{Open: &ownership.Open{Router: "x", Incarnation: uint64(i), Address: string(make([]byte, 200)), Capacity: 1}}.Encode())
	}
	holder.StartSession(0, 401)
	leader.HandleApplied(0)
	rounds := 0
	for ; holder.View().Revision() < 401; rounds++ {
		assert.Equal(t, holder.Valid(0), false)
		assert.Equal(t, holder.RenewalDue(0), true)
		holder.HandleReply(0, leader.HandleRenewal(0, true, holder.NewRenewal(0)))
	}
	assert.Equal(t, holder.Valid(0), true)
	assert.Assert(t, rounds > 3 && rounds < 20, "%d chunks", rounds)
}

// Guards against a lost acknowledgement. A router acknowledges a change right
// after a periodic renewal, and the two arrive at its relay in reverse order.
// The relay must forward the acknowledgement; otherwise the operator would
// wait until the router repeats it. The test also checks that a closed session
// is reported as closed, and that a bundle that no leader granted grants
// nothing.
func TestRelayKeepsTheNewestRenewal(t *testing.T) {
	leader, holder, machine := openSession(t)
	relay := NewRelay(DefaultTiming(), machine)
	older, newer := holder.NewRenewal(0), holder.NewRenewal(0)
	newer.Applied = 1
	relay.HandleRenewal(0, newer)
	relay.HandleRenewal(0, older)
	relay.HandleRenewal(0, Renewal{Session: 7, Seq: 1})
	_, due := relay.Bundle(DefaultTiming().BundleDelay - 1)
	assert.Equal(t, due, false)
	bundle, due := relay.Bundle(DefaultTiming().BundleDelay)
	assert.Equal(t, due, true)
	assert.DeepEqual(t, bundle.Renewals, []BundledRenewal{{1, 1}, {7, 0}})
	assert.Equal(t, len(relay.HandleBundleReply(0, leader.HandleBundle(0, false, bundle))), 0)
	relay.HandleRenewal(0, newer)
	bundle, _ = relay.Bundle(DefaultTiming().BundleDelay)
	replies := relay.HandleBundleReply(0, leader.HandleBundle(0, true, bundle))
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, holder.HandleReply(0, replies[0].Reply), Continue)
	assert.Equal(t, holder.ExpiresAt(), DefaultTiming().Lease)
	relay.HandleRenewal(0, Renewal{Session: 7, Seq: 2})
	bundle, _ = relay.Bundle(DefaultTiming().BundleDelay)
	replies = relay.HandleBundleReply(0, leader.HandleBundle(0, true, bundle))
	assert.Equal(t, replies[0].Reply.Outcome, SessionClosed)
}
