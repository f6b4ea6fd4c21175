package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// bucketCount is in how many parts rosters are compared: as many as a mask has
// bits. Three thousand upstreams are 47 in each.
const bucketCount = 64

// Buckets names parts of a roster, by the bits of a mask.
type Buckets uint64

// AllBuckets names the whole roster.
const AllBuckets = ^Buckets(0)

// bucketOf returns the part that an upstream belongs to.
func bucketOf(id protocol.UpstreamID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// has reports whether an upstream's part is named.
func (b Buckets) has(id protocol.UpstreamID) bool { return b>>bucketOf(id)&1 == 1 }

// Summary is a digest of each part, for another process to find which differ.
type Summary []byte

// summaryBytes is the length of a Summary: 32 bits for each part. Two parts that
// differ have the same digest in one of four billion cases, until the next change.
const summaryBytes = 4 * bucketCount

// Summary returns the digests of the own parts.
func (r *Roster) Summary() Summary {
	summary := make(Summary, 0, summaryBytes)
	for _, digest := range r.bucketDigests {
		summary = binary.LittleEndian.AppendUint32(summary, uint32(digest))
	}
	return summary
}

// Differing returns the parts that differ from another process's, all of them
// where it gave no Summary.
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
	return differing
}

// EntriesIn returns the entries of some parts, by name.
func (r *Roster) EntriesIn(buckets Buckets) []Entry {
	var entries []Entry
	for id, known := range r.records {
		if buckets.has(id) {
			entries = append(entries, known.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}
