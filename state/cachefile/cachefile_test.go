package cachefile

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/state/disk/fakedisk"
)

var day = time.Unix(1_700_000_000, 0)

func TestWhatWasWrittenIsReadWhileItIsFresh(t *testing.T) {
	// Read must return the newest content, and must ignore a file that is older
	// than the caller accepts.
	d := fakedisk.New()
	_, found := Read(d, day, time.Minute)
	assert.Assert(t, !found)
	assert.NilError(t, Write(d, day, []byte("one")))
	assert.NilError(t, Write(d, day, []byte("two")))
	content, found := Read(d, day.Add(30*time.Second), time.Minute)
	assert.Assert(t, found)
	assert.Equal(t, string(content), "two")
	_, found = Read(d, day.Add(2*time.Minute), time.Minute)
	assert.Assert(t, !found)
}

func TestAfterAPowerLossTheFileIsWholeOrMissing(t *testing.T) {
	// Power is lost at any moment while the file is replaced repeatedly. If a torn
	// file counted as undamaged, it would name upstreams that never existed.
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := fakedisk.New()
		for i := range random.IntN(4) {
			assert.NilError(t, Write(d, day, []byte{byte(i), byte(i)}))
		}
		f, err := d.Create(temporaryName)
		assert.NilError(t, err)
		assert.NilError(t, f.Append([]byte("half")))
		if random.IntN(2) == 0 {
			assert.NilError(t, d.Rename(temporaryName, fileName))
		}
		d.Crash(random)
		content, found := Read(d, day, time.Minute)
		if found {
			assert.Equal(t, len(content), 2)
			assert.Equal(t, content[0], content[1])
		}
	}
}

func TestDamageCountsAsNoFile(t *testing.T) {
	// A bit flips on the disk. The damaged content must not be returned.
	d := fakedisk.New()
	assert.NilError(t, Write(d, day, []byte("content")))
	d.FlipBit(fileName, 150)
	_, found := Read(d, day, time.Minute)
	assert.Assert(t, !found)
}

func TestAFullDiskIsAnErrorAndLeavesTheOldFile(t *testing.T) {
	// The disk is full while the file is replaced. The caller must get an error,
	// and the old content must still be readable.
	d := fakedisk.New()
	assert.NilError(t, Write(d, day, []byte("old")))
	d.SetCapacity(1)
	assert.Assert(t, Write(d, day, []byte("new")) != nil)
	content, found := Read(d, day, time.Minute)
	assert.Assert(t, found)
	assert.Equal(t, string(content), "old")
}

func TestPowerLossDuringReplaceKeepsOldOrNewContent(t *testing.T) {
	// Power is lost at any disk call of a replacement, and each unsynced write and
	// name is kept or lost independently. The content that is read afterwards must
	// be the last confirmed one or the one that was being written, never a mix.
	now := time.Unix(1000, 0)
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := fakedisk.New()
		assert.NilError(t, Write(d, now, []byte("first")))
		d.CutPowerAfter(random.IntN(7))
		err := Write(d, now, []byte("second, which is longer"))
		d.CrashReordered(random)
		content, found := Read(d, now, time.Hour)
		confirmed := err == nil && string(content) == "second, which is longer"
		underWay := err != nil && (string(content) == "first" || string(content) == "second, which is longer")
		assert.Assert(t, found && (confirmed || underWay), "seed %d: %q", seed, content)
	}
}
