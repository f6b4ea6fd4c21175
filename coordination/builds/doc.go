// Package builds tells which versions of their software, builds for short, the upstreams of a
// service run, and whether that can be relied on.
//
// What two builds write doesn't fit together, so a stream may go on only at the build that
// began it. Where that isn't known, a stream may go on only if its service has had one build
// alone for as long as any stream lasts. A single router can't know: a disk VM that it doesn't
// reach may list upstreams of another build, and another router may already use them. So the
// answer takes two quorums of disk VMs that overlap, as a register that is written and read by
// majorities:
//
//   - Each disk VM keeps the builds that it has listed lately in a Set, on its disk before it
//     tells anyone.
//   - A router begins streams at a build that a majority of the disk VMs has told it of
//     (Quorum.Unconfirmed), as long as there is any.
//   - A router that doesn't know where a stream began asks the disk VMs after the stream came
//     back (Quorum.Ask). The builds that a majority tells of include the one that began it.
//
// Failures guarded against:
//
//   - Disk VMs, or some of them with some routers, are cut off from the others, and upstreams of
//     a new build announce themselves on one side only. Streams don't begin there yet, or the
//     other side's majority tells of the build.
//   - A disk VM restarts and forgets what it told. What it told is on its disk; one without its
//     disk is no part of a majority until it has learned the others' lists.
//   - The last upstream of a build leaves while callers still come back with its streams. A build
//     counts for some minutes after that.
//   - No majority answers. The caller is told to come back; nothing is assumed.
package builds
