// Package roster keeps the list of upstreams that announce themselves.
//
// No list of them exists elsewhere, and each disk VM hears some of the
// announcements. So each keeps a Roster, and they exchange entries: of two
// entries for one upstream the newer one holds on every VM, by the start of
// the upstream, then whether it has left, then the number of its announcement.
// That order needs no agreement, and entries may arrive late, twice and in any
// order. Routers keep a Roster too, fed by all disk VMs they reach.
//
// Failures guarded:
//
//   - An announcement was delayed and arrives after a newer one of the same
//     upstream, or after it has left: it has a lower number, or is of a start
//     that has ended, and changes nothing.
//   - An upstream died without a word, another one has its address, and a
//     delayed announcement of the dead one arrives: of two upstreams at one
//     address the one that started later is there.
//   - An upstream starts again under its name, and its numbers start anew: the
//     later start goes before the number.
package roster
