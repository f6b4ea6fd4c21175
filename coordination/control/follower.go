package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// WatchInterval is how often a follower asks each disk VM. An upstream's
	// change that was lost on the way is known that late; upstreams that leave
	// must be known within two seconds.
	WatchInterval = time.Second
	// eagerInterval is how often a follower without a table asks. A table that
	// is accepted meanwhile is told to it at once.
	eagerInterval = 500 * time.Millisecond
	// documentPatience is how long a disk VM may take to send a table before
	// another one is asked: ten times what a whole one takes on a link of
	// 3 Mbit/s.
	documentPatience = 800 * time.Millisecond
	// preferredPatience is how long a router waits for the disk VM that it
	// prefers to have a new table too: the next heartbeat of consensus tells
	// that VM that it is accepted.
	preferredPatience = 200 * time.Millisecond
	// lostAfter is how long a disk VM may be silent before the follower says
	// that it has lost it.
	lostAfter = 3 * WatchInterval
	// relistAfter is how long a router's list of upstreams may differ from
	// those of all disk VMs before it asks for a whole list. Differences that
	// come from a change are gone with the next watch.
	relistAfter = 10 * time.Second
	// relistSpread spreads the whole lists that many routers ask for after the
	// same event: 94 upstreams are 14 KB, which 87 routers would ask for at
	// once.
	relistSpread = 10 * time.Second
	// forgetAfter is how long a disk VM that nobody names is asked.
	forgetAfter = 60 * time.Second
)

// source is a disk VM as a follower sees it.
type source struct {
	incarnation uint64
	revision    uint64
	fleet       uint64
	version     uint64
	routers     []protocol.RouterID
	diskVMs     []protocol.RouterID
	asked       time.Duration
	heard       time.Duration
	named       time.Duration
	everHeard   bool
	lost        bool
}

// Belief is a change of what a follower believes, for the log.
type Belief struct {
	// What is one of the Belief constants.
	What string
	// About names the disk VM.
	About protocol.RouterID
	// Version is the table's, where one is concerned.
	Version uint64
	// Age is how long the disk VM was silent.
	Age time.Duration
}

// The beliefs of a follower.
const (
	BeliefLost     = "disk-vm-lost"
	BeliefRegained = "disk-vm-regained"
	BeliefTable    = "table-in-force"
	BeliefRefused  = "table-refused"
	// BeliefUnreadable is a message that can't be read.
	BeliefUnreadable = "fleet-unreadable"
)

// Follower is the router's side, and also that of a disk VM towards the others,
// which follows their rosters alone. It is not safe for concurrent use.
type Follower struct {
	self    protocol.RouterID
	router  bool
	roster  *roster.Roster
	sources map[protocol.RouterID]*source
	seeds   []protocol.RouterID
	inForce *document.Document
	// newest is the highest version told by any disk VM, newestAt when it was
	// first told, and newestBytes the size of the change that made it.
	newest      uint64
	newestAt    time.Duration
	newestBytes int
	relay       *Relay
	// pulledFrom and pulledAt are the disk VM that was last asked for a table.
	pulledFrom protocol.RouterID
	pulledAt   time.Duration
	pulling    bool
	// agreed is when a disk VM last listed the same upstreams, or when a whole
	// list was asked for.
	agreed      time.Duration
	relistDelay time.Duration
	beliefs     []Belief
}

// NewFollower returns a follower that knows only seeds. The roster is shared
// with the caller.
func NewFollower(self protocol.RouterID, router bool, seeds []protocol.RouterID, r *roster.Roster) *Follower {
	f := &Follower{self: self, router: router, roster: r, sources: map[protocol.RouterID]*source{}}
	f.relistDelay = relistAfter + time.Duration(xxhash.Sum64String(string(self))%uint64(relistSpread))
	f.SetSeeds(0, seeds)
	return f
}

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

// InForce returns the table in force, nil if none is known.
func (f *Follower) InForce() *document.Document { return f.inForce }

// Beliefs returns what changed since the last call.
func (f *Follower) Beliefs() []Belief {
	beliefs := f.beliefs
	f.beliefs = nil
	return beliefs
}

// InTouch returns how many disk VMs answered lately.
func (f *Follower) InTouch(now time.Duration) int {
	count := 0
	for _, s := range f.sources {
		if s.everHeard && now-s.heard < lostAfter {
			count++
		}
	}
	return count
}

// Routers returns the routers that any disk VM in touch has named.
func (f *Follower) Routers(now time.Duration) []protocol.RouterID {
	var all []protocol.RouterID
	for _, s := range f.sources {
		if s.everHeard && now-s.heard < lostAfter {
			all = append(all, s.routers...)
		}
	}
	sortRouters(all)
	return slices.Compact(all)
}

// DiskVMs returns the disk VMs that are asked, by name.
func (f *Follower) DiskVMs() []protocol.RouterID {
	var ids []protocol.RouterID
	for id := range f.sources {
		ids = append(ids, id)
	}
	sortRouters(ids)
	return ids
}

// Tick returns the watches that are due.
func (f *Follower) Tick(now time.Duration) []Send {
	f.forget(now)
	f.noteLost(now)
	var sends []Send
	for _, id := range f.DiskVMs() {
		if now-f.sources[id].asked >= f.interval() {
			sends = append(sends, f.watch(now, id, false))
		}
	}
	sends = append(sends, f.relist(now)...)
	return append(sends, f.pull(now)...)
}

// relist asks a disk VM for its whole list where the own has differed from all
// for long.
//
// Failure: an upstream is gone for good without a word. The disk VMs forget it
// for its silence, which they can't tell others as a fact: a VM that is cut off
// hears silence from all. So a router forgets what no disk VM lists any more.
// That shows as a digest that differs, and then in a whole list, where the
// number of its newest announcement shows that an upstream lives.
func (f *Follower) relist(now time.Duration) []Send {
	if !f.router || now-f.agreed < f.relistDelay {
		return nil
	}
	f.agreed = now
	for _, id := range f.byPreference() {
		s := f.sources[id]
		if s.everHeard && now-s.heard < lostAfter {
			s.incarnation = 0
			return []Send{f.watch(now, id, false)}
		}
	}
	return nil
}

// interval is how long to wait between two watches.
func (f *Follower) interval() time.Duration {
	if f.router && f.inForce == nil {
		return eagerInterval
	}
	return WatchInterval
}

// watch returns a Watch for one disk VM.
func (f *Follower) watch(now time.Duration, id protocol.RouterID, wantDocument bool) Send {
	s := f.sources[id]
	s.asked = now
	w := Watch{
		Router: f.router, WantDocument: wantDocument,
		Incarnation: s.incarnation, Revision: s.revision, Roster: f.roster.Digest(), Fleet: s.fleet,
	}
	if f.inForce != nil {
		w.Version = f.inForce.Version
		w.Digest = f.inForce.Digest
	}
	return Send{To: id, Body: w}
}

// pull asks one disk VM for the newest table, if a newer one than the own is
// known and nobody was asked a moment ago.
func (f *Follower) pull(now time.Duration) []Send {
	if !f.router || f.pulling && now-f.pulledAt < documentPatience || f.relayed(now) {
		return nil
	}
	from := f.best(now)
	if from == "" {
		f.pulling = false
		return nil
	}
	f.pulling = true
	f.pulledFrom = from
	f.pulledAt = now
	return []Send{f.watch(now, from, true)}
}

// SetRelay makes large tables go from router to router.
func (f *Follower) SetRelay(r *Relay) { f.relay = r }

// relayed reports whether another router will pass the newest table on to this
// one. A router without a table starts anew and asks a disk VM.
func (f *Follower) relayed(now time.Duration) bool {
	return f.relay != nil && f.relay.waits && f.inForce != nil && f.newest > f.version() &&
		f.newestBytes >= largeChange && now-f.newestAt < relayPatience
}

// best returns the disk VM to ask for a table, "" for none now. Each router
// prefers another VM; if all asked the one that told them first, the leader's
// link would be full, and it would be missed by the others.
func (f *Follower) best(now time.Duration) protocol.RouterID {
	var preferred, having protocol.RouterID
	for _, id := range f.byPreference() {
		s := f.sources[id]
		if now-s.heard >= lostAfter || !s.everHeard {
			continue
		}
		if f.pulling && id == f.pulledFrom {
			continue
		}
		if preferred == "" {
			preferred = id
		}
		if having == "" && s.version > f.version() {
			having = id
		}
	}
	if having == preferred || now-f.newestAt >= preferredPatience {
		return having
	}
	return ""
}

// version is that of the table in force, 0 for none.
func (f *Follower) version() uint64 {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Version
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

// TakeNews takes a disk VM's News.
func (f *Follower) TakeNews(now time.Duration, from protocol.RouterID, n News) []Send {
	s := f.heardFrom(now, from)
	s.version = n.Version
	if n.Version > f.newest {
		f.newest = n.Version
		f.newestAt = now
		f.newestBytes = n.Bytes
	}
	if n.Incarnation != 0 && n.Incarnation == s.incarnation {
		s.revision = n.Revision
		f.agree(now)
	}
	if n.Fleet != nil {
		f.takeFleet(s, from, *n.Fleet)
	}
	for _, id := range s.diskVMs {
		f.Name(now, id)
	}
	return f.pull(now)
}

// agree notes that a disk VM lists the same upstreams.
func (f *Follower) agree(now time.Duration) {
	f.agreed = now
	if f.router {
		f.roster.AllListed(now)
	}
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

// TakeRoster merges a disk VM's entries. It reports whether the roster changed
// in a way that matters to routers.
func (f *Follower) TakeRoster(now time.Duration, from protocol.RouterID, r Roster) bool {
	s := f.heardFrom(now, from)
	changed := false
	for _, e := range r.Entries {
		changed = f.roster.Merge(now, e) || changed
	}
	if r.Incarnation != 0 {
		s.incarnation = r.Incarnation
		s.revision = r.Revision
	}
	return changed
}

// TakeDocument takes a table, from a disk VM or a router. accept says whether the router can use it; one
// that it can't is not asked for again. It reports whether a newer table is in
// force.
func (f *Follower) TakeDocument(now time.Duration, from protocol.RouterID, d Document, accept func(*document.Document) error) ([]Send, bool) {
	if f.sources[from] != nil {
		f.heardFrom(now, from)
	}
	if f.inForce != nil && d.Change.Version <= f.inForce.Version {
		return nil, false
	}
	next, err := d.Change.Apply(f.inForce)
	if err != nil {
		f.pulling = false
		return f.pull(now), false
	}
	if err := accept(next); err != nil {
		f.beliefs = append(f.beliefs, Belief{What: BeliefRefused, About: from, Version: next.Version})
		return nil, false
	}
	f.inForce = next
	f.pulling = false
	if f.relay != nil {
		f.relay.Accepted(d.Change)
	}
	f.beliefs = append(f.beliefs, Belief{What: BeliefTable, About: from, Version: next.Version})
	return f.pull(now), true
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
