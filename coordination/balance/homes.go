package balance

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// rendezvousHome returns the upstream that a prompt's beginning belongs to by
// hashing alone, "" if there is none.
func (b *Book) rendezvousHome(now time.Duration, service protocol.Service, key uint64) protocol.UpstreamID {
	list, _ := b.usable(now, Request{Service: service})
	best := protocol.UpstreamID("")
	highest := uint64(0)
	for _, u := range list {
		if r := mix(rank(key, u.entry.ID)); best == "" || r > highest {
			best, highest = u.entry.ID, r
		}
	}
	return best
}

// RendezvousHomes returns up to n homes of a key by hashing alone, for when
// nobody can be asked.
func (b *Book) RendezvousHomes(now time.Duration, service protocol.Service, key uint64, n int) []protocol.UpstreamID {
	list, _ := b.usable(now, Request{Service: service})
	list = slices.Clone(list)
	slices.SortFunc(list, func(x, y *upstream) int {
		left, right := mix(rank(key, x.entry.ID)), mix(rank(key, y.entry.ID))
		switch {
		case left > right:
			return -1
		case left < right:
			return 1
		}
		return 0
	})
	var homes []protocol.UpstreamID
	for _, u := range list[:min(n, len(list))] {
		homes = append(homes, u.entry.ID)
	}
	return homes
}
