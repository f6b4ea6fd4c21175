// Package placement decides which upstream runs a chat request, so that a
// returning chat finds its prompt prefix in an engine's cache while no
// engine's load exceeds its bound.
//
// # Mechanism
//
// A chat is recognised from the request alone. Its root is the prefix that
// ends with the first user message (RootIndex). The hash of the root is the
// same in all turns of the chat. Weighted rendezvous hashing of the root
// orders the upstreams that serve the model (Set.Order). The first of them is
// the chat's first choice. A system prompt that many chats share is only part
// of the root, so it does not send them all to one engine.
//
// A walk (Walk) is the sequence of queries that the entry router makes to find
// an upstream for one request: it queries the owners of upstreams one after the
// other, mostly in that order, and each answer decides on the next query. The
// owner (Owner.HandleQuery) answers from what only it knows: the exact load,
// the index of the prefixes cached there (Index), and its forwarding pointers
// (ForwardingPointers). A forwarding pointer is kept by the owner of a chat's
// first choice when the chat ran on another upstream, and names that upstream.
//
//   - If the owner of the first choice has a forwarding pointer for the chat,
//     it answers Forward, and the walk probes the upstream that the pointer
//     names.
//   - The owner of the first choice may not know a returning chat because the
//     upstream has just joined or has just changed its owner. It then answers
//     Unknown, and the walk probes the next choices. Under rendezvous
//     hashing, the first choice before a join is the next choice after it, so
//     no table of former views is needed.
//   - A probe admits a request only where more than the shared system prompt
//     is cached.
//   - After that the walk asks in order and takes the first upstream that is
//     within its soft bound. If all of them are above the hard bound, it asks
//     further upstreams of the whole set.
//   - If none is within its soft bound, a final query to the best of those
//     asked admits the request by the hard bound (see package loadbound) or
//     queues it.
//
// # Trade-off between skew and reuse
//
// Policy.ReuseWeight, from 0 (lowest skew) to 1 (highest reuse), sets how far
// above the fleet's mean load an engine may go for a cached prefix. The soft
// bound of a request is 1 + (c-1) x weight x (ColdShare + (1-ColdShare) x
// gain), where c is Policy.Multiple and gain is s / (s + HalfGain) for s
// prompt tokens cached there. A request with nothing cached balances the
// fleet. One with a long cached prompt may use nearly the whole bound.
//
// # Failures guarded against
//
// Index handles cache events that are late or lost. Walk and
// ForwardingPointers handle joins, leaves and changes of owner. Package
// slowness handles engines that become slow: it lowers the capacity that the
// load bound and the order use. Bad input gives a typed outcome with a
// reason, never a panic.
//
// # State
//
// An entry of an Index or of ForwardingPointers takes EntryBytes. The tables
// are bounded and drop the oldest entry. The loss of an entry costs reuse,
// never correctness.
//
// # API
//
// At the entry router:
//
//	set, err := placement.NewSet(version, members) // per model, at changes
//	walk := placement.StartWalk(set, policy, placement.Request{...})
//	for step, ok := walk.Next(); ok; step, ok = walk.Next() {
//		// send step.Query to the owner of step.Query.Upstream; if it does
//		// not answer in time, answer is placement.NoAnswer
//		walk.HandleAnswer(answer)
//	}
//	result := walk.Result() // upstream, verdict, reason, ticket
//	// if result.Moved: tell the owner of result.FirstChoice that the chat ran
//	// on result.Upstream, so that it calls RecordMove
//
// At the owner:
//
//	owner := placement.NewOwner(ledger, policy, pointerEntries)
//	owner.AddUpstream(now, id, incarnation, indexEntries) // beside ledger.Acquire
//	answer := owner.HandleQuery(now, query)        // admits through the ledger
//	owner.RecordMove(now, root, upstream)          // at the first choice's owner
//	owner.Finish(now, answer.Ticket, answer.Hit, cachedTokens)
//	owner.HandleCacheEvents(now, id, first, events) // from announcements
//	owner.RemoveUpstream(id)                        // no longer the owner
package placement
