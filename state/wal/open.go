package wal

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk"
)

// DefaultSegmentBytes is the size at which a new segment starts. It bounds how
// much space one removal frees and how much a scan for damage reads.
const DefaultSegmentBytes = 8 << 20

// Options are the parameters of Open.
type Options struct {
	// Router is the router that owns the log.
	Router protocol.RouterID
	// SegmentBytes is the size of a segment. 0 means DefaultSegmentBytes.
	SegmentBytes int64
	// Random generates the disk ID of a new folder.
	Random *rand.Rand
}

// Open reads the log in a folder, or formats an empty folder, and returns the log
// and the state stored in it. Errors: CorruptionError, ForeignDiskError,
// VersionError, and those of the disk.
func Open(d disk.Disk, options Options) (*Log, consensus.Stored, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{disk: d, options: options}
	names, err := l.removeTemporaryFiles()
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

// removeTemporaryFiles removes temporary files that a crash left behind, and
// returns the names of the other files.
func (l *Log) removeTemporaryFiles() ([]string, error) {
	names, err := l.disk.List()
	if err != nil {
		return nil, err
	}
	kept := names[:0]
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			kept = append(kept, name)
			continue
		}
		if err := l.disk.Remove(name); err != nil {
			return nil, err
		}
	}
	return kept, nil
}

// format starts a new log. It writes the first segment before the identity, so a
// folder with an identity but without segments must have lost its log.
func (l *Log) format(names []string) (*Log, consensus.Stored, error) {
	for _, name := range names {
		if err := l.removeUnfinishedFormat(name); err != nil {
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

// removeUnfinishedFormat removes the first segment if a crash interrupted the
// formatting of the folder. If the folder holds more than that but no identity,
// it is damaged.
func (l *Log) removeUnfinishedFormat(name string) error {
	data, err := l.disk.ReadAll(name)
	if err != nil {
		return err
	}
	if name != segmentName(1) || len(data) > headerSize+maxEmptyFrame {
		return CorruptionError{File: identityName, Reason: "the file is missing, but " + name + " exists"}
	}
	return l.disk.Remove(name)
}

// maxEmptyFrame is the length of the first frame of a new segment if no vote was
// cast yet: a frame header, one hard state record and the end byte.
const maxEmptyFrame = frameHeaderSize + 1 + hardStateSize + 1

// load reads the newest snapshot, replays the segments and makes the log ready
// for appending.
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
	if l.segments[len(l.segments)-1].version == segmentVersion1 {
		if err := l.startSegment(nil); err != nil {
			return consensus.Stored{}, err
		}
	}
	if r.started && r.base > snapshot.Index {
		return consensus.Stored{}, CorruptionError{File: l.segments[0].name, Reason: fmt.Sprintf("the log starts after entry %d, but the newest snapshot ends at entry %d", r.base, snapshot.Index)}
	}
	entries, consistent := r.entriesAfter(snapshot)
	if !consistent {
		if err := l.startSegment(appendReset(nil, snapshot.Index, snapshot.Term)); err != nil {
			return consensus.Stored{}, err
		}
	}
	return consensus.Stored{HardState: r.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// entriesAfter returns the entries that follow a snapshot. It returns false if the
// log ends before the snapshot or contradicts it: a crash happened after a
// received snapshot was written and before the reset record was.
func (r *replay) entriesAfter(s consensus.Snapshot) ([]consensus.Entry, bool) {
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

// loadSegments replays all segments and opens the last one for appending.
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
		return CorruptionError{File: segmentName(1), Reason: "the log is missing, but the identity file exists"}
	}
	for i := range l.segments {
		if err := l.loadSegment(i, r); err != nil {
			return err
		}
	}
	return nil
}

// segmentNumber parses a segment's number from its file name.
func segmentNumber(name string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, segmentPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// dropUnfinishedSegment removes the last segment if a crash interrupted the write
// of its header: nothing in such a segment was synced.
func (l *Log) dropUnfinishedSegment() error {
	if len(l.segments) < 2 {
		return nil
	}
	last := l.segments[len(l.segments)-1]
	data, err := l.disk.ReadAll(last.name)
	if err != nil {
		return err
	}
	if _, ok := decodeHeader(data); ok || containsValidFrame(data) {
		return nil
	}
	l.segments = l.segments[:len(l.segments)-1]
	return l.disk.Remove(last.name)
}

// loadSegment replays one segment. If it is the last one, loadSegment also opens
// it for appending.
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
	r.highestIndex = 0
	scan, err := readSegment(s.name, data, l.member.Disk, last, r)
	if err != nil {
		return err
	}
	s.highestIndex = r.highestIndex
	s.version = scan.header.version
	l.nextFrame = scan.nextFrame
	if !last {
		return nil
	}
	return l.openLastSegment(s.name, scan)
}

// openLastSegment opens the last segment for appending. It truncates an
// unfinished write at the end and syncs the file and the folder.
//
// Failure: the process is killed between a write and its sync, or between the
// creation of a file and the sync of the folder. The next start reads the data
// from the kernel's page cache and appends to it. A power loss then drops the
// data, and with it all orders confirmed since the start. Everything that was
// read, file names included, is therefore synced here.
func (l *Log) openLastSegment(name string, scan scanResult) error {
	if scan.torn {
		if err := l.disk.Truncate(name, scan.validSize); err != nil {
			return err
		}
	}
	f, err := l.disk.OpenAppend(name)
	if err != nil {
		return err
	}
	l.file = f
	l.segmentSize = scan.validSize
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "wal: sync after opening")
	}
	return l.disk.SyncDir()
}
