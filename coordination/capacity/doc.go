// Package capacity keeps what upstreams report of their own load, and computes a service's free
// capacity from it.
//
// Reports runs on every router. It takes the reports in upstreams' answers (Observe) and those that
// other routers pass on (Apply), keeps the latest of each upstream's current incarnation with the
// time at which it was made, and returns the entries that its neighbours lack (Pending). A report
// is passed on only for services for which the caller asks, and within a number of bytes a second
// that doesn't depend on the number of upstreams or routers. Where it doesn't suffice, upstreams
// are unknown, and Capacity says how many are known.
//
// docs/design/reported-load.md has the decisions, the messages and the alternatives.
//
// The package guards against these failures:
//
//   - A report is missing, stale or impossible. It isn't used, and the upstream counts as unknown.
//   - An upstream restarts, and a report of its former incarnation arrives later, in an answer or
//     from another router. Reports name the incarnation, and only those of the current one count.
//   - Reports overtake each other, or come back to the router that passed them on. The one that was
//     made last counts, and each hop adds to the age.
//   - An upstream says that it is idle while more requests are in flight there, or that it is full
//     while it answers as quickly as upstreams with free slots. Such a report isn't used, and an
//     upstream whose reports are contradicted repeatedly is not believed until they agree again.
//   - Thousands of upstreams report. Only listed upstreams are kept, one entry each.
package capacity
