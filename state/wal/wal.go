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

	segments  []segment
	file      disk.File
	size      int64
	nextFrame uint64
	// buffer holds the records since the last Sync, and highest the highest
	// entry among them.
	buffer  []byte
	highest uint64

	failed *ErrFailed
}

// Member returns router and disk of this log.
func (l *Log) Member() consensus.Member {
	return l.member
}

// Append adds a hard state, if not nil, and entries that replace the log from
// the first one's index on. Nothing lasts before Sync.
func (l *Log) Append(state *consensus.HardState, entries []consensus.Entry) {
	if state != nil {
		l.hardState = *state
		l.buffer = appendHardState(l.buffer, *state)
	}
	for _, e := range entries {
		l.buffer = appendEntry(l.buffer, e)
		l.highest = max(l.highest, e.Index)
	}
}

// Sync writes everything appended as one frame and syncs it. Error: ErrFailed,
// after which the log takes no more.
func (l *Log) Sync() error {
	if l.failed != nil {
		return *l.failed
	}
	if len(l.buffer) == 0 {
		return nil
	}
	if l.size >= l.options.SegmentBytes {
		if err := l.startSegment(nil); err != nil {
			return l.fail(err)
		}
	}
	if err := l.writeFrame(nil, l.buffer); err != nil {
		return l.fail(err)
	}
	last := &l.segments[len(l.segments)-1]
	last.highest = max(last.highest, l.highest)
	l.buffer = l.buffer[:0]
	l.highest = 0
	return nil
}

// fail poisons the log.
//
// Failure: a sync fails, the kernel marks the pages clean, and a second sync
// succeeds without them; the voter acknowledges what is not on disk, and a
// power loss takes an order that was confirmed. No second try is made.
func (l *Log) fail(cause error) error {
	l.failed = &ErrFailed{Cause: cause}
	return *l.failed
}

// writeFrame writes one frame, behind the header of a new segment, and syncs it.
//
// Failure: power is lost in a new segment, and of two writes the later one alone
// lasts. A frame behind a header of zeros looks like a damaged segment, and the
// folder is refused. The guard holds because header and frame are one write.
func (l *Log) writeFrame(header, payload []byte) error {
	write := append(header, encodeEndedFrame(l.nextFrame, payload)...)
	if err := l.file.Append(write); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.size += int64(len(write))
	l.nextFrame++
	return nil
}

// startSegment begins a segment with the hard state, so that older ones may
// go, followed by records.
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
	header := segmentHeader{version: endedSegments, disk: l.member.Disk, number: number, first: l.nextFrame}.encode()
	l.size = 0
	l.segments = append(l.segments, segment{name: segmentName(number), version: endedSegments, number: number})
	if err := l.writeFrame(header, append(appendHardState(nil, l.hardState), records...)); err != nil {
		return err
	}
	return l.disk.SyncDir()
}

// SaveSnapshot makes a snapshot last and removes what it replaces. A received
// snapshot also replaces the whole log. Call it with nothing unsynced before
// it. Error: ErrFailed.
func (l *Log) SaveSnapshot(s consensus.Snapshot, received bool) error {
	if l.failed != nil {
		return *l.failed
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
	return l.removeReplaced(received)
}

// removeReplaced removes the oldest segments that hold nothing after the
// snapshot, and older snapshots.
//
// Failure: power is lost behind two removals, and the later one alone lasts. The
// hole looks like a lost segment, and the folder is refused. The guard holds
// because each removal lasts before the next one, from the oldest on; there is
// one for each snapshot, rarely more.
func (l *Log) removeReplaced(all bool) error {
	for len(l.segments) > 1 && (all || l.segments[0].highest <= l.snapshotIndex) {
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

// Close closes the log without syncing what was appended.
func (l *Log) Close() error {
	return l.file.Close()
}
