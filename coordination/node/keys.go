package node

import (
	"crypto/subtle"
	"encoding/binary"
)

// Keys finds customers by the SHA-256 of a bearer key. The first eight bytes
// of a digest choose a bucket; the whole digest is then compared in constant
// time, so the time of an answer says nothing about the rest of a digest.
type Keys struct{ buckets map[uint64][]keyed }

// keyed is one key's digest and its customer.
type keyed struct {
	hash     [32]byte
	customer *Customer
}

// Add enters a key's digest.
func (k *Keys) Add(hash [32]byte, customer *Customer) {
	if k.buckets == nil {
		k.buckets = map[uint64][]keyed{}
	}
	bucket := binary.BigEndian.Uint64(hash[:])
	k.buckets[bucket] = append(k.buckets[bucket], keyed{hash, customer})
}

// Find returns the customer of a key's digest, or nil.
func (k *Keys) Find(hash [32]byte) *Customer {
	var found *Customer
	for _, candidate := range k.buckets[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) == 1 {
			found = candidate.customer
		}
	}
	return found
}

// Each calls yield for each key's customer, in no order.
func (k *Keys) Each(yield func(*Customer)) {
	for _, bucket := range k.buckets {
		for _, entry := range bucket {
			yield(entry.customer)
		}
	}
}
