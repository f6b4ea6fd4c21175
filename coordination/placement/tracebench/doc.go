// Package tracebench measures placement and the load bound on seeded traces.
// It steps the real decision code of packages placement and loadbound, and
// ways to do without them, against a small model of engines and customers.
// It opens no socket and starts no goroutine: one event follows another on a
// clock of its own, so a seed gives the same figures on every machine.
//
// # Model of the callers
//
// Customers are Zipf distributed with exponent TraceConfig.ZipfExponent; each
// has one system prompt of 200 to 2,000 tokens that all of its chats share.
// Chats start as a Poisson process. A chat has a geometric number of turns,
// five in the mean. Between turns pass 20 s to 5 min (six in ten), 5 min to
// 1 h (three in ten) or 1 h to 6 h. A turn adds a message of 20 to 200 tokens
// (nine in ten) or a document of 1,000 to 6,000, and the prompt holds all
// earlier turns. Answers are short, 100 tokens in the mean (seven in ten), or
// long, 900; the next turn follows after the answer. One customer surges to ten times its rate for two minutes.
//
// # Model of an engine
//
// An engine runs up to its batch at 37 tokens a second and stream, which is
// 27 ms between tokens; beyond its batch all share its capacity. Prefill runs
// ten times faster than generation. Its prompt cache holds a limited number
// of tokens, evicts whole chats least recently used first, and reports
// evictions as numbered events, late, with a share lost. It reports its load
// every half second, half a second late.
//
// # Model of the fleet
//
// Requests enter at a router drawn at random. Routers learn of a join or
// leave up to three seconds apart. Engines leave and return cold, flap for
// five seconds and return warm, or crash with all work placed again. Routers
// die; the others notice after two seconds, and after the lease of five own
// their upstreams. Owners exchange totals over the mesh or tree with a delay
// of one to five milliseconds.
//
// # What is measured
//
// Load is the cost of work on an engine, counted whole from admission to end:
// a tenth of the uncached prompt tokens, which the engine knows exactly, and
// the expected length of the answer. Skew is load over capacity, over the
// fleet's mean of the same, at every admission after the warm-up; both the
// engine admitted to and the worst of all engines are given.
package tracebench
