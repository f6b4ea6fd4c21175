package loadbound

import "endiveplank/protocol"

// MeshLimit is the most routers that exchange summaries with each other
// directly; above it they use a tree. Nine routers in a mesh send 32 messages
// a second each, 768 bytes of summaries; a larger mesh would leave the
// control budget of 3 KB/s once framing is counted.
const MeshLimit = 9

// TreeArity is the most children of a router in the exchange tree. Four
// children and a parent make 20 messages a second at ExchangePeriod, and
// bring 330 routers within four levels of the root.
const TreeArity = 4

// Neighbours returns with whom self exchanges summaries and whether messages
// relay what other neighbours said. Members must be sorted and hold self; all
// routers with the same membership build the same tree. Routers whose views
// differ for a while may count an owner not at all, which understates the
// mean, or twice along two paths, which Receive cannot see; membership
// changes must therefore be followed by Forget for every former neighbour.
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

// treePeers returns the parent and children of one rank in a heap-shaped
// tree.
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
