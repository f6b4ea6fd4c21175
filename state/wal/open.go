package wal

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk"
)

// DefaultSegmentBytes is the size at which a new segment starts. It bounds
// what one removal frees and what a scan for damage reads.
const DefaultSegmentBytes = 8 << 20

// Options say whose log it is.
type Options struct {
	Router protocol.RouterID
	// SegmentBytes is the size of a segment; 0 means DefaultSegmentBytes.
	SegmentBytes int64
	// Random draws the identity of a new disk.
	Random *rand.Rand
}

// Open reads the folder, or formats an empty one, and returns what it holds.
// Errors: CorruptionError, ForeignDiskError, VersionError, those of the disk.
func Open(d disk.Disk, options Options) (*Log, consensus.Stored, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{disk: d, options: options}
	names, err := l.removeTemporary()
	if err != nil {
		return nil, consensus.Stored{}, err
	}
	id, formatted, err := readIdentity(d)
	if err != nil {
		return nil, consensus.Stored{}, err
	}
	if !formatted {
		return l.format(names)
	}
	if id.Router != options.Router {
		return nil, consensus.Stored{}, ForeignDiskError{Own: string(options.Router), Found: string(id.Router)}
	}
	l.member = consensus.Member{Router: id.Router, Disk: id.Disk}
	stored, err := l.load(names)
	if err != nil {
		return nil, consensus.Stored{}, err
	}
	return l, stored, nil
}

// removeTemporary removes files that a crash left half written, and returns
// the names of the others.
func (l *Log) removeTemporary() ([]string, error) {
	names, err := l.disk.List()
	if err != nil {
		return nil, err
	}
	kept := names[:0]
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			kept = append(kept, name)
			continue
		}
		if err := l.disk.Remove(name); err != nil {
			return nil, err
		}
	}
	return kept, nil
}

// format starts a new log. The first segment comes before the identity, so a
// folder with an identity but no log has lost its log.
func (l *Log) format(names []string) (*Log, consensus.Stored, error) {
	for _, name := range names {
		if err := l.removeUnfinished(name); err != nil {
			return nil, consensus.Stored{}, err
		}
	}
	l.member = consensus.Member{Router: l.options.Router, Disk: newDiskID(l.options.Random)}
	if err := l.startSegment(nil); err != nil {
		return nil, consensus.Stored{}, err
	}
	if err := writeIdentity(l.disk, identity{formatVersion, l.member.Router, l.member.Disk}); err != nil {
		return nil, consensus.Stored{}, err
	}
	return l, consensus.Stored{}, nil
}

// removeUnfinished removes the first segment of a formatting that a crash cut
// short. Anything more without an identity is damage.
func (l *Log) removeUnfinished(name string) error {
	data, err := l.disk.ReadAll(name)
	if err != nil {
		return err
	}
	if name != segmentName(1) || len(data) > headerSize+maxEmptyFrame {
		return CorruptionError{File: identityName, Reason: "missing, while " + name + " exists"}
	}
	return l.disk.Remove(name)
}

// maxEmptyFrame is the length of the first frame of a fresh segment without a
// vote: a frame header, one hard state record and the end byte.
const maxEmptyFrame = frameHeader + 1 + hardStateSize + 1

// load replays snapshot and segments and makes the log ready for appending.
func (l *Log) load(names []string) (consensus.Stored, error) {
	snapshot, err := newestSnapshot(l.disk, names)
	if err != nil {
		return consensus.Stored{}, err
	}
	r := &replay{}
	if err := l.loadSegments(names, r); err != nil {
		return consensus.Stored{}, err
	}
	l.hardState = r.hardState
	l.snapshotIndex = snapshot.Index
	if l.segments[len(l.segments)-1].version == bareSegments {
		if err := l.startSegment(nil); err != nil {
			return consensus.Stored{}, err
		}
	}
	if r.started && r.base > snapshot.Index {
		return consensus.Stored{}, CorruptionError{File: l.segments[0].name, Reason: "entries before it are missing"}
	}
	entries, fits := r.after(snapshot)
	if !fits {
		if err := l.startSegment(appendReset(nil, snapshot.Index, snapshot.Term)); err != nil {
			return consensus.Stored{}, err
		}
	}
	return consensus.Stored{HardState: r.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// after returns the entries that follow a snapshot. False means that the log
// does not reach or contradicts it: a crash came between a received snapshot
// and the reset record.
func (r *replay) after(s consensus.Snapshot) ([]consensus.Entry, bool) {
	if s.Index == r.base && (s.Index == 0 || r.baseTerm == 0 || r.baseTerm == s.Term) {
		return r.entries, true
	}
	if s.Index > r.last() || s.Index <= r.base {
		return nil, false
	}
	if r.entries[s.Index-r.base-1].Term != s.Term {
		return nil, false
	}
	return r.entries[s.Index-r.base:], true
}

// loadSegments replays all segments and opens the last one.
func (l *Log) loadSegments(names []string, r *replay) error {
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			l.segments = append(l.segments, segment{name: name, number: number})
		}
	}
	if err := l.dropUnfinishedSegment(); err != nil {
		return err
	}
	if len(l.segments) == 0 {
		return CorruptionError{File: segmentName(1), Reason: "the log is missing, while the identity exists"}
	}
	for i := range l.segments {
		if err := l.loadSegment(i, r); err != nil {
			return err
		}
	}
	return nil
}

// segmentNumber reads a segment's number from its name.
func segmentNumber(name string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, segmentPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// dropUnfinishedSegment removes a last segment whose header a crash cut short:
// nothing in it was synced.
func (l *Log) dropUnfinishedSegment() error {
	if len(l.segments) < 2 {
		return nil
	}
	last := l.segments[len(l.segments)-1]
	data, err := l.disk.ReadAll(last.name)
	if err != nil {
		return err
	}
	if _, ok := decodeHeader(data); ok || goodFrameAfter(data) {
		return nil
	}
	l.segments = l.segments[:len(l.segments)-1]
	return l.disk.Remove(last.name)
}

// loadSegment replays one segment; the last is cut and opened.
func (l *Log) loadSegment(i int, r *replay) error {
	s := &l.segments[i]
	if i > 0 && s.number != l.segments[i-1].number+1 {
		return CorruptionError{File: segmentName(l.segments[i-1].number + 1), Reason: "missing"}
	}
	data, err := l.disk.ReadAll(s.name)
	if err != nil {
		return err
	}
	last := i == len(l.segments)-1
	r.highest = 0
	end, err := readSegment(s.name, data, l.member.Disk, last, r)
	if err != nil {
		return err
	}
	s.highest = r.highest
	s.version = end.header.version
	l.nextFrame = end.next
	if !last {
		return nil
	}
	return l.reopen(s.name, end)
}

// reopen cuts an unfinished write and syncs the rest.
//
// Failure: the process is killed between a write and its sync, or between a
// new file and the sync of the folder. The next start sees the data in the
// kernel's cache and builds on it; a power loss then takes it, and with it
// orders confirmed since. Hence all that was read is synced here, names too.
func (l *Log) reopen(name string, end segmentEnd) error {
	if end.torn {
		if err := l.disk.Truncate(name, end.size); err != nil {
			return err
		}
	}
	f, err := l.disk.OpenAppend(name)
	if err != nil {
		return err
	}
	l.file = f
	l.size = end.size
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "wal: sync after opening")
	}
	return l.disk.SyncDir()
}
