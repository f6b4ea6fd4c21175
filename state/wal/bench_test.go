package wal

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/consensus"
	"endiveplank/state/disk"
)

// benchEntrySize is the size in bytes of an order's record with its key and
// digest.
const benchEntrySize = 200

func benchEntries(from uint64, n int) []consensus.Entry {
	all := make([]consensus.Entry, n)
	for i := range all {
		all[i] = consensus.Entry{Index: from + uint64(i), Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, benchEntrySize)}
	}
	return all
}

// BenchmarkAppend measures entries per second and syncs per entry on the real
// file system for several numbers of entries per sync.
func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 4, 16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			d, err := disk.Open(b.TempDir())
			assert.NilError(b, err)
			l, _, err := Open(d, Options{Router: "r1", Random: options().Random})
			assert.NilError(b, err)
			next := uint64(1)
			for b.Loop() {
				l.Append(nil, benchEntries(next, batch))
				assert.NilError(b, l.Sync())
				next += uint64(batch)
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(1/float64(batch), "syncs/entry")
		})
	}
}

// BenchmarkReopen measures how long it takes to open a log for several numbers of
// entries.
func BenchmarkReopen(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			folder := b.TempDir()
			d, err := disk.Open(folder)
			assert.NilError(b, err)
			l, _, err := Open(d, Options{Router: "r1", Random: options().Random})
			assert.NilError(b, err)
			for from := 0; from < n; from += 1000 {
				l.Append(nil, benchEntries(uint64(from+1), 1000))
				assert.NilError(b, l.Sync())
			}
			start := time.Now()
			for b.Loop() {
				again, stored, err := Open(d, Options{Router: "r1", Random: options().Random})
				assert.NilError(b, err)
				assert.Equal(b, len(stored.Entries), n)
				assert.NilError(b, again.Close())
			}
			b.ReportMetric(time.Since(start).Seconds()*1000/float64(b.N), "reopen-ms")
		})
	}
}
