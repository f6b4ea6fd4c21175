package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/coordination/consensus"
	"endiveplank/state/disk"
	"endiveplank/state/disk/fakedisk"
)

func options() Options {
	return Options{Router: "r1", SegmentBytes: 400, Random: rand.New(rand.NewPCG(1, 1))}
}

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

func entries(from, to, term uint64) []consensus.Entry {
	var all []consensus.Entry
	for i := from; i <= to; i++ {
		all = append(all, entry(i, term))
	}
	return all
}

// mustOpen opens a log and fails the test on an error.
func mustOpen(t testing.TB, d disk.Disk) (*Log, consensus.Stored) {
	l, stored, err := Open(d, options())
	assert.NilError(t, err)
	return l, stored
}

// diskWithEntries returns a disk whose log holds entries 1 to n, one frame each.
func diskWithEntries(t testing.TB, n uint64) *fakedisk.Disk {
	d := fakedisk.New()
	l, _ := mustOpen(t, d)
	for i := range n {
		l.Append(&consensus.HardState{Term: i + 1}, []consensus.Entry{entry(i+1, i+1)})
		assert.NilError(t, l.Sync())
	}
	return d
}

func TestPowerLossKeepsWhatWasSynced(t *testing.T) {
	// Guards against the loss of confirmed orders by a power loss. The test runs
	// random appends, replaced entries, syncs, snapshots, full segments and crashes
	// with torn writes. After each crash the log must hold all synced entries, which
	// include every confirmed order, and a prefix of the unsynced ones. The disk ID
	// must stay the same.
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 2))
		d := fakedisk.New()
		l, _, err := Open(d, options())
		assert.NilError(t, err)
		member := l.Member()
		var synced consensus.Stored
		term := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			last := synced.Snapshot.Index + uint64(len(synced.Entries))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0: // A new leader replaces the last entries.
				term++
				from := synced.Snapshot.Index + 1 + uint64(random.IntN(len(synced.Entries)+1))
				written := entries(from, from+uint64(random.IntN(4)), term)
				l.Append(&consensus.HardState{Term: term}, written)
				assert.NilError(t, l.Sync())
				synced.Entries = append(slices.Clone(synced.Entries[:from-synced.Snapshot.Index-1]), written...)
				synced.HardState = consensus.HardState{Term: term}
			case 1: // The member writes its own snapshot, which covers a part of the log.
				if len(synced.Entries) > 0 {
					at := synced.Entries[random.IntN(len(synced.Entries))]
					synced.Entries = slices.Clone(synced.Entries[at.Index-synced.Snapshot.Index:])
					synced.Snapshot = consensus.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("own")}
					assert.NilError(t, l.SaveSnapshot(synced.Snapshot, false))
				}
			case 2: // The member receives a snapshot that ends after its log.
				synced.Snapshot = consensus.Snapshot{Index: last + uint64(random.IntN(5)) + 1, Term: term, Data: []byte("received")}
				synced.Entries = nil
				assert.NilError(t, l.SaveSnapshot(synced.Snapshot, true))
			case 3: // The member crashes during a write.
				file := l.file
				assert.NilError(t, file.Append(encodeSegmentFrame(l.nextFrame, appendEntry(nil, entry(last+1, term)))))
				d.Crash(random)
				var stored consensus.Stored
				l, stored, err = Open(d, options())
				assert.NilError(t, err)
				if len(stored.Entries) == len(synced.Entries)+1 {
					synced.Entries = append(synced.Entries, entry(last+1, term))
				}
				checkStored(t, stored, synced)
			default:
				from := last + 1
				written := entries(from, from+uint64(random.IntN(6)), term)
				l.Append(nil, written)
				assert.NilError(t, l.Sync())
				synced.Entries = append(synced.Entries, written...)
			}
		}
		d.Crash(random)
		l, stored, err := Open(d, options())
		assert.NilError(t, err)
		assert.Equal(t, l.Member(), member)
		checkStored(t, stored, synced)
	})
}

func checkStored(t *rapid.T, got, want consensus.Stored) {
	assert.Equal(t, got.HardState, want.HardState)
	assert.Equal(t, got.Snapshot.Index, want.Snapshot.Index)
	assert.Equal(t, string(got.Snapshot.Data), string(want.Snapshot.Data))
	assert.Equal(t, len(got.Entries), len(want.Entries))
	assert.DeepEqual(t, append([]consensus.Entry{}, got.Entries...), append([]consensus.Entry{}, want.Entries...))
}

func TestAnUnfinishedWriteIsTruncatedWhereverItEnds(t *testing.T) {
	// All voters lose power during a write. On one disk the last byte of the write
	// has a wrong bit, or the file has its full length but zeros instead of the last
	// bytes. This is an unfinished write and no corruption: if the voter refused its
	// folder, one more disk would be lost. Synced entries must be there, and the
	// unfinished one may be there.
	d := diskWithEntries(t, 3)
	l, _ := mustOpen(t, d)
	name := l.segments[len(l.segments)-1].name
	synced, err := d.ReadAll(name)
	assert.NilError(t, err)
	unfinished := entry(4, 4)
	unfinished.Data = []byte("ends in a power of two: \x40")
	write := encodeSegmentFrame(l.nextFrame, appendEntry(nil, unfinished))
	check := func(tail []byte, what string) {
		overwriteFile(t, d, name, slices.Concat(synced, tail))
		_, stored, err := Open(d, options())
		assert.NilError(t, err, what)
		assert.Assert(t, len(stored.Entries) == 3 || len(stored.Entries) == 4, "%s: %d entries", what, len(stored.Entries))
	}
	for kept := 1; kept <= len(write); kept++ {
		zeros := make([]byte, len(write)-kept)
		check(slices.Concat(write[:kept], zeros), fmt.Sprintf("%d bytes, then zeros", kept))
		for wrong := 1; wrong < 256; wrong++ {
			tail := slices.Clone(write[:kept])
			tail[kept-1] ^= byte(wrong)
			check(tail, fmt.Sprintf("byte %d wrong by %#x", kept, wrong))
		}
	}
}

// withoutEndBytes converts a segment to version 1.
func withoutEndBytes(data []byte) []byte {
	header, _ := decodeHeader(data)
	header.version = segmentVersion1
	bare := header.encode()
	for at := headerSize; at < len(data); {
		frame, _ := parseFrame(data[at:])
		bare = append(bare, frame...)
		at += len(frame) + 1
	}
	return bare
}

func TestSegmentsWithoutEndBytesAreReadAndLeftAsTheyAre(t *testing.T) {
	// An operator upgrades from a program version that wrote segments of version 1.
	// All confirmed entries must be there, and new entries must go to a new segment.
	d := diskWithEntries(t, 12)
	_, want := mustOpen(t, d)
	names, err := d.List()
	assert.NilError(t, err)
	for _, name := range names {
		if _, ok := segmentNumber(name); ok {
			data, err := d.ReadAll(name)
			assert.NilError(t, err)
			overwriteFile(t, d, name, withoutEndBytes(data))
		}
	}
	last := lastSegment(names)
	before, err := d.ReadAll(last)
	assert.NilError(t, err)
	l, stored := mustOpen(t, d)
	assert.DeepEqual(t, stored, want)
	l.Append(nil, []consensus.Entry{entry(13, 12)})
	assert.NilError(t, l.Sync())
	_, stored = mustOpen(t, d)
	assert.Equal(t, stored.HardState, want.HardState)
	assert.DeepEqual(t, stored.Entries, append(want.Entries, entry(13, 12)))
	after, err := d.ReadAll(last)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}

func TestCrashBetweenSnapshotAndResetRecord(t *testing.T) {
	// A voter holds uncommitted entries of a former leader. It receives a snapshot
	// and loses power right after the snapshot file is renamed. Its old entries end
	// before the snapshot or contradict it. They must be dropped, and new entries
	// must be accepted after the snapshot.
	for _, snapshot := range []consensus.Snapshot{{Index: 9, Term: 8}, {Index: 2, Term: 8}} {
		d := diskWithEntries(t, 3)
		l, _ := mustOpen(t, d)
		assert.NilError(t, writeSnapshot(d, l.member.Disk, snapshot))
		for range 2 {
			_, stored := mustOpen(t, d)
			assert.Equal(t, stored.Snapshot.Index, snapshot.Index)
			assert.Equal(t, len(stored.Entries), 0)
		}
		l, _ = mustOpen(t, d)
		l.Append(nil, []consensus.Entry{entry(snapshot.Index+1, 8)})
		assert.NilError(t, l.Sync())
		_, stored := mustOpen(t, d)
		assert.Equal(t, len(stored.Entries), 1)
	}
}

func TestEveryFlippedBitIsRefusedWithFileAndOffset(t *testing.T) {
	// A bit flips on the disk of a voter that restarts. If the voter truncated the
	// log there, it would forget orders that it has confirmed. Open must refuse the
	// folder and name the place. A wrong end byte may pass, because all entries are
	// there.
	d := diskWithEntries(t, 12)
	names, err := d.List()
	assert.NilError(t, err)
	for _, name := range names {
		data, err := d.ReadAll(name)
		assert.NilError(t, err)
		for bit := range len(data) * 8 {
			d.FlipBit(name, bit)
			_, stored, err := Open(d, options())
			harmless := err == nil && len(stored.Entries) == 12
			if !harmless && !inLastMagicOrLength(name, data, names, bit/8) {
				var corrupt CorruptionError
				assert.Assert(t, errors.As(err, &corrupt), "%s bit %d: %v", name, bit, err)
				assert.Assert(t, corrupt.File != "" && corrupt.Reason != "")
			}
			overwriteFile(t, d, name, data)
		}
	}
}

// inLastMagicOrLength reports whether a byte belongs to the magic or the length
// of the very last frame. A wrong bit there looks like an unfinished write.
func inLastMagicOrLength(name string, data []byte, names []string, at int) bool {
	if name != lastSegment(names) {
		return false
	}
	start := headerSize
	for {
		frame, _ := parseFrame(data[start:])
		past := start + len(frame) + 1
		if past == len(data) {
			return at >= start && at < start+frameSequence
		}
		start = past
	}
}

func lastSegment(names []string) string {
	last := ""
	for _, name := range names {
		if _, ok := segmentNumber(name); ok {
			last = max(last, name)
		}
	}
	return last
}

func overwriteFile(t *testing.T, d *fakedisk.Disk, name string, data []byte) {
	f, err := d.Create(name)
	assert.NilError(t, err)
	assert.NilError(t, f.Append(data))
	assert.NilError(t, f.Sync())
	assert.NilError(t, d.SyncDir())
}

func TestDamagedFolderIsRefused(t *testing.T) {
	// Somebody moves a disk to another VM, deletes files by hand, or goes back to
	// an older program version. Open must not take any of these for an empty or
	// shorter log.
	remove := func(name string) func(*testing.T, *fakedisk.Disk) {
		return func(t *testing.T, d *fakedisk.Disk) { assert.NilError(t, d.Remove(name)) }
	}
	corrupt := func(err error) bool { return errors.As(err, &CorruptionError{}) }
	tests := map[string]struct {
		damage func(*testing.T, *fakedisk.Disk)
		router string
		is     func(error) bool
	}{
		"disk of another router": {router: "r2", is: func(err error) bool { return errors.As(err, &ForeignDiskError{}) }},
		"identity gone":          {damage: remove(identityName), is: corrupt},
		"first segment gone":     {damage: remove(segmentName(1)), is: corrupt},
		"middle segment gone":    {damage: remove(segmentName(2)), is: corrupt},
		"newer format": {damage: func(t *testing.T, d *fakedisk.Disk) {
			payload := []byte{0x81, 0xa1, 'v', 9}
			overwriteFile(t, d, identityName, encodeFrame(0, payload))
		}, is: func(err error) bool { return errors.As(err, &VersionError{}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := diskWithEntries(t, 12)
			o := options()
			if test.damage != nil {
				test.damage(t, d)
			}
			if test.router != "" {
				o.Router = "r2"
			}
			_, _, err := Open(d, o)
			assert.Assert(t, test.is(err), "got %v", err)
		})
	}
}

func TestNoWriteSucceedsAfterAFailedSync(t *testing.T) {
	// A sync fails and the next one would succeed, because the kernel has dropped
	// the dirty pages. The log must not confirm anything after the first failure.
	for name, breakDisk := range map[string]func(*fakedisk.Disk, bool){
		"failed sync": (*fakedisk.Disk).FailSyncs,
		"full disk": func(d *fakedisk.Disk, broken bool) {
			d.SetCapacity(map[bool]int{true: 1}[broken])
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := diskWithEntries(t, 2)
			l, _ := mustOpen(t, d)
			breakDisk(d, true)
			l.Append(nil, entries(3, 3, 2))
			assert.Assert(t, errors.As(l.Sync(), &ErrFailed{}))
			breakDisk(d, false)
			assert.Assert(t, errors.As(l.Sync(), &ErrFailed{}))
			assert.Assert(t, errors.As(l.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}, false), &ErrFailed{}))
			_, stored := mustOpen(t, d)
			assert.Assert(t, len(stored.Entries) == 2 || len(stored.Entries) == 3)
		})
	}
}

func TestOneSyncCoversManyEntries(t *testing.T) {
	// A sync for each entry would limit the log to the sync rate of the disk.
	d := fakedisk.New()
	l, _ := mustOpen(t, d)
	before := d.Syncs()
	l.Append(nil, entries(1, 100, 1))
	assert.NilError(t, l.Sync())
	assert.Equal(t, d.Syncs()-before, 1)
}

func TestSnapshotRemovesCoveredSegments(t *testing.T) {
	// Segments that a snapshot covers must be removed, or the log would grow
	// without bound. No entry after the snapshot may be lost with them.
	d := diskWithEntries(t, 40)
	l, stored := mustOpen(t, d)
	before := len(l.segments)
	assert.NilError(t, l.SaveSnapshot(consensus.Snapshot{Index: 38, Term: 38}, false))
	assert.Assert(t, len(l.segments) < before && len(l.segments) <= 3, "%d of %d segments", len(l.segments), before)
	_, again := mustOpen(t, d)
	assert.DeepEqual(t, again.Entries, stored.Entries[38:])
}

func TestRealFolder(t *testing.T) {
	// The log must also work on a real file system, and a second process must not
	// be able to open the folder.
	folder := t.TempDir()
	d, err := disk.Open(folder)
	assert.NilError(t, err)
	l, _ := mustOpen(t, d)
	l.Append(&consensus.HardState{Term: 3, Vote: l.Member()}, entries(1, 50, 3))
	assert.NilError(t, l.Sync())
	assert.NilError(t, l.SaveSnapshot(consensus.Snapshot{Index: 20, Term: 3, Data: []byte("x")}, false))
	_, err = disk.Open(folder)
	assert.ErrorIs(t, err, disk.ErrLocked)
	assert.NilError(t, l.Close())
	assert.NilError(t, d.Close())
	d, err = disk.Open(folder)
	assert.NilError(t, err)
	again, stored := mustOpen(t, d)
	assert.Equal(t, stored.HardState.Vote, again.Member())
	assert.Equal(t, len(stored.Entries), 30)
}

func FuzzReadSegment(f *testing.F) {
	d := diskWithEntries(f, 12)
	names, _ := d.List()
	for _, name := range names {
		data, _ := d.ReadAll(name)
		f.Add(data, true)
		f.Add(data[:len(data)-3], true)
		f.Add(data[:len(data)/2], false)
	}
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		header, _ := decodeHeader(data)
		r := &replay{}
		scan, err := readSegment("log", data, header.disk, last, r)
		if err != nil {
			return
		}
		if scan.validSize > int64(len(data)) || (scan.torn && !last) || (!scan.torn && scan.validSize != int64(len(data))) {
			t.Fatalf("invalid result for a segment of %d bytes: %+v", len(data), scan)
		}
		for i, e := range r.entries {
			if e.Index != r.base+uint64(i)+1 {
				t.Fatalf("entries are missing before entry %d", e.Index)
			}
		}
	})
}

// noSyncDirDisk doesn't sync the folder, as if the process was killed before it
// could.
type noSyncDirDisk struct{ *fakedisk.Disk }

func (noSyncDirDisk) SyncDir() error { return nil }

func TestKilledProcessThenPowerLoss(t *testing.T) {
	// The daemon is killed between a write and its sync, or between the creation
	// of a segment and the sync of the folder. It starts again, reads the data from
	// the kernel's page cache, appends to it and confirms orders. Then power is
	// lost. The data that was read at the start must have been synced there.
	for name, folder := range map[string]func(*fakedisk.Disk) disk.Disk{
		"write not synced":  func(d *fakedisk.Disk) disk.Disk { return d },
		"folder not synced": func(d *fakedisk.Disk) disk.Disk { return noSyncDirDisk{d} },
	} {
		t.Run(name, func(t *testing.T) {
			d := diskWithEntries(t, 1)
			l, _ := mustOpen(t, folder(d))
			for i := uint64(2); i <= 20; i++ {
				l.Append(nil, []consensus.Entry{entry(i, 2)})
				assert.NilError(t, l.Sync())
			}
			unsynced := encodeSegmentFrame(l.nextFrame, appendEntry(nil, entry(21, 2)))
			assert.NilError(t, l.file.Append(unsynced))
			d.Restart()
			_, stored := mustOpen(t, d)
			assert.Equal(t, len(stored.Entries), 21)
			d.Crash(rand.New(rand.NewPCG(1, 1)))
			_, stored = mustOpen(t, d)
			assert.Equal(t, len(stored.Entries), 21)
		})
	}
}
