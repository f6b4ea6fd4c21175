package control

import (
	"slices"
	"time"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// WatchInterval is how often a follower asks each disk VM. An upstream's
	// change that was lost on the way is known that late; upstreams that leave
	// must be known within two seconds.
	WatchInterval = time.Second
	// eagerInterval is how often a follower without a table asks.
	eagerInterval = 200 * time.Millisecond
	// documentPatience is how long a disk VM may take to send a table before
	// another one is asked: ten times what a whole one takes on a link of
	// 3 Mbit/s.
	documentPatience = 400 * time.Millisecond
	// lostAfter is how long a disk VM may be silent before the follower says
	// that it has lost it.
	lostAfter = 3 * WatchInterval
	// relistInterval is how often a router has one disk VM list all upstreams,
	// so that it can forget those that none lists any more. 94 of them are
	// 14 KB, for 87 routers a fifteenth of what five links of 3 Mbit/s carry.
	relistInterval = 10 * time.Second
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
	// pulledFrom and pulledAt are the disk VM that was last asked for a table.
	pulledFrom protocol.RouterID
	pulledAt   time.Duration
	pulling    bool
	relisted   time.Duration
	beliefs    []Belief
}

// NewFollower returns a follower that knows only seeds. The roster is shared
// with the caller.
func NewFollower(self protocol.RouterID, router bool, seeds []protocol.RouterID, r *roster.Roster) *Follower {
	f := &Follower{self: self, router: router, roster: r, sources: map[protocol.RouterID]*source{}}
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

// relist asks one disk VM, another each time, for its whole list.
//
// Failure: an upstream is gone for good without a word. The disk VMs forget it
// for its silence, which they can't tell others as a fact: a VM that is cut off
// hears silence from all. So a router forgets what no disk VM lists any more,
// and to know that it has to see whole lists.
func (f *Follower) relist(now time.Duration) []Send {
	if !f.router || now-f.relisted < relistInterval {
		return nil
	}
	f.relisted = now
	ids := slices.DeleteFunc(f.DiskVMs(), func(id protocol.RouterID) bool {
		s := f.sources[id]
		return !s.everHeard || now-s.heard >= lostAfter
	})
	if len(ids) == 0 {
		return nil
	}
	id := ids[int(now/relistInterval)%len(ids)]
	f.sources[id].incarnation = 0
	return []Send{f.watch(now, id, false)}
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
		Incarnation: s.incarnation, Revision: s.revision, Fleet: s.fleet,
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
	if !f.router || f.pulling && now-f.pulledAt < documentPatience {
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

// best returns the disk VM to ask for a table: of those with the newest one,
// the one heard of last, but not the one that has just failed to send it.
func (f *Follower) best(now time.Duration) protocol.RouterID {
	own := uint64(0)
	if f.inForce != nil {
		own = f.inForce.Version
	}
	best, second := protocol.RouterID(""), protocol.RouterID("")
	for _, id := range f.DiskVMs() {
		s := f.sources[id]
		if s.version <= own || now-s.heard >= lostAfter {
			continue
		}
		if f.pulling && id == f.pulledFrom {
			second = id
			continue
		}
		if best == "" || f.fresher(id, best) {
			best = id
		}
	}
	if best == "" {
		return second
	}
	return best
}

// fresher reports whether to rather ask a than b.
func (f *Follower) fresher(a, b protocol.RouterID) bool {
	left, right := f.sources[a], f.sources[b]
	if left.version != right.version {
		return left.version > right.version
	}
	return left.heard > right.heard
}

// TakeNews takes a disk VM's News.
func (f *Follower) TakeNews(now time.Duration, from protocol.RouterID, n News) []Send {
	s := f.heardFrom(now, from)
	s.version = n.Version
	if n.Fleet != nil {
		s.fleet = n.Fleet.Digest
		s.routers = n.Fleet.Routers
		s.diskVMs = n.Fleet.DiskVMs
	}
	for _, id := range s.diskVMs {
		f.Name(now, id)
	}
	return f.pull(now)
}

// TakeRoster merges a disk VM's entries. It reports whether the roster changed
// in a way that matters to routers.
func (f *Follower) TakeRoster(now time.Duration, from protocol.RouterID, r Roster) bool {
	s := f.heardFrom(now, from)
	changed := false
	for _, e := range r.Entries {
		changed = f.roster.Merge(now, e) || changed
	}
	if r.Revision > 0 || r.Incarnation != s.incarnation {
		s.incarnation = r.Incarnation
		s.revision = r.Revision
	}
	return changed
}

// TakeDocument takes a table. accept says whether the router can use it; one
// that it can't is not asked for again. It reports whether a newer table is in
// force.
func (f *Follower) TakeDocument(now time.Duration, from protocol.RouterID, d Document, accept func(*document.Document) error) ([]Send, bool) {
	f.heardFrom(now, from)
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
