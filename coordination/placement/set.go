package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Member is one upstream that serves the model of a Set.
type Member struct {
	ID protocol.UpstreamID
	// Weight is its share of chats relative to others, usually its capacity.
	// It must be positive and finite.
	Weight float64
}

// Errors of NewSet.
var (
	// ErrBadWeight: a weight is zero, negative or not finite.
	ErrBadWeight = eris.New("placement: weight must be positive and finite")
	// ErrDuplicate: an upstream is listed twice.
	ErrDuplicate = eris.New("placement: upstream listed twice")
)

// Set holds the upstreams of one model in one router's view. It is immutable.
type Set struct {
	version uint64
	members []Member
	// hashes and inverseWeights are read for every member at every request, so
	// they are stored apart from the rest: 16 bytes a member.
	hashes         []uint64
	inverseWeights []float64
	byShort        map[uint32]int32
}

// NewSet returns a set of the members, sorted by ID. A set without members is
// valid: Order then returns no choices.
func NewSet(version uint64, members []Member) (*Set, error) {
	s := &Set{version: version, members: slices.Clone(members)}
	slices.SortFunc(s.members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	sum := 0.0
	for _, m := range s.members {
		sum += m.Weight
	}
	mean := sum / float64(max(1, len(members)))
	s.byShort = make(map[uint32]int32, len(members))
	for i, m := range s.members {
		if !(m.Weight > 0) || math.IsInf(m.Weight, 0) {
			return nil, eris.Wrapf(ErrBadWeight, "upstream %q has weight %v", m.ID, m.Weight)
		}
		if i > 0 && s.members[i-1].ID == m.ID {
			return nil, eris.Wrapf(ErrDuplicate, "upstream %q", m.ID)
		}
		s.hashes = append(s.hashes, xxhash.Sum64String(string(m.ID)))
		s.inverseWeights = append(s.inverseWeights, mean/m.Weight)
		s.byShort[ShortID(m.ID)] = int32(i)
	}
	return s, nil
}

// Version is the version that was passed to NewSet.
func (s *Set) Version() uint64 { return s.version }

// Len is the number of members.
func (s *Set) Len() int { return len(s.members) }

// Member returns the member at a position that Order or Find returned.
func (s *Set) Member(position int32) Member { return s.members[position] }

// Find returns the position of the upstream with the given ShortID.
func (s *Set) Find(short uint32) (int32, bool) {
	position, ok := s.byShort[short]
	return position, ok
}

// ShortID is the 24-bit identifier that forwarding pointers store instead of
// the ID. Among 790 upstreams, the probability that two share an identifier is
// 2%. A chat is then sent to the wrong one of the two and finds no cached
// prefix there.
func ShortID(id protocol.UpstreamID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) >> 40)
}

// Key is what Set.Order orders the upstreams by.
type Key struct {
	// Root is the hash of the chat's root and identifies the chat.
	Root chat.ChainHash
	// Group identifies the chats that share a system prompt. GroupShare is the
	// share of the set, in (0, 1], that they are kept to; 0 means the whole
	// set. Every router must use the same value, or a chat has two first
	// choices.
	Group      chat.ChainHash
	GroupShare float64
}

// Order writes the positions of the first len(dst) choices for a key into dst,
// best first, and returns how many there are, at most MaxChoices.
//
// Load: a request at one of 330 routers that chooses among 790 upstreams.
// Harm: an order that needs a hash ring, virtual nodes or sorting costs memory or
// allocations at each request. Order uses weighted rendezvous hashing: each
// member draws an exponential variate with its weight as rate from the hash of
// root and member, and the smallest wins. A member that joins or leaves moves
// only the chats that it wins or had won, and each member wins in proportion
// to its weight.
//
// With a GroupShare below 1, each member belongs to the group with that
// probability, drawn from the hash of group and member. Members of the group
// come before all others. Otherwise, with the system prompts of 2,400
// customers and 790 engines, a system prompt would hardly ever be cached where
// the next new chat goes.
func (s *Set) Order(key Key, dst []int32) int {
	var draws [MaxChoices]float64
	limit := min(len(dst), MaxChoices)
	if limit == 0 {
		return 0
	}
	groupShare := key.GroupShare
	if groupShare == 0 {
		groupShare = 1
	}
	count := 0
	for i, seed := range s.hashes {
		penalty := 0.0
		if groupShare < 1 && unit(mix(seed+uint64(key.Group))) >= groupShare {
			penalty = outsideGroupPenalty
		}
		uniform := unit(mix(seed ^ uint64(key.Root)))
		// -ln(u) is at least 1-u. This bound rules out most members without
		// computing the logarithm.
		if count == limit && (1-uniform)*s.inverseWeights[i]+penalty >= draws[count-1] {
			continue
		}
		draw := -math.Log(uniform)*s.inverseWeights[i] + penalty
		if count == limit {
			if draw >= draws[count-1] {
				continue
			}
			count--
		}
		at := count
		for at > 0 && draw < draws[at-1] {
			draws[at] = draws[at-1]
			dst[at] = dst[at-1]
			at--
		}
		draws[at] = draw
		dst[at] = int32(i)
		count++
	}
	return count
}

// outsideGroupPenalty is added to the draw of members outside the group. Draws
// are scaled by the mean weight, so that no draw of a member of the group
// comes near it: the probability would be e to the -1000.
const outsideGroupPenalty = 1000

// Limits of GroupShare.
const (
	// groupSizeFactor makes a group eight times as large as the number of
	// engines that the customer's work fills, so that no engine serves one
	// customer alone and a surge finds capacity.
	groupSizeFactor = 8
	// minGroupSize is the smallest number of engines in a group. With eight,
	// the group has a few members whatever the draw, and the loss of one
	// matters little.
	minGroupSize = 8
	// maxGroupShare is the largest share of the set that a group is limited
	// to. Above it, the prompt is cached nearly everywhere anyway, and the
	// limit would only make the load less even.
	maxGroupShare = 0.5
)

// GroupShare returns the share of the set for a group whose work is the given
// share of the fleet's, from 0 to 1. The size of a group is minGroupSize times
// a power of two, so that routers whose values of workShare differ a little
// agree. workShare should come from the replicated state.
func (s *Set) GroupShare(workShare float64) float64 {
	wanted := max(minGroupSize, groupSizeFactor*workShare*float64(len(s.members)))
	steps := math.Round(math.Log2(wanted / minGroupSize))
	groupShare := minGroupSize * math.Exp2(steps) / float64(max(1, len(s.members)))
	if groupShare > maxGroupShare {
		return 1
	}
	return groupShare
}

// MaxChoices is the highest number of upstreams that one request considers in
// order. With eight, in a fleet just below the bound, a request finds no
// capacity less than once in a thousand times. More would only add round
// trips.
const MaxChoices = 8

// mix is the finaliser of MurmurHash3 (Appleby): a bijection in which each
// input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// unit maps a hash to (0, 1).
func unit(x uint64) float64 {
	return (float64(x>>11) + 0.5) / (1 << 53)
}
