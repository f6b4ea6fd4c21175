package wal

import (
	"strings"

	"endiveplank/coordination/consensus"
	"endiveplank/state/disk"
)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	disk    disk.Disk
	options Options
	member  consensus.Member

	hardState     consensus.HardState
	snapshotIndex uint64

	segments    []segment
	file        disk.File
	segmentSize int64
	nextFrame   uint64
	// buffer holds the records since the last Sync. highestIndex is the highest
	// entry index among them.
	buffer       []byte
	highestIndex uint64

	// failure is the first failed write or sync, nil if there was none.
	failure *ErrFailed
}

// Member returns the router and disk ID of this log.
func (l *Log) Member() consensus.Member {
	return l.member
}

// Append buffers a hard state, if it is not nil, and entries. The entries replace
// the log from the index of the first one on. Nothing is written before Sync.
func (l *Log) Append(state *consensus.HardState, entries []consensus.Entry) {
	if state != nil {
		l.hardState = *state
		l.buffer = appendHardState(l.buffer, *state)
	}
	for _, e := range entries {
		l.buffer = appendEntry(l.buffer, e)
		l.highestIndex = max(l.highestIndex, e.Index)
	}
}

// Sync writes everything appended since the last Sync as one frame and syncs it
// to disk. Error: ErrFailed, after which the log refuses all writes.
func (l *Log) Sync() error {
	if l.failure != nil {
		return *l.failure
	}
	if len(l.buffer) == 0 {
		return nil
	}
	if l.segmentSize >= l.options.SegmentBytes {
		if err := l.startSegment(nil); err != nil {
			return l.fail(err)
		}
	}
	if err := l.writeFrame(nil, l.buffer); err != nil {
		return l.fail(err)
	}
	last := &l.segments[len(l.segments)-1]
	last.highestIndex = max(last.highestIndex, l.highestIndex)
	l.buffer = l.buffer[:0]
	l.highestIndex = 0
	return nil
}

// fail makes the log refuse all further writes.
//
// Failure: a sync fails, the kernel marks the pages clean, and a second sync
// succeeds without writing them. The voter then acknowledges data that is not on
// disk, and a power loss drops a confirmed order. The log therefore never
// retries.
func (l *Log) fail(cause error) error {
	l.failure = &ErrFailed{Cause: cause}
	return *l.failure
}

// writeFrame writes one frame, after the header if a new segment starts, and
// syncs it.
//
// Failure: power is lost while a new segment is written, and of two writes only
// the later one reaches the disk. A frame after a header of zeros looks like a
// damaged segment, and Open would refuse the folder. Header and frame are
// therefore one write.
func (l *Log) writeFrame(header, payload []byte) error {
	write := append(header, encodeSegmentFrame(l.nextFrame, payload)...)
	if err := l.file.Append(write); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.segmentSize += int64(len(write))
	l.nextFrame++
	return nil
}

// startSegment creates a new segment. Its first frame holds the hard state, so
// that older segments can be removed, followed by records.
func (l *Log) startSegment(records []byte) error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return err
		}
	}
	f, err := l.disk.Create(segmentName(number))
	if err != nil {
		return err
	}
	l.file = f
	header := segmentHeader{version: segmentVersion2, disk: l.member.Disk, number: number, firstFrame: l.nextFrame}.encode()
	l.segmentSize = 0
	l.segments = append(l.segments, segment{name: segmentName(number), version: segmentVersion2, number: number})
	if err := l.writeFrame(header, append(appendHardState(nil, l.hardState), records...)); err != nil {
		return err
	}
	return l.disk.SyncDir()
}

// SaveSnapshot writes a snapshot durably and removes the segments and snapshots
// that it replaces. A received snapshot replaces the whole log. Call SaveSnapshot
// only after everything appended is synced. Error: ErrFailed.
func (l *Log) SaveSnapshot(s consensus.Snapshot, received bool) error {
	if l.failure != nil {
		return *l.failure
	}
	if err := l.saveSnapshot(s, received); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) saveSnapshot(s consensus.Snapshot, received bool) error {
	if err := writeSnapshot(l.disk, l.member.Disk, s); err != nil {
		return err
	}
	l.snapshotIndex = s.Index
	var records []byte
	if received {
		records = appendReset(nil, s.Index, s.Term)
	}
	if err := l.startSegment(records); err != nil {
		return err
	}
	return l.removeObsolete(received)
}

// removeObsolete removes the oldest segments, as long as they hold no entries
// after the snapshot, and older snapshots. With allSegments it removes all
// segments but the last.
//
// Failure: power is lost after two removals, and only the later one reaches the
// disk. The gap looks like a lost segment, and Open would refuse the folder.
// Segments are therefore removed from the oldest on, and each removal is synced
// before the next one. A snapshot usually makes one segment obsolete, rarely
// more.
func (l *Log) removeObsolete(allSegments bool) error {
	for len(l.segments) > 1 && (allSegments || l.segments[0].highestIndex <= l.snapshotIndex) {
		if err := l.disk.Remove(l.segments[0].name); err != nil {
			return err
		}
		if err := l.disk.SyncDir(); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	names, err := l.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(l.snapshotIndex) {
			if err := l.disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return l.disk.SyncDir()
}

// Close closes the log. Entries appended since the last Sync are lost.
func (l *Log) Close() error {
	return l.file.Close()
}
