// Package roster keeps the list of upstreams that announce themselves.
//
// No configuration lists the upstreams, and each disk VM receives only some of
// the announcements. So each disk VM keeps a Roster, and the disk VMs exchange
// entries. Of two entries for one upstream the newer one wins on every VM:
// entries are compared by the upstream's start time, then by whether it has
// left, then by the sequence number of the announcement. This order needs no
// agreement between VMs, and entries may arrive late, twice and in any order.
// Routers keep a Roster too, which they fill from all disk VMs that they reach.
//
// Failures guarded against:
//
//   - A delayed announcement arrives after a newer one of the same upstream, or
//     after the upstream has left. It has a lower sequence number, or an earlier
//     start time, or its upstream is marked as gone; it changes nothing.
//   - An upstream dies without sending that it leaves, another upstream gets its
//     address, and a delayed announcement of the dead one arrives. Of two
//     upstreams at one address, the one that started later holds the address.
//   - An upstream restarts under its name, and its sequence numbers begin again
//     at 1. The start time is compared before the sequence number.
package roster
