package roster

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// bucketCount is the number of buckets by which rosters are compared: one for
// each bit of a Buckets mask.
const bucketCount = 64

// Buckets is a set of buckets of a roster, as a bit mask.
type Buckets uint64

// AllBuckets is the set of all buckets, which is the whole roster.
const AllBuckets = ^Buckets(0)

// bucketOf returns the bucket of an upstream, which its ID alone decides.
func bucketOf(id protocol.UpstreamID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// has reports whether the set contains a bucket.
func (b Buckets) has(bucket int) bool { return b>>bucket&1 == 1 }

// Count returns the number of buckets in the set.
func (b Buckets) Count() int { return bits.OnesCount64(uint64(b)) }

// Summary holds a digest of each bucket. Another process compares it with its own
// roster to find the buckets that differ.
type Summary []byte

// summaryBytes is the length of a Summary: 32 bits for each bucket.
const summaryBytes = 4 * bucketCount

// Summary returns the digests of this roster's buckets.
func (r *Roster) Summary() Summary {
	summary := make(Summary, 0, summaryBytes)
	for _, digest := range r.bucketDigests {
		summary = binary.LittleEndian.AppendUint32(summary, uint32(digest))
	}
	return summary
}

// maxPartialBuckets is the largest number of buckets that are sent on their own.
// If more differ, the whole roster is sent: it is packed once and then sent to
// every process that lacks most of it.
const maxPartialBuckets = bucketCount / 4

// Differing returns the buckets that differ from another process's roster. It
// returns all of them if more than maxPartialBuckets differ or if the other
// process sent no Summary.
func (r *Roster) Differing(other Summary) Buckets {
	if len(other) != summaryBytes {
		return AllBuckets
	}
	differing := Buckets(0)
	for bucket, digest := range r.bucketDigests {
		if binary.LittleEndian.Uint32(other[4*bucket:]) != uint32(digest) {
			differing |= 1 << bucket
		}
	}
	if differing.Count() > maxPartialBuckets {
		return AllBuckets
	}
	return differing
}

// EntriesIn returns the entries of the given buckets, sorted by ID.
func (r *Roster) EntriesIn(buckets Buckets) []Entry {
	var entries []Entry
	for _, known := range r.records {
		if buckets.has(known.bucket) {
			entries = append(entries, known.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}
