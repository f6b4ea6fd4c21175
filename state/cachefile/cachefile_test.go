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
	// Power is lost at any moment while the file is replaced again and again.
	// A torn one, taken for whole, would name upstreams that never were.
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := fakedisk.New()
		for i := range random.IntN(4) {
			assert.NilError(t, Write(d, day, []byte{byte(i), byte(i)}))
		}
		f, err := d.Create(temporary)
		assert.NilError(t, err)
		assert.NilError(t, f.Append([]byte("half")))
		if random.IntN(2) == 0 {
			assert.NilError(t, d.Rename(temporary, name))
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
	d := fakedisk.New()
	assert.NilError(t, Write(d, day, []byte("content")))
	d.FlipBit(name, 150)
	_, found := Read(d, day, time.Minute)
	assert.Assert(t, !found)
}

func TestAFullDiskIsAnErrorAndLeavesTheOldFile(t *testing.T) {
	d := fakedisk.New()
	assert.NilError(t, Write(d, day, []byte("old")))
	d.SetCapacity(1)
	assert.Assert(t, Write(d, day, []byte("new")) != nil)
	content, found := Read(d, day, time.Minute)
	assert.Assert(t, found)
	assert.Equal(t, string(content), "old")
}

func TestThePowerGoesWhileTheFileIsReplaced(t *testing.T) {
	// Power is lost at any call of a replacement, and each unsynced write and name
	// lasts or not by itself. What is read afterwards is a content that was
	// written, the last that was confirmed or the one under way, and never a mix.
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
