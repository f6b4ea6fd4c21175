// Package membership finds out which routers of the fleet live, and spreads
// small items to all of them, at a cost that does not grow with the fleet.
//
// Mechanism. Members stand on Config.Rings rings, each ordered by another
// hash of the router ID. A member probes its successor on each ring, one in
// each Config.ProbePeriod, so that every member has as many monitors as there
// are rings, and connections stay warm because partners rarely change. A probe
// that is not answered is repeated, directly and through helpers. When it
// fails, the member is suspected. The suspect and its monitors are told; they
// probe it out of turn, and each that fails too shortens the time the suspect
// has to answer. It refutes by raising its incarnation, which every packet of
// its own carries; one that doesn't is dead, and all are told. News
// travels as rumours on every packet and, while they are fresh, on packets of
// their own. A digest of the membership in each packet shows when two members
// disagree for long; one then fetches the other's list in pieces.
//
// Failures guarded here:
//
//   - A router dies, or a whole data centre: found within seconds by probes.
//   - This process was frozen. Its timers say that everyone is late. The gap
//     between two ticks shows it; probes under way are dropped and suspicions
//     start again.
//   - This process is overloaded or badly connected. Its probes fail, and
//     neither members nor helpers answer. It doubts itself first: it accuses
//     nobody on such a probe and stretches its timeouts.
//   - Packets are lost. Repeats, helpers and the time to refute keep a false
//     accusation from becoming a false death.
//   - A process restarts under its old ID, or another one takes over its
//     address. The start time in the incarnation tells the two lives apart.
//   - Regions part. Each side declares the other dead and forgets it; both go
//     on asking the seeds, and one answer joins the lists again.
//   - A storm of news. Bytes are bounded each second (Config.BytesPerSecond)
//     and in the queue (Config.MaxRumours); the least useful goes first.
//   - Broken or hostile packets: refused whole, counted, and nothing changes.
//
// What is said here is a hint that lets others act early. Who may own an
// upstream is decided by leases alone.
package membership
