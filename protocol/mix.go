package protocol

// Mix spreads the bits of a hash (the finaliser of SplitMix64). Rendezvous hashing ranks
// the pair of two names by Mix(hash of one ^ hash of the other).
func Mix(key uint64) uint64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	return key ^ key>>31
}
