package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/codec"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/lease"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
)

// fleet is one leader and some routers that exchange messages at once.
type fleet struct {
	t       testing.TB
	machine *fleetstate.Machine
	leader  *lease.Leader
	holders map[ownership.SessionID]*lease.Holder
	index   uint64
}

func newFleet(t testing.TB, routers int) *fleet {
	f := &fleet{t: t, machine: fleetstate.New(fleetstate.DefaultSettings()), holders: map[ownership.SessionID]*lease.Holder{}}
	f.leader = lease.NewLeader(lease.DefaultTiming(), f.machine)
	f.leader.TakeOffice(0)
	for i := range routers {
		f.open(0, fmt.Sprintf("r%d", i), lease.NewHolder(lease.DefaultTiming(), fleetstate.NewView()))
	}
	return f
}

func (f *fleet) propose(now time.Duration, command fleetstate.Command) fleetstate.Result {
	f.index++
	result, err := fleetstate.DecodeResult(f.machine.Apply(f.index, command.Encode()))
	assert.NilError(f.t, err)
	f.leader.Applied(now)
	return result
}

func (f *fleet) open(now time.Duration, name string, holder *lease.Holder) ownership.SessionID {
	result := f.propose(now, fleetstate.Command{Open: &ownership.Open{
		Router: protocol.RouterID(name), Incarnation: f.index, DataCentre: "a", Address: "127.0.0.1:1", Capacity: 100,
	}})
	holder.Opened(now, result.Ownership.Session)
	f.holders[result.Ownership.Session] = holder
	return result.Ownership.Session
}

// renew passes one renewal and its reply at now, through their encoding.
func (f *fleet) renew(now time.Duration, id ownership.SessionID) lease.Step {
	var renewal lease.Renewal
	var reply lease.Reply
	assert.NilError(f.t, codec.Unmarshal(codec.MarshalArrays(f.holders[id].Renew(now)), &renewal))
	assert.NilError(f.t, codec.Unmarshal(codec.MarshalArrays(f.leader.OnRenewal(now, true, renewal)), &reply))
	return f.holders[id].OnReply(now, reply)
}

// settle renews every router that wants to until none does.
func (f *fleet) settle(now time.Duration, except ...ownership.SessionID) {
	for again := true; again; {
		again = false
		for id, holder := range f.holders {
			if len(except) > 0 && id == except[0] || !holder.RenewalDue(now) {
				continue
			}
			f.renew(now, id)
			again = true
		}
	}
}

func setWeight(id, key string, expect uint64, weight string) fleetstate.Command {
	cells := []table.Cell{{Column: "weight", Value: weight}}
	if expect == 0 {
		cells = append(cells, table.Cell{Column: "key_hashes", Value: fmt.Sprintf("%064x", len(key)*1000+int(key[len(key)-1]))})
	}
	return fleetstate.Command{Change: &table.Change{
		ID: id, Who: "ana", Why: "test", At: 1,
		Edits: []table.Edit{{Sheet: table.Customers, Key: key, Expect: expect, Cells: cells}},
	}}
}

// An operator lowers a customer's limit and is told that it is in force, while
// one router is cut off. That router must not serve under the old row after
// the operator was told: its lease has to run out before, on its own clock.
func TestChangeWaitsForCutOffRouter(t *testing.T) {
	f := newFleet(t, 3)
	f.settle(0)
	cut := ownership.SessionID(2)
	result := f.propose(100*time.Millisecond, setWeight("c1", "acme", 0, "7"))
	f.leader.Await(result.Change.Revision, 1)
	var informed time.Duration
	for now := 100 * time.Millisecond; now < 6*time.Second; now += 50 * time.Millisecond {
		for _, push := range f.leader.Pushes(now) {
			if push.Session != cut {
				f.holders[push.Session].OnDelta(now, push.Delta)
			}
		}
		f.settle(now, cut)
		for _, id := range f.leader.Tick(now) {
			f.propose(now, fleetstate.Command{Close: &ownership.Close{Session: id}})
		}
		if len(f.leader.TakeInForce()) > 0 {
			informed = now
		}
		if informed > 0 {
			assert.Assert(t, !f.holders[cut].Valid(now))
		}
	}
	assert.Equal(t, informed, lease.DefaultTiming().Wait)
	for _, id := range []ownership.SessionID{1, 3} {
		customer, ok := f.holders[id].View().Row(table.Customers, "acme")
		assert.Assert(t, ok && f.holders[id].Valid(6*time.Second-time.Millisecond))
		assert.Equal(t, table.CustomerOf(customer).Weight, 7)
	}
	assert.Equal(t, f.renew(6*time.Second, cut), lease.OpenSession)
}
