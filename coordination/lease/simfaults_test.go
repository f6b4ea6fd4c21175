package lease

import (
	"fmt"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
)

// cutLeader puts the leader and some routers on the far side of a partition
// for a while. It keeps its copy of the state; a new leader takes office once
// the old one's lease has run out.
func (s *sim) cutLeader(length time.Duration) {
	if s.old != nil || s.lead.cut {
		return
	}
	old := s.lead
	copied := fleetstate.New(fleetstate.DefaultSettings())
	if err := copied.Restore(s.machine.Snapshot()); err != nil {
		panic(err)
	}
	old.cut, old.machine, old.leader.machine, old.leader.feed.machine = true, copied, copied, copied
	old.until = s.now + leaderLease
	s.old = old
	for _, r := range s.routers {
		r.cut = s.rng.IntN(2) == 0
	}
	s.after(leaderLease, nil, func() {
		s.lead = s.newLeader()
		s.leaderLoop(s.lead)
	})
	s.after(leaderLease+length, nil, func() {
		s.old = nil
		for _, r := range s.routers {
			r.cut = false
		}
	})
}

// change lets an operator write one row and wait for it to be in force.
func (s *sim) change(key string) {
	at := s.now
	lead := s.lead
	cells := []table.Cell{{Column: "weight", Value: fmt.Sprint(1 + s.rng.IntN(999))}}
	expect := s.machine.Table().Revision(table.Customers, key)
	if expect == 0 {
		cells = append(cells, table.Cell{Column: "key_hashes", Value: fmt.Sprintf("%064x", s.rng.Uint64())})
	}
	s.serial++
	waiter := Waiter(s.serial)
	change := &table.Change{ID: fmt.Sprint(waiter), Who: "ana", Edits: []table.Edit{{Sheet: table.Customers, Key: key, Expect: expect, Cells: cells}}}
	s.commit(lead, fleetstate.Command{Change: change}, func(result fleetstate.Result) {
		if result.Change.Outcome == table.Committed {
			s.asked[waiter] = simChange{result.Change.Revision, at}
			lead.leader.Await(result.Change.Revision, waiter)
		}
	})
}

// check looks whether a promise is broken at this moment.
func (s *sim) check() {
	for _, upstream := range s.upstreams {
		owners := 0
		for _, r := range s.routers {
			if s.now < r.frozen {
				continue
			}
			if _, verdict := r.guard.MayAdmit(r.clock.read(s.now), upstream.ID); verdict == ownership.Allowed {
				owners++
			}
		}
		if owners > 1 {
			s.broken = fmt.Sprintf("%d routers admit to %s at %v", owners, upstream.ID, s.now)
		}
	}
	for _, r := range s.routers {
		revision := r.holder.View().Revision()
		if s.now >= r.frozen && revision < s.revision && (simLease{r.holder, s.mutation}).Valid(r.clock.read(s.now)) {
			s.broken = fmt.Sprintf("router %d serves revision %d, but %d is in force at %v", r.id, revision, s.revision, s.now)
		}
		if revision < r.seen {
			s.broken = fmt.Sprintf("router %d went back to revision %d at %v", r.id, revision, s.now)
		}
		r.seen = revision
	}
}
