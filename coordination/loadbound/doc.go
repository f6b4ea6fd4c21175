// Package loadbound decides whether an upstream may take one more request
// without carrying more than a set multiple of the fleet's mean load.
//
// # Mechanism
//
// Each upstream has one owning router at a time. All work for the upstream
// passes its owner, so the owner's Ledger counts that upstream's load exactly
// and at once. Load is outstanding work in tokens, relative to the upstream's
// capacity: an upstream with twice the capacity may hold twice the work.
//
// The owner also needs the load of the whole fleet, which it knows only from
// other owners' summaries, which are late. An overstated total would let the
// owner exceed the bound, so the Ledger uses a floor, which is never
// above the true total:
//
//   - its own part is exact;
//   - every other part counts as (1 - CancelShare) x reported - drain x age,
//     where drain is DrainFactor x the capacity in that report, the
//     fastest rate at which engines can finish work;
//   - age is bounded from above without synchronised clocks: a summary echoes
//     the last sequence number that its sender received from this router, so
//     it can't be older than the time since that number was sent.
//
// Cancellations, early ends and failures of a whole upstream can remove load
// faster than any engine drains it. So the sender makes the receivers'
// assumption true: after it has published a summary, the counted load of an
// upstream never falls faster than the receivers assume (see Ledger.Summary).
// Work removed faster than that stays counted, as if the engine were still
// running it, and stops counting after as many seconds as the engine would have
// needed to run it. The bound therefore always holds over counted load; it also
// holds over running work unless more than CancelShare of an owner's load
// disappears at once.
//
// # Admission rule
//
// A request of a given cost is admitted to upstream e, in this order:
//
//   - idle: e has no work. Every upstream may run one request, whatever its
//     size, or a fleet with few requests could run none.
//   - within bound: load(e) + cost <= Multiple x share(e) x (floor + cost), where
//     share(e) is the part of the fleet's capacity that e has.
//   - one over (only when the entry router has tried its other choices): load(e)
//     is not above e's share of the total as last reported. This is the rounding
//     up of bounded-load hashing: with few or huge requests no upstream could
//     take one within the bound, and the fleet would admit less and less until
//     its upstreams were idle. An upstream goes over the mean by at most this
//     one request.
//
// Otherwise the outcome is spill (try the next choice) or, for a final query,
// queue: the owner's queue then decides by priority and deadline.
//
// # Change of owner
//
// A new owner doesn't know what its predecessor admitted. It counts the
// upstream's reported load as inherited work beside its own, lowers it with
// each later report, and drops it when the upstream reports no more requests
// than the new owner itself has running. Entry routers that relay streams from
// the upstream resume them through the new owner, which then counts them
// itself in place of that part of the inherited work. A former owner that
// resumes after its process was frozen finds its lease expired and admits
// nothing; tickets from its earlier term no longer change the count.
//
// # Summary exchange
//
// A Summary takes SummaryBytes on the wire. Up to MeshLimit routers send it
// to each other; above that they send it along a tree (see Neighbours), where
// each message carries the sum over all owners on the sender's side of the
// link. So a router sends at most TreeArity+1 messages a period at any fleet
// size.
//
// # API
//
//	ledger := loadbound.NewLedger(loadbound.DefaultConfig())
//	ledger.Acquire(now, id, loadbound.Grant{...})   // lease obtained
//	decision := ledger.Admit(now, id, loadbound.Request{Cost: 800, Multiple: 1.1})
//	ledger.Finish(now, decision.Ticket)             // answer ended
//	ticket, ok := ledger.Resume(now, id, cost)      // stream of a former owner
//	ledger.Correct(ticket, cost)                    // its prompt was not cached
//	ledger.HandleReport(now, id, load)              // announcement arrived
//	exchange := loadbound.NewExchange(self, members, start)
//	for _, peer := range exchange.Due(now) {        // at exchange.NextDue()
//		summary := ledger.Summary(now, peer, exchange.Relay())
//	}
//	ledger.Receive(now, neighbour, summary)         // then exchange.RecordReceived, Due
//	ledger.RetainNeighbours(exchange.Peers())       // membership changed
//	ledger.RemoveNeighbour(neighbour)               // membership removed it
package loadbound
