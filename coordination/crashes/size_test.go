package crashes

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol/codec"
)

// heapOf returns how much memory what make returns takes.
func heapOf[T any](make func() T) (T, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return made, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// Guards: what a router remembers of crashes, or sends for one, takes more than a small part of its
// budget of 128 MB and 3 KB a second.
func TestWhatIsKeptAndSentIsSmall(t *testing.T) {
	answered, answeredBytes := heapOf(func() *Answered {
		a := NewAnswered()
		for i := range uint64(100_000) {
			a.Note(time.Duration(i), []uint64{i})
		}
		return a
	})
	list, listBytes := heapOf(func() *List {
		l := NewList()
		for i := range uint64(2 * maxQuarantines) {
			l.Add(time.Duration(i), Part, i<<40)
		}
		return l
	})
	detector, detectorBytes := heapOf(func() *Detector {
		w := newWorld(8, 1, 1000)
		for range 2 * maxCrashes {
			w.crash(w.random.IntN(1000), 2*MaxCrashParts, 1_000_000)
			w.now += crashesAtOnce
		}
		return w.detector
	})
	crash := Crash{Digest: 1 << 63, Upstream: "i-22759bfa19", Attempt: 1 << 63, StartedAt: 1 << 41, Parts: []uint64{1 << 63, 1 << 62, 1 << 61}}
	asked := Suspects{Parts: make([]uint64, maxAsked)}
	for i := range asked.Parts {
		asked.Parts[i] = 1<<63 + uint64(i)
	}
	reply := Sound{}
	for _, part := range asked.Parts {
		reply.Parts = append(reply.Parts, SoundPart{Key: part, AgoMS: 100_000})
	}
	t.Logf("kept: %d answered parts %d KB, %d quarantines %d KB, %d crashes %d KB", len(answered.last), answeredBytes>>10, list.Len(), listBytes>>10, len(detector.crashes), detectorBytes>>10)
	sizes := []int{len(codec.Marshal(crash)), len(codec.Marshal(asked)), len(codec.Marshal(reply)), len(codec.Marshal(list.Quarantines(0)))}
	t.Logf("sent: a crash %d bytes, a question %d, its longest answer %d, the longest list %d", sizes[0], sizes[1], sizes[2], sizes[3])
	assert.Assert(t, answeredBytes < 512<<10 && listBytes < 128<<10 && detectorBytes < 2<<20)
	assert.Assert(t, sizes[0] < 200 && sizes[1] < 1<<10 && sizes[2] < 2<<10 && sizes[3] < 10<<10)
	runtime.KeepAlive(answered)
	runtime.KeepAlive(list)
	runtime.KeepAlive(detector)
}
