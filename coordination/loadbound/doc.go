// Package loadbound decides whether an upstream may take one more request
// without carrying more than a set multiple of the fleet's mean load.
//
// # Mechanism
//
// Each upstream has one owning router at a time. All work for the upstream
// passes its owner, so the owner's Ledger counts that upstream's load exactly
// and at once. Load is outstanding work in tokens, compared by weighing it
// with the upstream's capacity: an upstream with twice the capacity may hold
// twice the work.
//
// The owner needs one more number, the load of the whole fleet, and knows it
// only from other owners' summaries, which are late. An overstated total
// would let the owner exceed the bound, so the Ledger uses a floor that is
// never above the true total:
//
//   - its own part is exact;
//   - every other part counts as (1 - CancelShare) x reported - drain x age,
//     where drain is DrainFactor x the capacity behind that report, the
//     fastest rate at which engines can work load off;
//   - age is bounded from above without synchronised clocks: a summary echoes
//     the last sequence number the sender had from the receiver, so it cannot
//     be older than the time since that number was sent.
//
// Cancellations, early ends and failures of a whole upstream can remove load
// faster than any engine drains it. So the sender keeps its side: after a
// summary is published, the counted load of an upstream never falls faster
// than the line that receivers assume (see Ledger.Summary). Work removed
// faster than that stays counted, as if the engine were still working it off,
// and is gone after as many seconds as it would have taken to run it. The
// bound therefore always holds over counted load; it holds over running work
// too unless more than CancelShare of an owner's load vanishes at once.
//
// # Rule of admission
//
// A request of a given cost is admitted to upstream e, in this order:
//
//   - idle: e has no work. Every upstream may run one request, whatever its
//     size, or a fleet with few requests could run none.
//   - within bound: load(e) + cost <= Multiple x share(e) x (floor + cost).
//   - one over (only when the asker has tried its other choices): load(e) is
//     not above e's share of the total as last reported. This is the rounding
//     up of bounded-load hashing: with few or huge requests no upstream could
//     take one within the bound, and admission would spiral down to idle. An
//     upstream goes over the mean by at most this one request.
//
// Otherwise the answer is spill (try the next choice) or, for the last ask,
// queue: the owner's queue then decides by priority and deadline.
//
// # Hand-over
//
// A new owner does not know what its predecessor admitted. It takes the
// upstream's reported load as a floor under its own count, lowers it with
// each later report, and drops it when the upstream reports no more requests
// than the new owner itself has running. Entry routers that relay streams from
// the upstream resume them through the new owner, which then counts them
// itself in place of that part of the floor. A former owner that wakes from a
// freeze finds its lease run out and admits nothing; tickets from its old
// tenure no longer change the count.
//
// # Summary exchange
//
// A Summary takes SummaryBytes on the wire. Up to MeshLimit routers send it
// to each other; above that they send it along a tree (see Neighbours), each
// message carrying the sum of everything on the sender's side, so that a node
// sends at most TreeArity+1 messages a period at any fleet size.
//
// # API
//
//	ledger := loadbound.NewLedger(loadbound.DefaultConfig())
//	ledger.Own(now, id, loadbound.Grant{...})       // lease obtained
//	decision := ledger.Admit(now, id, loadbound.Ask{Cost: 800, Multiple: 1.1})
//	ledger.Finish(now, decision.Ticket)             // answer ended
//	ticket, ok := ledger.Resume(now, id, cost)      // stream of a former owner
//	ledger.Correct(ticket, cost)                    // its prompt was not cached
//	ledger.Reported(now, id, load)                  // announcement arrived
//	exchange := loadbound.NewExchange(self, members, start)
//	for _, peer := range exchange.Due(now) {        // at exchange.Wake()
//		summary := ledger.Summary(now, peer, exchange.Relay())
//	}
//	ledger.Receive(now, neighbour, summary)         // then exchange.Heard, Due
//	ledger.Keep(exchange.Peers())                   // membership changed
//	ledger.Forget(neighbour)                        // membership removed it
package loadbound
