package control

import (
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
	// eagerInterval is how often a follower asks that has no table, or another
	// roster. A table that is accepted meanwhile is told to it at once.
	eagerInterval = 500 * time.Millisecond
	// documentPatience is how long a disk VM may take to send a table before
	// another one is asked: far above what a whole one takes on a small VM's link.
	documentPatience = 800 * time.Millisecond
	// preferredPatience is how long a router waits for the disk VM that it
	// prefers to have a new table too: the next heartbeat of consensus tells
	// that VM that it is accepted.
	preferredPatience = 200 * time.Millisecond
	// recalledAfter is how long a router without a table waits, from the first disk VM
	// that it hears, for one that knows which table is in force, before it takes a
	// recalled one: the others answer within a few milliseconds.
	recalledAfter = 50 * time.Millisecond
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
	// BeliefRecalled is a table of before the disk VMs' start.
	BeliefRecalled = "table-recalled"
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
	// recalled says that the table in force is one that a disk VM has recalled.
	recalled bool
	// firstHeard is when the first disk VM answered, if any has.
	firstHeard time.Duration
	anyHeard   bool
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
	// askers are the routers that have asked for what this one lacks.
	askers  map[protocol.RouterID]asker
	keepers toldKeepers
	passer  namedPasser
	// knewMostAt is when this router last knew most upstreams or had to ask disk VMs
	// alone for them.
	knewMostAt time.Duration
	// lists are those packed for other routers.
	lists packedLists
	// pulledFrom and pulledAt are the disk VM that was last asked for a table.
	pulledFrom protocol.RouterID
	pulledAt   time.Duration
	pulling    bool
	// announcements is where this router takes proofs of life of the upstreams in
	// its data centre, and shared when the disk VMs were last told of them.
	announcements string
	shared        time.Duration
	forwards      forwards
	// listAsked is when a whole list was last asked for, if ever.
	listAsked time.Duration
	everAsked bool
	beliefs   []Belief
}

// NewFollower returns a follower that knows only seeds. The roster is shared
// with the caller.
func NewFollower(self protocol.RouterID, router bool, seeds []protocol.RouterID, r *roster.Roster) *Follower {
	f := &Follower{self: self, router: router, roster: r, sources: map[protocol.RouterID]*source{}, askers: map[protocol.RouterID]asker{}, lists: packedLists{wholeLife: wholeListLife}}
	f.SetSeeds(0, seeds)
	return f
}

// Beliefs returns what changed since the last call.
func (f *Follower) Beliefs() []Belief {
	beliefs := f.beliefs
	f.beliefs = nil
	return beliefs
}

// Tick returns the watches that are due.
func (f *Follower) Tick(now time.Duration) []Send {
	f.forget(now)
	f.noteLost(now)
	f.answerAskers(now)
	if !f.lacksUpstreams(now) {
		f.knewMostAt = now
	}
	var sends []Send
	for _, id := range f.DiskVMs() {
		if now-f.sources[id].asked >= f.interval(f.sources[id]) {
			sends = append(sends, f.watch(now, id, Watch{}))
		}
	}
	sends = append(sends, f.askList(now)...)
	sends = append(sends, f.askNeighbour(now)...)
	sends = append(sends, f.share(now)...)
	sends = append(sends, f.sendForwards(now)...)
	return append(sends, f.pull(now)...)
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

// watch returns a Watch for one disk VM, with what is wanted of it set.
func (f *Follower) watch(now time.Duration, id protocol.RouterID, w Watch) Send {
	s := f.sources[id]
	s.asked = now
	w.Router = f.router
	w.WantKeepers = f.router && s.inTouch(now) && f.keepers.ask(now)
	w.Announcements = f.announcements
	if f.relay != nil {
		w.DataCentre = f.relay.self.DataCentre
		w.Relays = len(f.relay.receivers) > 0
	}
	w.Fleet = s.fleet
	if f.inForce != nil {
		w.Version = f.inForce.Version
		w.Digest = f.inForce.Digest
	}
	return Send{To: id, Body: w}
}

// TakeNews takes a disk VM's News.
func (f *Follower) TakeNews(now time.Duration, from protocol.RouterID, n News) []Send {
	s := f.heardFrom(now, from)
	s.version, s.recalled = n.Version, n.Recalled
	f.confirm(from, s)
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
	sends := append(f.askList(now), f.pull(now)...)
	if n.Ask != "" {
		f.passer = namedPasser{id: n.Ask, at: now}
		sends = append(sends, f.askPasser(now))
	}
	return sends
}
