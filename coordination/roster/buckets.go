package roster

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// bucketCount is in how many parts rosters are compared: as many as a mask has
// bits.
const bucketCount = 64

// Buckets names parts of a roster, by the bits of a mask.
type Buckets uint64

// AllBuckets names the whole roster.
const AllBuckets = ^Buckets(0)

// bucketOf returns the part that an upstream belongs to.
func bucketOf(id protocol.UpstreamID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// has reports whether a part is named.
func (b Buckets) has(bucket int) bool { return b>>bucket&1 == 1 }

// Count returns how many parts are named.
func (b Buckets) Count() int { return bits.OnesCount64(uint64(b)) }

// Summary is a digest of each part, for another process to find which differ.
type Summary []byte

// summaryBytes is the length of a Summary: 32 bits for each part.
const summaryBytes = 4 * bucketCount

// Summary returns the digests of the own parts.
func (r *Roster) Summary() Summary {
	summary := make(Summary, 0, summaryBytes)
	for _, digest := range r.bucketDigests {
		summary = binary.LittleEndian.AppendUint32(summary, uint32(digest))
	}
	return summary
}

// mostParts is how many parts are sent by themselves. With more the whole goes
// out, which is packed once for all who lack most of it.
const mostParts = bucketCount / 4

// Differing returns the parts that differ from another process's, all of them
// where many do or it gave no Summary.
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
	if differing.Count() > mostParts {
		return AllBuckets
	}
	return differing
}

// EntriesIn returns the entries of some parts, by name.
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
