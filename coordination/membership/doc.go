// Package membership detects which routers of the fleet are alive, and spreads
// small items to all of them, at a cost per router that does not grow with the
// fleet.
//
// It is a gossip protocol with a failure detector of the SWIM kind. Core is one
// member; it does no I/O, and a driver passes it the time and the packets.
//
// Members stand on Config.Rings rings, each ordered by a different hash of the
// router ID. A member probes its successors on the rings in turn, one in each
// Config.ProbePeriod. So every member has as many monitors as there are rings,
// and connections stay open because partners rarely change. An unanswered probe
// is repeated, directly and through helpers. If it still fails, the prober
// suspects the member, and sends the suspicion to the suspect and to its other
// monitors. These probe the suspect at once, and each that fails too shortens
// the time that the suspect has to refute. The suspect refutes by raising its
// incarnation, which all its packets carry. A suspect that does not refute in
// time is declared dead, and the whole fleet is told.
//
// Updates travel as rumours on every packet and, while there are any to send,
// on gossip packets too. Every packet carries a digest of the sender's member
// list, which shows when two members disagree for long; one of them then
// fetches the other's list in pages.
//
// The failures it guards against:
//
//   - A router dies, or a whole data centre: probes detect it within seconds.
//   - This process was frozen, and by its timers all others are late. It
//     detects the freeze by the gap between two ticks, drops the probes in
//     progress and restarts the suspicion timeouts.
//   - This process is overloaded or badly connected: its probes fail, and
//     neither members nor helpers answer. It lowers its own health first: it
//     suspects nobody on such a probe and stretches its timeouts.
//   - Packets are lost. Repeated probes, helpers and the time to refute keep a
//     false suspicion from becoming a false death.
//   - A process restarts under its old ID, or another one takes over its
//     address. The start time in the incarnation tells the two processes apart.
//   - The network between regions is partitioned. Each side declares the other
//     dead and removes it; both keep asking the seeds, and one reply merges the
//     lists again.
//   - Very many updates arrive at once. The bytes sent per second
//     (Config.BytesPerSecond) and the queue (Config.MaxRumours) are bounded;
//     the least useful rumours are dropped first.
//   - Packets are malformed or forged: they are refused as a whole and counted,
//     and change nothing.
//
// Membership is only a hint that lets others act early. Leases alone decide
// which router owns an upstream.
package membership
