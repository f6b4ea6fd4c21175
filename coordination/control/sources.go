package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// source is a follower's record of a disk VM.
type source struct {
	// roster is the digest of the VM's newest roster, and upstreams how many it lists.
	// merged is the digest of the VM's last list that was merged here, and listed the
	// upstreams in that list, which were last noted as listed at refreshedAt.
	upstreams   int
	roster      uint64
	merged      uint64
	listed      []protocol.UpstreamID
	refreshedAt time.Duration
	// fleet is the digest of the last list of processes that the VM sent. The list named
	// routers and diskVMs.
	fleet uint64
	// version is the version of the VM's table, and restored its Status.Restored.
	version  uint64
	restored bool
	routers  []Router
	diskVMs  []protocol.RouterID
	// quarantines is the digest of what the VM has quarantined, and sentQuarantines which list
	// it was sent.
	quarantines     uint64
	sentQuarantines sentQuarantines
	// askedAt is when the VM was last sent a Watch, heardAt when it last answered, if
	// everHeard, and namedAt when it was last named.
	askedAt time.Duration
	heardAt time.Duration
	namedAt time.Duration
	// differs says that the VM's roster differs from the follower's, since differsSince.
	differs      bool
	differsSince time.Duration
	everHeard    bool
	lost         bool
}

// Preferred returns the live disk VM that this router prefers, "" if none is alive.
func (f *Follower) Preferred(now time.Duration) protocol.RouterID {
	for _, id := range f.byPreference() {
		if f.sources[id].alive(now) {
			return id
		}
	}
	return ""
}

// alive reports whether the disk VM has answered lately.
func (s *source) alive(now time.Duration) bool { return s.everHeard && now-s.heardAt < lostAfter }

// SetSeeds replaces the disk VMs that the settings name.
func (f *Follower) SetSeeds(now time.Duration, seeds []protocol.RouterID) {
	f.seeds = slices.Clone(seeds)
	for _, id := range seeds {
		f.NoteDiskVM(now, id)
	}
}

// NoteDiskVM records that the settings, another VM or consensus names a disk VM.
func (f *Follower) NoteDiskVM(now time.Duration, id protocol.RouterID) {
	if id == f.self {
		return
	}
	known := f.sources[id]
	if known == nil {
		known = &source{askedAt: now - WatchInterval}
		f.sources[id] = known
		f.diskVMs = nil
	}
	known.namedAt = now
}

// AliveDiskVMs returns how many disk VMs answered lately.
func (f *Follower) AliveDiskVMs(now time.Duration) int {
	count := 0
	for _, s := range f.sources {
		if s.alive(now) {
			count++
		}
	}
	return count
}

// KnowsAllDiskVMs reports whether all disk VMs that this follower asks have answered
// lately.
func (f *Follower) KnowsAllDiskVMs(now time.Duration) bool {
	return f.AliveDiskVMs(now) == len(f.sources)
}

// KnowsRouters reports whether any live disk VM has sent a list of routers.
func (f *Follower) KnowsRouters(now time.Duration) bool {
	for _, s := range f.sources {
		if s.alive(now) && s.fleet != 0 {
			return true
		}
	}
	return false
}

// DiskVMs returns the disk VMs that this follower asks, sorted by ID. The caller must not
// modify the list.
func (f *Follower) DiskVMs() []protocol.RouterID {
	if len(f.diskVMs) != len(f.sources) {
		f.diskVMs = slices.Sorted(maps.Keys(f.sources))
	}
	return f.diskVMs
}

// byPreference returns the disk VMs in this router's order of preference. Routers that
// know their place among all routers are spread evenly over the VMs; others choose their
// first VM by a hash of their ID.
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

// heardFrom notes that a disk VM answered, and returns its record.
func (f *Follower) heardFrom(now time.Duration, id protocol.RouterID) *source {
	f.NoteDiskVM(now, id)
	s := f.sources[id]
	if s.lost || !s.everHeard {
		f.events = append(f.events, Event{Kind: EventDiskVMRegained, Peer: id, Age: now - s.heardAt})
	}
	s.lost = false
	s.everHeard = true
	s.heardAt = now
	if !f.anyHeard {
		f.anyHeard = true
		f.firstHeard = now
	}
	return s
}

// detectLost records an event for each disk VM that has fallen silent.
func (f *Follower) detectLost(now time.Duration) {
	for _, id := range f.DiskVMs() {
		s := f.sources[id]
		if s.everHeard && !s.lost && now-s.heardAt >= lostAfter {
			s.lost = true
			f.events = append(f.events, Event{Kind: EventDiskVMLost, Peer: id, Age: now - s.heardAt})
		}
	}
}

// forget drops disk VMs that neither answer nor are named.
func (f *Follower) forget(now time.Duration) {
	for id, s := range f.sources {
		silent := now-s.heardAt >= forgetAfter && now-s.namedAt >= forgetAfter
		if silent && !slices.Contains(f.seeds, id) {
			delete(f.sources, id)
			f.diskVMs = nil
		}
	}
}
