package node

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// chainRoot is the key by which a request's upstreams are ordered. All turns
// of a chat share it; a request without a chat has a key of its own.
func chainRoot(e *entry) uint64 {
	links := e.template.Chain
	if len(links) == 0 {
		return xxhash.Sum64String(string(e.request.ID))
	}
	// The first user message comes after an optional system prompt, which
	// many chats share and which alone would put them all in one place.
	return links[min(1, len(links)-1)].Hash
}

// rendezvous scores an upstream for a key. Weighted rendezvous hashing: the
// share of keys for which an upstream scores highest is proportional to its
// capacity, and an upstream that comes or goes moves only its own keys.
func rendezvous(key uint64, upstream *Upstream) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(string(upstream.ID))
	// 53 bits make a float64 in (0, 1).
	unit := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -upstream.Capacity / math.Log(unit)
}
