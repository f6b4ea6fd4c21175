// Package wal keeps a member's hard state, log entries and snapshots in one
// data folder, so that what was acknowledged is there after a restart.
//
// Files:
//
//   - identity: router and disk identifier, written when the folder is first
//     used. A wiped folder gets a new one.
//   - log-N: segments of the log. A header (format version, disk, number,
//     first frame) is followed by frames. Each frame holds the records of one
//     sync and a CRC-32C, so one sync covers many entries. An end byte follows;
//     segments of version 1 have none, are read, and are not appended to.
//   - snapshot-INDEX: a snapshot, written to a temporary file, synced and
//     renamed. A newer snapshot lets older segments go.
//
// Because a frame is written only after the frame before it is synced, a
// damaged frame at the very end is an unfinished write that nobody was told
// of, and is cut. A damaged frame with a good one after it was once synced:
// the folder is refused with CorruptionError, since cutting there would take
// back acknowledgements. A last frame in which a single bit is wrong is
// refused too, if the end byte behind it shows that its write was finished.
//
// Limit: several wrong bits in the very last frame cannot be told from an
// unfinished write and are cut.
//
// A failed write or sync poisons the Log (ErrFailed): after a failed sync the
// kernel may have dropped the pages, so trying again could succeed without
// the data on disk. The voter must stop.
package wal
