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

// opened opens a log that must be good.
func opened(t testing.TB, d disk.Disk) (*Log, consensus.Stored) {
	l, stored, err := Open(d, options())
	assert.NilError(t, err)
	return l, stored
}

// written returns a disk with entries 1 to n, one frame each.
func written(t testing.TB, n uint64) *fakedisk.Disk {
	d := fakedisk.New()
	l, _ := opened(t, d)
	for i := range n {
		l.Append(&consensus.HardState{Term: i + 1}, []consensus.Entry{entry(i+1, i+1)})
		assert.NilError(t, l.Sync())
	}
	return d
}

func TestPowerLossKeepsWhatWasSynced(t *testing.T) {
	// A random history of appends, replaced entries, syncs, snapshots, full
	// segments and crashes, with torn tails. After each crash the log must
	// hold at least what was synced, and a prefix of what was written, with
	// the same disk identity. A caller's confirmed order is in the first part.
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
			case 1: // An own snapshot of a part.
				if len(synced.Entries) > 0 {
					at := synced.Entries[random.IntN(len(synced.Entries))]
					synced.Entries = slices.Clone(synced.Entries[at.Index-synced.Snapshot.Index:])
					synced.Snapshot = consensus.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("own")}
					assert.NilError(t, l.SaveSnapshot(synced.Snapshot, false))
				}
			case 2: // A received snapshot beyond the log.
				synced.Snapshot = consensus.Snapshot{Index: last + uint64(random.IntN(5)) + 1, Term: term, Data: []byte("received")}
				synced.Entries = nil
				assert.NilError(t, l.SaveSnapshot(synced.Snapshot, true))
			case 3: // A crash in the middle of a write.
				file := l.file
				assert.NilError(t, file.Append(encodeEndedFrame(l.nextFrame, appendEntry(nil, entry(last+1, term)))))
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

func TestAnUnfinishedWriteIsCutWhereverItEnds(t *testing.T) {
	// All voters lose power during a write. On one disk the write's last byte
	// arrives with a bit wrong, or the file has its length but not its last
	// bytes. That is no damage: a voter that refused its folder would be a lost
	// disk more. What was synced is there, the unfinished entry may be.
	d := written(t, 3)
	l, _ := opened(t, d)
	name := l.segments[len(l.segments)-1].name
	synced, err := d.ReadAll(name)
	assert.NilError(t, err)
	unfinished := entry(4, 4)
	unfinished.Data = []byte("ends in a power of two: \x40")
	write := encodeEndedFrame(l.nextFrame, appendEntry(nil, unfinished))
	check := func(tail []byte, what string) {
		restore(t, d, name, slices.Concat(synced, tail))
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

// withoutEndBytes turns a segment into one of version 1.
func withoutEndBytes(data []byte) []byte {
	header, _ := decodeHeader(data)
	header.version = bareSegments
	bare := header.encode()
	for at := headerSize; at < len(data); {
		frame, _ := frameAt(data[at:])
		bare = append(bare, frame...)
		at += len(frame) + 1
	}
	return bare
}

func TestSegmentsWithoutEndBytesAreReadAndLeftAsTheyAre(t *testing.T) {
	// An operator installs this program over an older one. Everything the old
	// one confirmed is there, and what follows goes to a new segment.
	d := written(t, 12)
	_, want := opened(t, d)
	names, err := d.List()
	assert.NilError(t, err)
	for _, name := range names {
		if _, ok := segmentNumber(name); ok {
			data, err := d.ReadAll(name)
			assert.NilError(t, err)
			restore(t, d, name, withoutEndBytes(data))
		}
	}
	last := lastSegment(names)
	before, err := d.ReadAll(last)
	assert.NilError(t, err)
	l, stored := opened(t, d)
	assert.DeepEqual(t, stored, want)
	l.Append(nil, []consensus.Entry{entry(13, 12)})
	assert.NilError(t, l.Sync())
	_, stored = opened(t, d)
	assert.Equal(t, stored.HardState, want.HardState)
	assert.DeepEqual(t, stored.Entries, append(want.Entries, entry(13, 12)))
	after, err := d.ReadAll(last)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}

func TestCrashBetweenSnapshotAndResetRecord(t *testing.T) {
	// A voter with unfinished entries of a lost leader receives a snapshot and
	// loses power right after the file is in place. Its old entries end before
	// the snapshot or contradict it; they must go, and new ones must follow.
	for _, snapshot := range []consensus.Snapshot{{Index: 9, Term: 8}, {Index: 2, Term: 8}} {
		d := written(t, 3)
		l, _ := opened(t, d)
		assert.NilError(t, writeSnapshot(d, l.member.Disk, snapshot))
		for range 2 {
			_, stored := opened(t, d)
			assert.Equal(t, stored.Snapshot.Index, snapshot.Index)
			assert.Equal(t, len(stored.Entries), 0)
		}
		l, _ = opened(t, d)
		l.Append(nil, []consensus.Entry{entry(snapshot.Index+1, 8)})
		assert.NilError(t, l.Sync())
		_, stored := opened(t, d)
		assert.Equal(t, len(stored.Entries), 1)
	}
}

func TestEveryFlippedBitIsRefusedWithFileAndOffset(t *testing.T) {
	// A bit rots on the disk of a voter that restarts. Cutting the log there
	// would make it forget orders that it has confirmed, so it must refuse and
	// name the place. A wrong end byte may pass, as all entries are there.
	d := written(t, 12)
	names, err := d.List()
	assert.NilError(t, err)
	for _, name := range names {
		data, err := d.ReadAll(name)
		assert.NilError(t, err)
		for bit := range len(data) * 8 {
			d.FlipBit(name, bit)
			_, stored, err := Open(d, options())
			harmless := err == nil && len(stored.Entries) == 12
			if !harmless && !inLastFrameHeader(name, data, names, bit/8) {
				var corrupt CorruptionError
				assert.Assert(t, errors.As(err, &corrupt), "%s bit %d: %v", name, bit, err)
				assert.Assert(t, corrupt.File != "" && corrupt.Reason != "")
			}
			restore(t, d, name, data)
		}
	}
}

// inLastFrameHeader reports whether a byte is part of magic or length of the
// very last frame: a wrong bit there looks like an unfinished write.
func inLastFrameHeader(name string, data []byte, names []string, at int) bool {
	if name != lastSegment(names) {
		return false
	}
	start := headerSize
	for {
		frame, _ := frameAt(data[start:])
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

func restore(t *testing.T, d *fakedisk.Disk, name string, data []byte) {
	f, err := d.Create(name)
	assert.NilError(t, err)
	assert.NilError(t, f.Append(data))
	assert.NilError(t, f.Sync())
	assert.NilError(t, d.SyncDir())
}

func TestDamagedFolderIsRefused(t *testing.T) {
	// Somebody moves a disk to another VM, deletes files by hand, or brings
	// back an older program. None of these may pass as an empty or shorter log.
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
			restore(t, d, identityName, encodeFrame(0, payload))
		}, is: func(err error) bool { return errors.As(err, &VersionError{}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := written(t, 12)
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

func TestFailedSyncPoisonsTheLog(t *testing.T) {
	// A sync fails and the next one would succeed, as a kernel does that has
	// dropped the pages. The log must not confirm anything after the first.
	for name, breakDisk := range map[string]func(*fakedisk.Disk, bool){
		"failed sync": (*fakedisk.Disk).FailSyncs,
		"full disk": func(d *fakedisk.Disk, broken bool) {
			d.SetCapacity(map[bool]int{true: 1}[broken])
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := written(t, 2)
			l, _ := opened(t, d)
			breakDisk(d, true)
			l.Append(nil, entries(3, 3, 2))
			assert.Assert(t, errors.As(l.Sync(), &ErrFailed{}))
			breakDisk(d, false)
			assert.Assert(t, errors.As(l.Sync(), &ErrFailed{}))
			assert.Assert(t, errors.As(l.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1}, false), &ErrFailed{}))
			_, stored := opened(t, d)
			assert.Assert(t, len(stored.Entries) == 2 || len(stored.Entries) == 3)
		})
	}
}

func TestOneSyncCoversManyEntries(t *testing.T) {
	d := fakedisk.New()
	l, _ := opened(t, d)
	before := d.Syncs()
	l.Append(nil, entries(1, 100, 1))
	assert.NilError(t, l.Sync())
	assert.Equal(t, d.Syncs()-before, 1)
}

func TestSnapshotLetsOldSegmentsGo(t *testing.T) {
	d := written(t, 40)
	l, stored := opened(t, d)
	before := len(l.segments)
	assert.NilError(t, l.SaveSnapshot(consensus.Snapshot{Index: 38, Term: 38}, false))
	assert.Assert(t, len(l.segments) < before && len(l.segments) <= 3, "%d of %d segments", len(l.segments), before)
	_, again := opened(t, d)
	assert.DeepEqual(t, again.Entries, stored.Entries[38:])
}

func TestRealFolder(t *testing.T) {
	// The same over a real file system; a second process must stay out.
	folder := t.TempDir()
	d, err := disk.Open(folder)
	assert.NilError(t, err)
	l, _ := opened(t, d)
	l.Append(&consensus.HardState{Term: 3, Vote: l.Member()}, entries(1, 50, 3))
	assert.NilError(t, l.Sync())
	assert.NilError(t, l.SaveSnapshot(consensus.Snapshot{Index: 20, Term: 3, Data: []byte("x")}, false))
	_, err = disk.Open(folder)
	assert.ErrorIs(t, err, disk.ErrLocked)
	assert.NilError(t, l.Close())
	assert.NilError(t, d.Close())
	d, err = disk.Open(folder)
	assert.NilError(t, err)
	again, stored := opened(t, d)
	assert.Equal(t, stored.HardState.Vote, again.Member())
	assert.Equal(t, len(stored.Entries), 30)
}

func FuzzReadSegment(f *testing.F) {
	d := written(f, 12)
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
		end, err := readSegment("log", data, header.disk, last, r)
		if err != nil {
			return
		}
		if end.size > int64(len(data)) || (end.torn && !last) || (!end.torn && end.size != int64(len(data))) {
			t.Fatalf("good part of %d bytes: %+v", len(data), end)
		}
		for i, e := range r.entries {
			if e.Index != r.base+uint64(i)+1 {
				t.Fatalf("hole before entry %d", e.Index)
			}
		}
	})
}

// lazyDisk forgets to sync what the process was killed before syncing.
type lazyDisk struct{ *fakedisk.Disk }

func (lazyDisk) SyncDir() error { return nil }

func TestKilledProcessThenPowerLoss(t *testing.T) {
	// The daemon is killed between a write and its sync, or between a new
	// segment and the sync of the folder. It starts again, sees the data in
	// the kernel's cache, builds on it and confirms orders. Then the power
	// goes. What it built on must have been made to last at the start.
	for name, folder := range map[string]func(*fakedisk.Disk) disk.Disk{
		"write not synced":  func(d *fakedisk.Disk) disk.Disk { return d },
		"folder not synced": func(d *fakedisk.Disk) disk.Disk { return lazyDisk{d} },
	} {
		t.Run(name, func(t *testing.T) {
			d := written(t, 1)
			l, _ := opened(t, folder(d))
			for i := uint64(2); i <= 20; i++ {
				l.Append(nil, []consensus.Entry{entry(i, 2)})
				assert.NilError(t, l.Sync())
			}
			unsynced := encodeEndedFrame(l.nextFrame, appendEntry(nil, entry(21, 2)))
			assert.NilError(t, l.file.Append(unsynced))
			d.Restart()
			_, stored := opened(t, d)
			assert.Equal(t, len(stored.Entries), 21)
			d.Crash(rand.New(rand.NewPCG(1, 1)))
			_, stored = opened(t, d)
			assert.Equal(t, len(stored.Entries), 21)
		})
	}
}
