package lease

import (
	"fmt"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
)

// partitionLeader separates the leader and some routers from the rest for a
// while. The leader keeps its copy of the state. A new leader starts its term
// once the old leader's lease has expired.
func (s *sim) partitionLeader(length time.Duration) {
	if s.old != nil || s.current.partitioned {
		return
	}
	old := s.current
	copied := fleetstate.New(fleetstate.DefaultSettings())
	if err := copied.Restore(s.machine.Snapshot()); err != nil {
		panic(err)
	}
	old.partitioned, old.machine, old.leader.machine, old.leader.feed.machine = true, copied, copied, copied
	old.leaseUntil = s.now + leaderLease
	s.old = old
	for _, r := range s.routers {
		r.partitioned = s.rng.IntN(2) == 0
	}
	s.after(leaderLease, nil, func() {
		s.current = s.newLeader()
		s.leaderLoop(s.current)
	})
	s.after(leaderLease+length, nil, func() {
		s.old = nil
		for _, r := range s.routers {
			r.partitioned = false
		}
	})
}

// changeRow lets an operator write one row and wait until it is in force.
func (s *sim) changeRow(key string) {
	at := s.now
	current := s.current
	cells := []table.Cell{{Column: "weight", Value: fmt.Sprint(1 + s.rng.IntN(999))}}
	expect := s.machine.Table().Revision(table.Customers, key)
	if expect == 0 {
		cells = append(cells, table.Cell{Column: "key_hashes", Value: fmt.Sprintf("%064x", s.rng.Uint64())})
	}
	s.serial++
	waiter := Waiter(s.serial)
	change := &table.Change{ID: fmt.Sprint(waiter), Who: "ana", Edits: []table.Edit{{Sheet: table.Customers, Key: key, Expect: expect, Cells: cells}}}
	s.commit(current, fleetstate.Command{Change: change}, func(result fleetstate.Result) {
		if result.Change.Outcome == table.Committed {
			s.awaited[waiter] = simChange{result.Change.Revision, at}
			current.leader.Await(result.Change.Revision, waiter)
		}
	})
}

// checkInvariants records a violation if an invariant is broken at this
// moment.
func (s *sim) checkInvariants() {
	for _, upstream := range s.upstreams {
		owners := 0
		for _, r := range s.routers {
			if s.now < r.frozenUntil {
				continue
			}
			if _, verdict := r.guard.MayAdmit(r.clock.read(s.now), upstream.ID); verdict == ownership.Allowed {
				owners++
			}
		}
		if owners > 1 {
			s.violation = fmt.Sprintf("%d routers admit to %s at %v", owners, upstream.ID, s.now)
		}
	}
	for _, r := range s.routers {
		revision := r.holder.View().Revision()
		if s.now >= r.frozenUntil && revision < s.inForceRevision && (simLease{r.holder, s.mutation}).Valid(r.clock.read(s.now)) {
			s.violation = fmt.Sprintf("router %d serves revision %d, but %d is in force at %v", r.id, revision, s.inForceRevision, s.now)
		}
		if revision < r.lastRevision {
			s.violation = fmt.Sprintf("router %d went back to revision %d at %v", r.id, revision, s.now)
		}
		r.lastRevision = revision
	}
}
