// Package tracebench measures placement and the load bound on seeded traces.
// It runs the real decision code of packages placement and loadbound, and
// simpler strategies to compare it with, against a small model of engines and
// customers. It opens no socket and starts no goroutine. Events run one after
// the other in simulated time, so a seed gives the same figures on every
// machine.
//
// # Model of the callers
//
// Customers are Zipf distributed with exponent TraceConfig.ZipfExponent. Each
// has one system prompt of 200 to 2,000 tokens that all of its chats share.
// Chats start as a Poisson process. A chat has a geometric number of turns
// with a mean of five. Between turns pass 20 s to 5 min (six in ten), 5 min
// to 1 h (three in ten) or 1 h to 6 h. A turn adds a message of 20 to 200
// tokens (nine in ten) or a document of 1,000 to 6,000, and its prompt holds
// all earlier turns. Answers have a mean of 100 tokens (seven in ten) or of
// 900. The next turn follows after the answer. One customer surges to ten
// times its rate for two minutes.
//
// # Model of an engine
//
// An engine runs as many streams as its batch holds at 37 tokens a second
// each, which is 27 ms between tokens. More streams than that share its
// capacity. Prefill runs ten times faster than generation. Its prefix cache
// holds a limited number of tokens and evicts whole chats, least recently
// used first. The engine reports evictions as numbered events, which arrive
// late, and a share of which is lost. It reports its load every half second,
// and the report arrives half a second late.
//
// # Model of the fleet
//
// Each request enters at a router drawn at random. Routers receive a join or
// leave up to three seconds apart. Engines leave and return with an empty
// cache, leave for five seconds and return with their cache, or crash, and
// then all their work is placed again. Routers die. The others notice it
// after two seconds, and own its upstreams after the lease of five seconds.
// Owners exchange load totals over the mesh or tree with a delay of one to
// five milliseconds.
//
// # What is measured
//
// Load is the cost of the work on an engine, counted in full from admission
// to end: a tenth of the uncached prompt tokens, which the engine knows
// exactly, and the expected length of the answer. Skew is an engine's load
// over capacity, divided by the same ratio for the whole fleet. It is measured
// at every admission after the warm-up, both for the engine that admits the
// request and as the highest of all engines.
package tracebench
