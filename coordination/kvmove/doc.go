// Package kvmove decides which chats' KV caches are moved away from a draining
// engine, and to which engines. It does no I/O.
//
// The owner of an engine records in RecentChats which chats run there. When the
// engine leaves or is drained, MakePlan asks for each chat where placement will
// send its next turn, and compares the time of the transfer with the prefill
// time that the transfer saves there. It keeps the best moves that fit into the
// time before the engine stops. Mover then starts the moves at a bounded rate.
//
// The failures it guards against:
//
//   - A drain floods the links or an engine with imports, and running streams
//     stall: Mover bounds the rate and the number of concurrent moves of a
//     draining engine, and so of each of its destinations.
//   - The engine stops, or evicts a cache, before the cache is moved: only that
//     move fails, and the chat starts with a cold cache, as it would have
//     without the move.
//   - A destination refuses imports: after a few failures in a row it gets no
//     more moves.
//   - The set of engines changes during the drain: the moves to a destination
//     that left are dropped, and their chats start with a cold cache.
package kvmove
