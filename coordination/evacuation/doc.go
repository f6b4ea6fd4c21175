// Package evacuation holds the operators' orders that data centres be evacuated: while
// an order is in force, the upstreams of its data centre get no new requests.
//
// A Set holds the last order of each data centre, whether it evacuates the data centre or
// takes it back. The disk VMs keep one in their replicated state, and routers keep a copy.
// Each order has a revision, and of two orders for one data centre the one with the higher
// revision holds. So copies can be merged in any order, and no process goes back to an
// earlier order because another one knows less.
//
// The package guards against these failures:
//   - An operator's order is delayed on its way to the leader or in a queue, the operator
//     sends it again through another disk VM, and later takes it back. If the delayed
//     order were then accepted, the data centre would be evacuated although the operator
//     was told that it isn't. An order therefore carries the revision that was in force
//     when the operator's call arrived, and is refused once that revision was replaced.
//     Every accepted order gets a new revision, also one that changes nothing, because an
//     earlier order with the same base may still be on its way.
//   - The answer to an order is lost and the disk VM proposes it again. The order carries
//     an ID, by which it is recognized as accepted.
//   - All disks are lost, and the log begins again. A revision is at least the time of its
//     order, so it is still above those that routers hold.
package evacuation
