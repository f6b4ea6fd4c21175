package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// Digest identifies a request by its customer and body: the first 64 bits of a
// SHA-256 hash. The hash is cryptographic because a customer could otherwise
// craft a body that gets another customer's request quarantined.
type Digest uint64

// DigestOf returns the digest of a request.
func DigestOf(customer protocol.CustomerID, body []byte) Digest {
	hash := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(customer)))
	hash.Write(length[:])
	hash.Write([]byte(customer))
	hash.Write(body)
	return Digest(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// short is the part of a digest that crash notices carry. The digests of two
// requests share it by chance once in four thousand million pairs; the only
// harm is an unnecessary trial.
type short uint32

func (d Digest) short() short { return short(d >> 32) }

// TrialUpstream chooses the upstream for a suspect's trial: the one with the
// highest rendezvous weight for the digest. Every router chooses the same one,
// so all copies of a request go to one owner, which runs only one at a time. It
// returns false if there are no upstreams.
func TrialUpstream(d Digest, upstreams []protocol.UpstreamID) (protocol.UpstreamID, bool) {
	var best protocol.UpstreamID
	var bestWeight uint64
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(d))
	for _, upstream := range upstreams {
		hash := xxhash.New()
		_, _ = hash.Write(seed[:])
		_, _ = hash.WriteString(string(upstream))
		weight := hash.Sum64()
		if best == "" || weight > bestWeight || weight == bestWeight && upstream < best {
			best, bestWeight = upstream, weight
		}
	}
	return best, best != ""
}
