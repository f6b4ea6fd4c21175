// Package retryschedule decides when the callers of refused requests come back while a service is
// short of capacity, and admits them when they do.
//
// A Schedule, one for each service and router, offers refused requests times while there is room. Reservations
// holds the offered times of all routers, so that a caller may come back at any of them; routers
// send each other new ones with their load reports. Nothing here reads a clock or does I/O.
//
// A router's part of the capacity in one step of the schedule is usually less than one request. A
// step that has room for a tenth of a request is offered to a tenth of the requests that could have
// it, chosen by random numbers that the caller of the package passes in, so that routers need not
// agree on who offers what.
//
// The package guards against these failures:
//
//   - All refused callers come back at once, or faster than capacity becomes free: each router
//     offers only its own part of the capacity, at times spread over each step.
//   - A caller that comes back early gains a second chance. It is refused, and neither its own
//     reservation nor any other changes.
//   - A caller never comes back. Its reservation ends a fixed time after it is due.
//   - A caller comes back before the other routers know of its reservation. No time is offered
//     that is sooner than reports take to reach all routers.
//   - Several requests have the same content, and each router admits one of them by the same
//     reservation. Routers report which reservations have been used.
//   - Less urgent requests take all room. A part of each step is kept for the most urgent rank.
//   - A router is killed. The others know its reservations, except those of its last report.
//   - The limit falls or ends. Reservations that were made stay valid; new offers follow the limit.
//   - A report is damaged or far too large. Entries with impossible times, and those beyond what a
//     report may have, are ignored; the number of reservations is bounded.
package retryschedule
