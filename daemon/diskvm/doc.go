// Package diskvm implements the process that runs on a VM with a disk. A VM keeps the
// routing table together with the other disk VMs, receives the upstreams' announcements,
// and sends routers what they need of both.
//
// The table is a document in a replicated log. A change is answered as accepted once a
// quorum of disks has synced it. A read is answered only after the leader has confirmed
// with a quorum, in a round that starts after the read, that it still leads. No clock takes
// part in that (there are no leases), because a VM's clock stands still while the VM is
// suspended.
//
// Operators' orders to evacuate data centres are in the same log. They carry no version, so
// each is checked against the order that was in force when its call arrived.
//
// The list of upstreams is not replicated by consensus. Every upstream announces itself
// each second, so the list is complete again a second after all disk VMs were restarted.
// Package roster orders the announcements that different disk VMs receive.
//
// The package guards against these failures:
//   - The disk is full or fails: the consensus member stops and no longer votes. It starts
//     again once the disk takes writes.
//   - The data folder is damaged: the VM discards it and joins anew, as if the disk was lost.
//   - The leader is lost: calls wait for the next leader until the caller's deadline. A
//     change that is sent again and is in force already is answered without a leader.
//   - An operator's order on a data centre is read by a VM that was suspended meanwhile, or
//     reaches the leader after a later one: it isn't accepted (see stallDetector and package
//     evacuation).
//   - A VM stops for good, and two disks are lost before its silence is noticed: it tells
//     the others first (see leave).
//   - A reply that the VM's former process was waiting for arrives: it answers no call of
//     this one (see calls).
//   - All disk VMs lose power: each offers the table, the roster and the cache holders that
//     it saved before (see savedState).
package diskvm
