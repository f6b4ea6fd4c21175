package control

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// listMergeCost is the minimum time between two merges of the lists of routers, for
	// each router listed. While a fleet starts, each disk VM's list changes several
	// times a second.
	listMergeCost = 500 * time.Microsecond
	// maxListMergeInterval bounds that time: relays and retry budgets follow the list.
	maxListMergeInterval = time.Second
)

// routerList is the union of the lists of routers that live disk VMs sent. It is merged
// again only after one of them has changed, because the router looks at it with every
// tick.
type routerList struct {
	routers []Router
	// revision counts the changes of routers.
	revision uint64
	// digests identify the lists that it was merged from, and mergedAt is when.
	digests  []uint64
	mergedAt time.Duration
}

// Routers returns the routers that live disk VMs name, sorted by ID, and a number that
// changes with the list. The caller must not modify the list. A list of hundreds may be
// some tenths of a second old.
func (f *Follower) Routers(now time.Duration) (routers []Router, revision uint64) {
	l := &f.routerList
	lists, digests := f.liveLists(now)
	interval := min(time.Duration(len(l.routers))*listMergeCost, maxListMergeInterval)
	if slices.Equal(digests, l.digests) || len(l.routers) > 0 && now-l.mergedAt < interval {
		return l.routers, l.revision
	}
	l.digests, l.mergedAt = digests, now
	if merged := mergeRouters(lists); !slices.Equal(merged, l.routers) {
		l.routers = merged
		l.revision++
	}
	return l.routers, l.revision
}

// liveLists returns the different lists of routers of the live disk VMs, and their
// digests in ascending order.
func (f *Follower) liveLists(now time.Duration) (lists [][]Router, digests []uint64) {
	for _, s := range f.sources {
		if s.fleet == 0 || !s.alive(now) || slices.Contains(digests, s.fleet) {
			continue
		}
		digests = append(digests, s.fleet)
		lists = append(lists, s.routers)
	}
	slices.Sort(digests)
	return lists, digests
}

// NamedDiskVMs returns the disk VMs that live disk VMs name as members, sorted, none if there is no
// list yet.
func (f *Follower) NamedDiskVMs(now time.Duration) []protocol.RouterID {
	var named []protocol.RouterID
	for _, s := range f.sources {
		if s.alive(now) {
			named = append(named, s.diskVMs...)
		}
	}
	slices.Sort(named)
	return slices.Compact(named)
}

// mergeRouters merges lists that are sorted by ID.
func mergeRouters(lists [][]Router) []Router {
	var merged []Router
	for _, list := range lists {
		merged = mergeTwo(merged, list)
	}
	return merged
}

// mergeTwo merges two lists that are sorted by ID. Of two entries for one router it keeps
// the first list's.
func mergeTwo(a, b []Router) []Router {
	merged := make([]Router, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch order := cmp.Compare(a[0].ID, b[0].ID); {
		case order < 0:
			merged, a = append(merged, a[0]), a[1:]
		case order > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged, a, b = append(merged, a[0]), a[1:], b[1:]
		}
	}
	return slices.Concat(merged, a, b)
}

// takeFleet stores a disk VM's list of processes. If it can't be read, the last one
// stays, and the VM sends it again. Disk VMs that list the same processes share one copy.
func (f *Follower) takeFleet(s *source, from protocol.RouterID, fleet Fleet) {
	for _, other := range f.sources {
		if other.fleet == fleet.Digest {
			s.fleet, s.routers, s.diskVMs = other.fleet, other.routers, other.diskVMs
			return
		}
	}
	diskVMs, routers, err := fleet.unpack()
	if err != nil {
		f.events = append(f.events, Event{Kind: EventListUnreadable, Peer: from})
		return
	}
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	s.fleet = fleet.Digest
	s.routers = routers
	s.diskVMs = diskVMs
}
