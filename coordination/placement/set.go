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

// Set is the upstreams of one model as one router sees them. It is immutable.
type Set struct {
	version uint64
	members []Member
	// seeds and inverse are read for every member at every request, so they
	// lie apart from the rest: 16 bytes a member.
	seeds   []uint64
	inverse []float64
	byShort map[uint32]int32
}

// NewSet returns the set of the members, in the order of their IDs. An empty
// set is valid: its order is empty.
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
			return nil, eris.Wrapf(ErrBadWeight, "upstream %s has %v", m.ID, m.Weight)
		}
		if i > 0 && s.members[i-1].ID == m.ID {
			return nil, eris.Wrapf(ErrDuplicate, "upstream %s", m.ID)
		}
		s.seeds = append(s.seeds, xxhash.Sum64String(string(m.ID)))
		s.inverse = append(s.inverse, mean/m.Weight)
		s.byShort[ShortID(m.ID)] = int32(i)
	}
	return s, nil
}

// Version is the number the set was made with.
func (s *Set) Version() uint64 { return s.version }

// Len is the number of members.
func (s *Set) Len() int { return len(s.members) }

// Member returns the member at a position that Order gave.
func (s *Set) Member(position int32) Member { return s.members[position] }

// Find returns the position of the upstream with the short identifier.
func (s *Set) Find(short uint32) (int32, bool) {
	position, ok := s.byShort[short]
	return position, ok
}

// ShortID is the 24-bit identifier that pointers keep in place of a name. Two
// upstreams of 790 share one with a chance of 2%; a chat is then sent to the
// wrong one of the two and starts cold there.
func ShortID(id protocol.UpstreamID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) >> 40)
}

// Key is what an order is made from.
type Key struct {
	// Root identifies the chat.
	Root chat.ChainHash
	// Group identifies the chats that share a system prompt, and Spread is
	// the share of the set, in (0, 1], that they are kept to; 0 means all.
	// Every router must use the same, or a chat has two homes.
	Group  chat.ChainHash
	Spread float64
}

// Order writes the positions of the first len(dst) choices for a key into
// dst, best first, and returns how many there are.
//
// Load: a request at one of 330 routers, before 790 upstreams. Harm: an
// order that needs a ring, tokens or sorting costs memory or allocations per
// request. Each member draws an exponential variate with its weight as rate
// from the hash of root and member; the smallest wins. A member that joins or
// leaves moves only the chats that it wins or had won, and wins in proportion
// to its weight.
//
// With a spread, each member is drawn into the group with that chance, from
// the hash of group and member, and members of the group come before all
// others. Harm prevented: 2,400 customers' system prompts over 790 engines
// are nearly never cached where the next new chat goes.
func (s *Set) Order(key Key, dst []int32) int {
	var draws [MaxChoices]float64
	limit := min(len(dst), MaxChoices)
	if limit == 0 {
		return 0
	}
	spread := key.Spread
	if spread == 0 {
		spread = 1
	}
	count := 0
	for i, seed := range s.seeds {
		handicap := 0.0
		if spread < 1 && unit(mix(seed+uint64(key.Group))) >= spread {
			handicap = outsideGroup
		}
		uniform := unit(mix(seed ^ uint64(key.Root)))
		// -ln(u) is at least 1-u, which settles most members without the
		// logarithm.
		if count == limit && (1-uniform)*s.inverse[i]+handicap >= draws[count-1] {
			continue
		}
		draw := -math.Log(uniform)*s.inverse[i] + handicap
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

// outsideGroup is added to the draw of members outside the group. Draws are
// scaled by the mean weight, so that no draw inside comes near it: one would
// need a chance of e to the -1000.
const outsideGroup = 1000

// Limits of Spread.
const (
	// spreadFactor keeps a customer's chats to about eight times the engines
	// that its share of the work fills, so that none of them lives off one
	// customer and a surge finds room.
	spreadFactor = 8
	// leastSpread is the fewest engines: enough that the group has a few
	// members whatever the draw, and that one loss matters little.
	leastSpread = 8
	// mostSpread is the share above which a group is not worth its loss of
	// balance: the prompt is cached nearly everywhere anyhow.
	mostSpread = 0.5
)

// Spread returns the spread of a group that makes up the given share of the
// fleet's work, 0 to 1. It is a power of two times the least, so that routers
// whose shares differ a little agree; the share should come from the
// replicated state.
func (s *Set) Spread(share float64) float64 {
	wanted := max(leastSpread, spreadFactor*share*float64(len(s.members)))
	steps := math.Round(math.Log2(wanted / leastSpread))
	spread := leastSpread * math.Exp2(steps) / float64(max(1, len(s.members)))
	if spread > mostSpread {
		return 1
	}
	return spread
}

// MaxChoices is the most upstreams that one request considers in order. With
// eight, a fleet at the bound's edge leaves a request without room less than
// once in a thousand; more would only add round trips.
const MaxChoices = 8

// mix is the finaliser of MurmurHash3 (Appleby), a bijection that spreads
// each input bit over all output bits.
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
