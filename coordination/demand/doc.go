// Package demand counts the demand for each service at one router, and adds up the counts of the
// whole fleet.
//
// A Counter runs on every router. It holds the router's own counts as rates that decay within a
// second, and what the other routers have reported last. Reports travel in load reports
// (balance.LoadReport): in a mesh to all routers, else through relays, which form rows (see
// roles). Nothing is reported of a service that isn't short of capacity. docs/design/fleet-demand.md
// compares the ways to add up counts, with the bytes that they take.
//
// The package guards against these failures:
//
//   - Each router alone sees too few requests of a customer, or of a rank, to judge by them.
//   - A report is lost, late or repeated. Each replaces the one before, and none is a difference
//     to another, so the next one corrects it.
//   - A router is killed. Its own counts leave with its connections, or once its last report is
//     too old; the sums that a relay reported for others stay until then.
//   - A router starts. Its rates are corrected for the time that it hasn't counted, and it
//     reports none before they are good.
//   - A router is cut off from others. It judges by the last sums up to their age limit, then by
//     its own counts.
//   - A relay is lost. The next one of its row reports the row's sum; its members have their own
//     counts until they get another relay.
//   - Routers that hear of a shortage report it, and keep each other reporting after its end. Only
//     what a router has seen itself counts as a shortage, and no sum contains its receiver's part.
//   - A router is counted twice, by itself and through a relay, or through two. Reports name their
//     scope, and each receiver uses one report of each scope that its neighbours' roles allow.
//   - There are more customers than a report has room for. The largest are listed; the number of
//     all is estimated by a sketch that counts no customer twice.
//   - A report has impossible numbers. It is ignored as a whole.
package demand
