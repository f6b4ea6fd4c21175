package placement

import (
	"math/bits"
	"time"
)

// EntryBytes is the size of one entry of an Index or Pointers table.
const EntryBytes = 8

// Layout of an entry: tag, value and stamp. A tag of 24 bits beside the
// bucket's own bits makes a false match likely once in two million lookups,
// which costs one misplaced chat.
const (
	bucketEntries = 8
	tagBits       = 24
	valueBits     = 24
	stampBits     = 16
	valueMask     = 1<<valueBits - 1
	stampMask     = 1<<stampBits - 1
)

// stampUnit is the resolution of ages. 16 bits of it last six days, longer
// than an engine keeps a prefix.
const stampUnit = 8 * time.Second

// table maps hashes to small values. It is a bounded set-associative array of
// 64-byte buckets: one cache line a lookup, no pointers for the garbage
// collector, no allocation after the first. A full bucket forgets its oldest
// entry.
type table struct {
	buckets [][bucketEntries]uint64
	live    int
}

// newTable returns a table that holds at least the given entries before
// buckets overflow more than rarely: buckets are planned four fifths full.
func newTable(entries int) table {
	planned := max(1, (entries*5+4*bucketEntries-1)/(4*bucketEntries))
	return table{buckets: make([][bucketEntries]uint64, planned)}
}

// stampOf turns a time into a stamp.
func stampOf(now time.Duration) uint64 {
	return uint64(now/stampUnit) & stampMask
}

// ageOf returns how long ago a stamp was, up to the stamp's range.
func ageOf(now time.Duration, stamp uint64) time.Duration {
	return time.Duration((stampOf(now)-stamp)&stampMask) * stampUnit
}

// pack builds an entry. Tag 0 marks a free place, so tags start at 1.
func pack(tag, value, stamp uint64) uint64 {
	return tag<<(valueBits+stampBits) | value<<stampBits | stamp
}

func entryTag(e uint64) uint64   { return e >> (valueBits + stampBits) }
func entryValue(e uint64) uint64 { return e >> stampBits & valueMask }
func entryStamp(e uint64) uint64 { return e & stampMask }

// place returns the bucket, chosen by the upper bits of a hash, and the tag,
// its lower bits.
func (t *table) place(hash uint64) (*[bucketEntries]uint64, uint64) {
	mixed := mix(hash)
	tag := max(1, mixed&(1<<tagBits-1))
	bucket, _ := bits.Mul64(mixed, uint64(len(t.buckets)))
	return &t.buckets[bucket], tag
}

// get returns an entry's value and stamp.
func (t *table) get(hash uint64) (value, stamp uint64, ok bool) {
	bucket, tag := t.place(hash)
	for _, e := range bucket {
		if entryTag(e) == tag {
			return entryValue(e), entryStamp(e), true
		}
	}
	return 0, 0, false
}

// put sets an entry; a full bucket loses its oldest.
func (t *table) put(now time.Duration, hash, value uint64) {
	bucket, tag := t.place(hash)
	fresh := pack(tag, min(value, valueMask), stampOf(now))
	victim := 0
	oldest := time.Duration(-1)
	for i, e := range bucket {
		if entryTag(e) == tag {
			bucket[i] = fresh
			return
		}
		if age := entryAge(now, e); age > oldest {
			oldest = age
			victim = i
		}
	}
	if bucket[victim] == 0 {
		t.live++
	}
	bucket[victim] = fresh
}

// entryAge ranks an entry for replacement; free places come first.
func entryAge(now time.Duration, e uint64) time.Duration {
	if e == 0 {
		return (stampMask + 1) * stampUnit
	}
	return ageOf(now, entryStamp(e))
}

// remove deletes an entry and returns its stamp.
func (t *table) remove(hash uint64) (stamp uint64, ok bool) {
	bucket, tag := t.place(hash)
	for i, e := range bucket {
		if entryTag(e) == tag {
			bucket[i] = 0
			t.live--
			return entryStamp(e), true
		}
	}
	return 0, false
}

// clear empties the table in place.
func (t *table) clear() {
	clear(t.buckets)
	t.live = 0
}

// bytes is the memory the table holds.
func (t *table) bytes() int {
	return len(t.buckets) * bucketEntries * EntryBytes
}
