package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// idHash is the hash from which a member's positions on the rings derive.
func idHash(id protocol.RouterID) uint64 { return xxhash.Sum64String(string(id)) }

// position returns a member's position on a ring. It mixes the hash with the
// ring's number, so that neighbours on one ring are rarely neighbours on the
// next.
func position(base uint64, ring int) uint64 {
	z := base + uint64(ring+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// findNeighbours finds the successor and the predecessor of this member on each
// ring. It probes the successors and gossips with both. On several random rings
// an update reaches all members in a number of hops that grows with the
// logarithm of the fleet's size, and few neighbours are in the same rack.
func (c *Core) findNeighbours() {
	c.targets = c.targets[:0]
	c.neighbours = c.neighbours[:0]
	for ring := range c.config.Rings {
		next, previous := c.ringNeighbours(c.self, ring)
		c.targets = appendUnique(c.targets, next)
		c.neighbours = appendUnique(appendUnique(c.neighbours, next), previous)
	}
	c.shuffle(c.targets)
	c.nextTarget = 0
	c.neighboursStale = false
}

// ringNeighbours returns the living members next to a member on a ring, or "" if
// there is no other.
func (c *Core) ringNeighbours(of *record, ring int) (next, previous protocol.RouterID) {
	own := position(of.hash, ring)
	var nearest, farthest uint64
	for _, m := range c.order {
		if !m.State.living() || m == of {
			continue
		}
		distance := position(m.hash, ring) - own
		if next == "" || distance < nearest {
			next, nearest = m.ID, distance
		}
		if previous == "" || distance > farthest {
			previous, farthest = m.ID, distance
		}
	}
	return next, previous
}

// monitors returns the members that probe a member, except for this one.
func (c *Core) monitors(of *record) []protocol.RouterID {
	var found []protocol.RouterID
	for ring := range c.config.Rings {
		if _, previous := c.ringNeighbours(of, ring); previous != c.config.Self {
			found = appendUnique(found, previous)
		}
	}
	return found
}

func appendUnique(ids []protocol.RouterID, id protocol.RouterID) []protocol.RouterID {
	if id == "" || slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

func (c *Core) shuffle(ids []protocol.RouterID) {
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}
