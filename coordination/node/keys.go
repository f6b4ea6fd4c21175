package node

import (
	"crypto/subtle"
	"encoding/binary"
)

// Keys finds customers by the SHA-256 of a bearer key. The first eight bytes of
// a digest select a bucket. Find then compares complete digests in constant
// time, so that the time of a lookup reveals nothing about the other bytes.
type Keys struct{ buckets map[uint64][]keyEntry }

// keyEntry is the digest of one key and its customer.
type keyEntry struct {
	hash     [32]byte
	customer *Customer
}

// Add adds the digest of a key.
func (k *Keys) Add(hash [32]byte, customer *Customer) {
	if k.buckets == nil {
		k.buckets = map[uint64][]keyEntry{}
	}
	bucket := binary.BigEndian.Uint64(hash[:])
	k.buckets[bucket] = append(k.buckets[bucket], keyEntry{hash, customer})
}

// Find returns the customer whose key has this digest, or nil.
func (k *Keys) Find(hash [32]byte) *Customer {
	var found *Customer
	for _, candidate := range k.buckets[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) == 1 {
			found = candidate.customer
		}
	}
	return found
}

// Each calls yield with the customer of each key, in no particular order.
func (k *Keys) Each(yield func(*Customer)) {
	for _, bucket := range k.buckets {
		for _, entry := range bucket {
			yield(entry.customer)
		}
	}
}
