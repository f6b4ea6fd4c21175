// Package wal is the write-ahead log of a consensus member. It stores the
// member's hard state, log entries and snapshots in one data folder, so that
// everything the member has acknowledged is still there after a restart.
//
// Open reads or formats a folder and returns a Log. Log.Append and Log.Sync
// write entries, Log.SaveSnapshot writes snapshots and removes the segments that
// they replace.
//
// The folder holds these files:
//
//   - identity: the router ID and the disk ID, written when the folder is first
//     used. A wiped folder gets a new disk ID.
//   - log-N: segments of the log. A header (format version, disk, number,
//     first frame) is followed by frames. Each frame holds the records of one
//     sync and a CRC-32C, so one sync covers many entries. An end byte follows
//     each frame. Segments of version 1 have no end bytes; Open reads them but
//     never appends to them.
//   - snapshot-INDEX: a snapshot, written to a temporary file, synced and
//     renamed. A newer snapshot allows older segments to be removed.
//
// A frame is written only after the previous frame is synced. A damaged frame at
// the very end is therefore an unfinished write that was never acknowledged, and
// Open truncates the segment before it. A damaged frame with a valid frame after
// it was synced once: Open refuses the folder with CorruptionError, because
// truncating there would drop acknowledged entries. Open also refuses a folder
// whose last frame has a single wrong bit, if the end byte after the frame shows
// that its write was finished.
//
// Limit: several wrong bits in the very last frame cannot be told from an
// unfinished write, so Open truncates that frame.
//
// After a failed write or sync the Log refuses all further writes (ErrFailed).
// After a failed sync the kernel may have dropped the dirty pages, so a retry
// could succeed without the data on disk. The voter must stop.
package wal
