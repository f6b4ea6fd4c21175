package placement

import (
	"math/bits"
	"time"
)

// EntryBytes is the size of one entry of an Index or of ForwardingPointers.
const EntryBytes = 8

// Layout of an entry: tag, value and stamp. Together with the bits that choose
// the bucket, a tag of 24 bits gives a false match about once in two million
// lookups. A false match misplaces one chat.
const (
	bucketEntries = 8
	tagBits       = 24
	valueBits     = 24
	stampBits     = 16
	valueMask     = 1<<valueBits - 1
	stampMask     = 1<<stampBits - 1
)

// stampUnit is the resolution of ages. 16 bits of it cover six days, longer
// than an engine keeps a prefix.
const stampUnit = 8 * time.Second

// table maps hashes to small values. It is a bounded set-associative array of
// buckets of 64 bytes: a lookup reads one cache line, the garbage collector
// finds no pointers in it, and nothing is allocated after newTable. When a
// bucket is full, a new entry replaces the oldest one.
type table struct {
	buckets [][bucketEntries]uint64
	used    int
}

// newTable returns a table for the given number of entries. Buckets are
// planned four fifths full, so that few of them overflow.
func newTable(entries int) table {
	buckets := max(1, (entries*5+4*bucketEntries-1)/(4*bucketEntries))
	return table{buckets: make([][bucketEntries]uint64, buckets)}
}

// stampOf turns a time into a stamp.
func stampOf(now time.Duration) uint64 {
	return uint64(now/stampUnit) & stampMask
}

// ageOf returns how long ago a stamp was made, up to the range of stamps.
func ageOf(now time.Duration, stamp uint64) time.Duration {
	return time.Duration((stampOf(now)-stamp)&stampMask) * stampUnit
}

// pack builds an entry. Tag 0 marks an empty entry, so tags start at 1.
func pack(tag, value, stamp uint64) uint64 {
	return tag<<(valueBits+stampBits) | value<<stampBits | stamp
}

func entryTag(e uint64) uint64   { return e >> (valueBits + stampBits) }
func entryValue(e uint64) uint64 { return e >> stampBits & valueMask }
func entryStamp(e uint64) uint64 { return e & stampMask }

// locate returns the bucket of a hash, chosen by the upper bits of the mixed
// hash, and its tag, which is made from the lower bits.
func (t *table) locate(hash uint64) (*[bucketEntries]uint64, uint64) {
	mixed := mix(hash)
	tag := max(1, mixed&(1<<tagBits-1))
	bucket, _ := bits.Mul64(mixed, uint64(len(t.buckets)))
	return &t.buckets[bucket], tag
}

// get returns an entry's value and stamp.
func (t *table) get(hash uint64) (value, stamp uint64, ok bool) {
	bucket, tag := t.locate(hash)
	for _, e := range bucket {
		if entryTag(e) == tag {
			return entryValue(e), entryStamp(e), true
		}
	}
	return 0, 0, false
}

// put sets an entry. In a full bucket it replaces the oldest one.
func (t *table) put(now time.Duration, hash, value uint64) {
	bucket, tag := t.locate(hash)
	fresh := pack(tag, min(value, valueMask), stampOf(now))
	victim := 0
	oldest := time.Duration(-1)
	for i, e := range bucket {
		if entryTag(e) == tag {
			bucket[i] = fresh
			return
		}
		if age := replacementAge(now, e); age > oldest {
			oldest = age
			victim = i
		}
	}
	if bucket[victim] == 0 {
		t.used++
	}
	bucket[victim] = fresh
}

// replacementAge is the age by which put chooses the entry to replace. An
// empty entry counts as the oldest.
func replacementAge(now time.Duration, e uint64) time.Duration {
	if e == 0 {
		return (stampMask + 1) * stampUnit
	}
	return ageOf(now, entryStamp(e))
}

// remove deletes an entry and returns its stamp.
func (t *table) remove(hash uint64) (stamp uint64, ok bool) {
	bucket, tag := t.locate(hash)
	for i, e := range bucket {
		if entryTag(e) == tag {
			bucket[i] = 0
			t.used--
			return entryStamp(e), true
		}
	}
	return 0, false
}

// clear empties the table in place.
func (t *table) clear() {
	clear(t.buckets)
	t.used = 0
}

// bytes is the memory that the table takes.
func (t *table) bytes() int {
	return len(t.buckets) * bucketEntries * EntryBytes
}
