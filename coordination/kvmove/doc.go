// Package kvmove decides which chats' caches leave a draining engine, and
// where they go. It does no I/O.
//
// The mechanism. The owner of an engine notes in Hot which chats run there.
// When the engine leaves or is drained, MakePlan asks for each chat where
// placement will send its next turn, weighs the transfer against the prefill
// that it saves there, and keeps the best moves that fit into the time the
// engine gives. Mover then hands the moves out at a bounded rate.
//
// Failures guarded here:
//
//   - A drain floods the links or an engine with imports, and running streams
//     stall: the rate and the moves at once are bounded, at the source and at
//     each destination.
//   - The engine is gone, or a cache was evicted, before its turn came: the
//     move fails alone, and the chat starts cold as it would have.
//   - A destination refuses imports: after a few in a row it gets no more.
//   - The set of engines changes during the drain: a destination that left is
//     dropped, and the chats of that destination start cold.
package kvmove
