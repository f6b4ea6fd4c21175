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
	// eagerInterval is how often a follower asks that has no table, or another
	// roster. A table that is accepted meanwhile is told to it at once.
	eagerInterval = 500 * time.Millisecond
	// documentPatience is how long a disk VM may take to send a table before
	// another one is asked: ten times what a whole one takes on a link of
	// 3 Mbit/s.
	documentPatience = 800 * time.Millisecond
	// neighbourInterval is how often a router without a table asks another
	// router for it.
	neighbourInterval = 150 * time.Millisecond
	// preferredPatience is how long a router waits for the disk VM that it
	// prefers to have a new table too: the next heartbeat of consensus tells
	// that VM that it is accepted.
	preferredPatience = 200 * time.Millisecond
	// lostAfter is how long a disk VM may be silent before the follower says
	// that it has lost it.
	lostAfter = 3 * WatchInterval
	// listAfter is how long a disk VM's roster may differ from the own before
	// its whole list is asked for. What it is told it sends on within some tens
	// of milliseconds, and again after 300.
	listAfter = 400 * time.Millisecond
	// listPatience is how long a disk VM may take to send a list.
	listPatience = 700 * time.Millisecond
	// forgetAfter is how long a disk VM that nobody names is asked.
	forgetAfter = 60 * time.Second
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
	routers   []protocol.RouterID
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
	// BeliefUnreadable is a list that can't be read.
	BeliefUnreadable = "list-unreadable"
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
	// whole is the change that makes the table in force from nothing, for other
	// routers, made when it is first asked for.
	whole document.Change
	// neighbourAsked is when another router was last asked, and neighbours how
	// many were.
	neighbourAsked time.Duration
	neighbours     int
	// pulledFrom and pulledAt are the disk VM that was last asked for a table.
	pulledFrom protocol.RouterID
	pulledAt   time.Duration
	pulling    bool
	// listAsked is when a whole list was last asked for, if ever.
	listAsked time.Duration
	everAsked bool
	beliefs   []Belief
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
		if now-f.sources[id].asked >= f.interval(f.sources[id]) {
			sends = append(sends, f.watch(now, id))
		}
	}
	sends = append(sends, f.askList(now)...)
	sends = append(sends, f.askNeighbour(now)...)
	return append(sends, f.pull(now)...)
}

// askNeighbour asks another router for the table, another one each time.
//
// Load: half of the routers, or all, start at once, and the disk VMs' links take
// a second and more to send a table to each. Harm prevented: each router refuses
// its callers until its turn comes. Routers have links several times as fast,
// and each that has the table can send it on.
func (f *Follower) askNeighbour(now time.Duration) []Send {
	if f.relay == nil || f.inForce != nil || len(f.relay.others) == 0 || now-f.neighbourAsked < neighbourInterval {
		return nil
	}
	f.neighbourAsked = now
	f.neighbours++
	others := f.relay.others
	at := (f.relay.position + f.neighbours*neighbourStride) % len(others)
	return []Send{{To: others[at], Body: Watch{Router: true, WantDocument: true}}}
}

// neighbourStride spreads the routers asked by one over the list, so that routers
// next to each other in it don't all ask the same.
const neighbourStride = 7

// Asked answers another router's wish for the table, if there is a newer one
// here. It goes out as the relay's link has room.
func (f *Follower) Asked(from protocol.RouterID, w Watch) {
	if f.relay == nil || f.inForce == nil || !w.WantDocument || w.Version >= f.inForce.Version {
		return
	}
	if f.whole.Result != f.inForce.Digest {
		f.whole = document.MakeChange(nil, f.inForce)
	}
	f.relay.send(from, f.whole)
}

// askList asks one disk VM for its whole list where that has differed from the own
// for a moment: changes were missed, or this process or that VM has just started.
//
// Load: all routers start at once, and each knows nothing. Harm prevented: five
// lists of three kilobytes for each of 87 routers, again with each watch until
// one gets through, on links that are full for it. A list that was merged before
// isn't asked for again: a VM that was cut off or has just started lists less
// than the others for a while.
func (f *Follower) askList(now time.Duration) []Send {
	if f.everAsked && now-f.listAsked < listPatience {
		return nil
	}
	id := f.richest(now, !f.KnowsMost(now))
	if id == "" {
		return nil
	}
	f.listAsked = now
	f.everAsked = true
	ask := f.watch(now, id)
	w := ask.Body.(Watch)
	w.WantList = true
	ask.Body = w
	return []Send{ask}
}

// richest returns the disk VM that lists the most upstreams, of those whose list
// has differed for long enough and isn't known here, "" if there is none. Among
// equals the preferred one goes first.
func (f *Follower) richest(now time.Duration, atOnce bool) protocol.RouterID {
	best := protocol.RouterID("")
	for _, id := range f.byPreference() {
		s := f.sources[id]
		inTouch := s.everHeard && now-s.heard < lostAfter
		ripe := s.differs && (atOnce || now-s.differsSince >= listAfter)
		if !inTouch || !ripe || s.roster == s.merged {
			continue
		}
		if best == "" || s.upstreams > f.sources[best].upstreams {
			best = id
		}
	}
	return best
}

// mostShare is the share of the upstreams that any disk VM lists from which a
// router may send work: with fewer, those that it knows would get the work of
// all, from every router that has just started.
const mostShare = 0.8

// KnowsMost reports whether the own roster has most of the upstreams that any
// disk VM in touch lists.
func (f *Follower) KnowsMost(now time.Duration) bool {
	most := 0
	for _, s := range f.sources {
		if s.everHeard && now-s.heard < lostAfter {
			most = max(most, s.upstreams)
		}
	}
	return float64(f.roster.Usable()) >= mostShare*float64(most)
}

// interval is how long to wait between two watches of a disk VM. One whose roster
// differs is asked sooner: either the difference was on its way, or its list is
// needed.
func (f *Follower) interval(s *source) time.Duration {
	lacksTable := f.router && f.inForce == nil
	if lacksTable || s.differs && s.roster != s.merged {
		return eagerInterval
	}
	return WatchInterval
}

// watch returns a Watch for one disk VM.
func (f *Follower) watch(now time.Duration, id protocol.RouterID) Send {
	s := f.sources[id]
	s.asked = now
	w := Watch{Router: f.router, Fleet: s.fleet}
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
	ask := f.watch(now, from)
	w := ask.Body.(Watch)
	w.WantDocument = true
	ask.Body = w
	return []Send{ask}
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
	s.roster = n.Roster
	s.upstreams = n.Upstreams
	f.agree(now, s)
	if n.Fleet != nil {
		f.takeFleet(s, from, *n.Fleet)
	}
	for _, id := range s.diskVMs {
		f.Name(now, id)
	}
	return append(f.askList(now), f.pull(now)...)
}

// agree compares a disk VM's roster with the own. For a router, what a disk VM
// lists lives.
//
// Failure: an upstream is gone for good without a word. The disk VMs forget it
// for its silence, which they can't tell others as a fact: a VM that is cut off
// hears silence from all. So a router forgets what no disk VM lists any more.
func (f *Follower) agree(now time.Duration, s *source) {
	same := s.roster == f.roster.Digest()
	if !same && !s.differs {
		s.differsSince = now
	}
	s.differs = !same
	if !f.router {
		return
	}
	if same {
		f.roster.AllListed(now)
	} else if s.roster == s.merged {
		f.roster.Listed(now, s.listed)
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

// TakeChanges merges what a disk VM was just told.
func (f *Follower) TakeChanges(now time.Duration, from protocol.RouterID, c Changes) []Send {
	f.heardFrom(now, from)
	for _, e := range c.Entries {
		f.roster.Merge(now, e)
	}
	return []Send{{To: from, Body: ChangesAck{Number: c.Number}}}
}

// TakeList merges a disk VM's whole list. One that can't be read changes nothing.
func (f *Follower) TakeList(now time.Duration, from protocol.RouterID, l List) {
	s := f.heardFrom(now, from)
	entries, err := l.unpack()
	if err != nil {
		f.beliefs = append(f.beliefs, Belief{What: BeliefUnreadable, About: from})
		return
	}
	s.roster, s.merged = l.Digest, l.Digest
	s.listed = nil
	for _, e := range entries {
		f.roster.Merge(now, e)
		if e.State != roster.Gone {
			s.listed = append(s.listed, e.ID)
		}
	}
	f.agree(now, s)
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
