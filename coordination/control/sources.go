package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// source is a disk VM as a follower sees it.
type source struct {
	// roster is the digest of its newest roster, which lists so many upstreams.
	// merged is the digest of its last whole list, and listed the upstreams in
	// that.
	upstreams int
	roster    uint64
	merged    uint64
	listed    []protocol.UpstreamID
	fleet     uint64
	version   uint64
	recalled  bool
	routers   []Router
	diskVMs   []protocol.RouterID
	asked     time.Duration
	heard     time.Duration
	named     time.Duration
	// differs says that its roster isn't the own, and since when.
	differs      bool
	differsSince time.Duration
	everHeard    bool
	lost         bool
}

// Preferred returns the disk VM in touch that this router prefers, "" for none.
func (f *Follower) Preferred(now time.Duration) protocol.RouterID {
	for _, id := range f.byPreference() {
		if f.sources[id].inTouch(now) {
			return id
		}
	}
	return ""
}

// inTouch reports whether the disk VM has answered lately.
func (s *source) inTouch(now time.Duration) bool { return s.everHeard && now-s.heard < lostAfter }

// SetSeeds replaces the disk VMs that the settings name.
func (f *Follower) SetSeeds(now time.Duration, seeds []protocol.RouterID) {
	f.seeds = slices.Clone(seeds)
	for _, id := range seeds {
		f.Name(now, id)
	}
}

// Name notes that a disk VM is said to exist.
func (f *Follower) Name(now time.Duration, id protocol.RouterID) {
	if id == f.self {
		return
	}
	known := f.sources[id]
	if known == nil {
		known = &source{asked: now - WatchInterval}
		f.sources[id] = known
	}
	known.named = now
}

// InTouch returns how many disk VMs answered lately.
func (f *Follower) InTouch(now time.Duration) int {
	count := 0
	for _, s := range f.sources {
		if s.inTouch(now) {
			count++
		}
	}
	return count
}

// Routers returns the routers that any disk VM in touch has named, by name.
func (f *Follower) Routers(now time.Duration) []Router {
	var all []Router
	for _, s := range f.sources {
		if s.inTouch(now) {
			all = append(all, s.routers...)
		}
	}
	slices.SortFunc(all, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(all, func(a, b Router) bool { return a.ID == b.ID })
}

// DiskVMs returns the disk VMs that are asked, by name.
func (f *Follower) DiskVMs() []protocol.RouterID {
	var ids []protocol.RouterID
	for id := range f.sources {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// byPreference returns the disk VMs in this router's own order. Routers that know
// their place among all share the VMs evenly; others by chance of their names.
func (f *Follower) byPreference() []protocol.RouterID {
	ids := f.DiskVMs()
	if len(ids) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(f.self)) % uint64(len(ids)))
	if f.relay != nil && len(f.relay.others) > 0 {
		first = f.relay.position % len(ids)
	}
	return slices.Concat(ids[first:], ids[:first])
}

// takeFleet takes a disk VM's list of processes. One that can't be read leaves
// the last one in place; the VM sends it again.
func (f *Follower) takeFleet(s *source, from protocol.RouterID, fleet Fleet) {
	diskVMs, routers, err := fleet.unpack()
	if err != nil {
		f.beliefs = append(f.beliefs, Belief{What: BeliefUnreadable, About: from})
		return
	}
	s.fleet = fleet.Digest
	s.routers = routers
	s.diskVMs = diskVMs
}

// heardFrom notes that a disk VM answered.
func (f *Follower) heardFrom(now time.Duration, id protocol.RouterID) *source {
	f.Name(now, id)
	s := f.sources[id]
	if s.lost || !s.everHeard {
		f.beliefs = append(f.beliefs, Belief{What: BeliefRegained, About: id, Age: now - s.heard})
	}
	s.lost = false
	s.everHeard = true
	s.heard = now
	if !f.anyHeard {
		f.anyHeard = true
		f.firstHeard = now
	}
	return s
}

// noteLost tells of disk VMs that have fallen silent.
func (f *Follower) noteLost(now time.Duration) {
	for _, id := range f.DiskVMs() {
		s := f.sources[id]
		if s.everHeard && !s.lost && now-s.heard >= lostAfter {
			s.lost = true
			f.beliefs = append(f.beliefs, Belief{What: BeliefLost, About: id, Age: now - s.heard})
		}
	}
}

// forget drops disk VMs that neither answer nor are named.
func (f *Follower) forget(now time.Duration) {
	for id, s := range f.sources {
		silent := now-s.heard >= forgetAfter && now-s.named >= forgetAfter
		if silent && !slices.Contains(f.seeds, id) {
			delete(f.sources, id)
		}
	}
}
