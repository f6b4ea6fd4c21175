// Package placement decides which upstream runs a chat request, so that a
// returning chat finds its prompt prefix in an engine's cache while no engine
// carries more than its bound.
//
// # Mechanism
//
// A chat is recognised from the request alone: the hash of its root, the
// prefix that ends with the first user message, is the same in all its turns
// (RootLink). Weighted rendezvous hashing on the root orders the upstreams
// that serve the model (Set.Order); the first is the chat's home. A system
// prompt that many chats share is only part of the root, so it does not herd
// them onto one engine.
//
// The entry router walks that order (Walk) and asks the owner of each
// upstream, one after the other. The owner (Owner.Ask) answers with what it
// alone knows: the exact load, the index of prefixes cached there, and
// forwarding pointers for chats whose home is here but that ran elsewhere.
//
//   - A home with a pointer answers forward; the walk probes that upstream
//     first.
//   - A home that does not know a returning chat, and whose knowledge is
//     young (the upstream just joined or just changed owner), answers unknown;
//     the walk probes the next choices. Under rendezvous hashing the home
//     before a join is the next choice after it, so the order itself does the
//     work of a table of former views.
//   - A probe admits only where the cache holds more than the shared part.
//   - After that the order decides: the first choice that is within its soft
//     bound, else the best of those asked, within the hard bound, else that
//     one's queue.
//
// # The knob
//
// Policy.ReuseWeight, from 0 (skew first) to 1 (reuse first), sets how far
// above the fleet's mean an engine may go for a cached prefix. The soft bound
// of a request is 1 + (c-1) x weight x (ColdShare + (1-ColdShare) x gain),
// where c is the set multiple and gain is s / (s + HalfGain) for s prompt
// tokens cached there. A request with nothing cached balances the fleet; one
// with a long prompt cached may use nearly the whole bound.
//
// # Failures guarded
//
// Cache events that are late or lost: Index. Joins, leaves, owner changes:
// Walk and Pointers. Engines that turn slow: package slowness lowers the
// capacity that the load bound and the order count with. Bad
// input gives a typed outcome with a reason, never a panic.
//
// # State
//
// An index or pointer entry takes EntryBytes; tables are bounded and forget
// the oldest entry. Losing an entry costs reuse, never correctness.
//
// # API
//
// At the entry router:
//
//	set, err := placement.NewSet(version, members) // per model, at changes
//	walk := placement.Begin(set, policy, placement.Request{...})
//	for step, ok := walk.Next(); ok; step, ok = walk.Next() {
//		// send step.Ask to the owner of step.Ask.Upstream, or on silence
//		// answer placement.Silent
//		walk.Answered(answer)
//	}
//	result := walk.Result() // where, outcome, reason, ticket
//	// if result.Moved: tell the owner of result.Home that the chat ran on
//	// result.Upstream: its owner calls Moved
//
// At the owning router:
//
//	owner := placement.NewOwner(ledger, policy, pointerEntries)
//	owner.Hold(now, id, incarnation, indexEntries) // beside ledger.Own
//	answer := owner.Ask(now, ask)                  // admits through the ledger
//	owner.Moved(now, root, upstream)               // the home's owner
//	owner.Finished(now, answer.Ticket, answer.Hit, cachedTokens)
//	owner.CacheEvents(now, id, first, events)      // from announcements
//	owner.Drop(id)                                 // tenure ended
package placement
