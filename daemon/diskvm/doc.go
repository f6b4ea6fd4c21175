// Package diskvm is the process on a VM with a disk: it keeps the routing table
// with the other disk VMs, hears the upstreams' announcements, and tells the
// routers what they need of both.
//
// The table is a document in a replicated log: a change is answered as accepted
// once a quorum of disks has synced it, and read back only after the leader has
// proved to a quorum, in that very round, that it still leads. No clock takes
// part in that, because a VM's clock stands still while the VM is suspended.
//
// The list of upstreams is not replicated by consensus. Every upstream
// announces itself each second, so it is whole again a second after all disk
// VMs were restarted, and package roster orders what they hear.
//
// Failures guarded: the disk is full or fails (the member stops voting, and
// starts again once the disk takes writes); the data folder is damaged (it is
// given up, and the VM joins anew as if the disk was lost); the leader is away
// (calls wait for the next one for as long as the caller does, and a resent
// change that is in force already is answered without it).
package diskvm
