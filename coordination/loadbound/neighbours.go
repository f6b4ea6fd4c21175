package loadbound

import "endiveplank/protocol"

// MeshLimit is the largest number of routers that exchange summaries with each
// other directly; larger fleets use a tree. Each of nine routers in a mesh
// sends 32 messages a second with 768 bytes of summaries; a larger mesh would
// exceed the control budget of 3 KB/s once framing is counted.
const MeshLimit = 9

// TreeArity is the largest number of children of a router in the exchange tree.
// A router with four children and a parent sends 20 messages a second at
// ExchangePeriod, and 330 routers are within four levels of the root.
const TreeArity = 4

// Neighbours returns the routers with which self exchanges summaries, and
// whether messages include the summaries of other neighbours. Members must be
// sorted and contain self; all routers with the same membership build the same
// tree. While the memberships of routers differ, they may miss an owner, which
// understates the mean, or count it twice along two paths, which Receive can't
// detect; so every change of membership must be followed by RemoveNeighbour for
// every former neighbour.
func Neighbours(self protocol.RouterID, members []protocol.RouterID) (peers []protocol.RouterID, relay bool) {
	if len(members) <= MeshLimit {
		for _, m := range members {
			if m != self {
				peers = append(peers, m)
			}
		}
		return peers, false
	}
	for rank, m := range members {
		if m == self {
			return treePeers(rank, members), true
		}
	}
	return nil, true
}

// treePeers returns the parent and children of the member at index rank. The
// tree is laid out as in a heap array.
func treePeers(rank int, members []protocol.RouterID) []protocol.RouterID {
	peers := make([]protocol.RouterID, 0, TreeArity+1)
	if rank > 0 {
		peers = append(peers, members[(rank-1)/TreeArity])
	}
	first := rank*TreeArity + 1
	for child := first; child < min(first+TreeArity, len(members)); child++ {
		peers = append(peers, members[child])
	}
	return peers
}
