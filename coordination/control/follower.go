package control

import (
	"time"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// WatchInterval is how often a follower sends a Watch to each disk VM. If the
	// message with a change of an upstream is lost, the follower may learn of the change
	// that much later. Routers must know within two seconds that an upstream leaves.
	WatchInterval = time.Second
	// fastWatchInterval is the interval for a follower that has no table, or whose
	// roster differs from the disk VM's. If a table is accepted meanwhile, the disk VMs
	// announce it at once.
	fastWatchInterval = 500 * time.Millisecond
	// documentTimeout is how long a disk VM may take to send a table before the router
	// asks another one. A whole table takes far less on a small VM's link.
	documentTimeout = 800 * time.Millisecond
	// preferredWait is how long a router waits until the disk VM that it prefers has a
	// new table too. That VM learns with the next heartbeat of consensus that the table
	// is accepted.
	preferredWait = 200 * time.Millisecond
	// restoredTableDelay is how long a router without a table waits, from the first
	// message of any disk VM, for a disk VM that knows which table is in force, before
	// it takes a restored one. The other disk VMs answer within a few milliseconds.
	restoredTableDelay = 50 * time.Millisecond
	// lostAfter is how long a disk VM may be silent before the follower reports it as
	// lost.
	lostAfter = 3 * WatchInterval
	// listDelay is how long a disk VM's roster may differ from the follower's before the
	// follower asks for the list. A disk VM pushes a change that it learns within some
	// tens of milliseconds, and again after 300.
	listDelay = 400 * time.Millisecond
	// listTimeout is how long a disk VM may take to send a list.
	listTimeout = 700 * time.Millisecond
	// forgetAfter is how long a follower goes on asking a silent disk VM that no other
	// disk VM names.
	forgetAfter = 60 * time.Second
)

// Event is a change in a follower's view of the disk VMs and the table, for the log.
type Event struct {
	// Kind is one of the Event constants.
	Kind string
	// Peer is the disk VM, or the router that sent a table or list.
	Peer protocol.RouterID
	// Version is the version of the table, if the event concerns one.
	Version uint64
	// Age is how long the disk VM was silent.
	Age time.Duration
	// Quarantine is what is quarantined, of EventQuarantined.
	Quarantine crashes.Quarantine
	// DataCentre is the data centre that an evacuation order is for. Version is the
	// order's revision then.
	DataCentre protocol.DataCentre
}

// The kinds of events.
const (
	EventDiskVMLost     = "disk-vm-lost"
	EventDiskVMRegained = "disk-vm-regained"
	EventTableInForce   = "table-in-force"
	// EventTableRestored says that the follower uses a table from before the disk VMs
	// restarted.
	EventTableRestored = "table-recalled"
	// EventTableRefused says that the router can't use a new table.
	EventTableRefused = "table-refused"
	// EventListUnreadable says that a list of upstreams or of processes, or a message
	// with changes, was damaged.
	EventListUnreadable = "list-unreadable"
	// EventEvacuated says that a data centre is evacuated, and EventEvacuationWithdrawn
	// that it is taken back.
	EventEvacuated = "evacuated"
	// EventQuarantined says that another process has quarantined something.
	EventQuarantined         = "quarantined"
	EventEvacuationWithdrawn = "evacuation-withdrawn"
)

// Follower is the router's side of the protocol. A disk VM has one too, which follows
// the rosters of the other disk VMs and nothing else. A Follower is not safe for
// concurrent use.
type Follower struct {
	self    protocol.RouterID
	router  bool
	roster  *roster.Roster
	sources map[protocol.RouterID]*source
	// diskVMs are the IDs of the sources, sorted, nil if they have to be sorted again.
	diskVMs []protocol.RouterID
	seeds   []protocol.RouterID
	inForce *document.Document
	// restored says that inForce is a table that a disk VM restored and no quorum has
	// confirmed.
	restored bool
	// firstHeard is when the first disk VM answered, if anyHeard.
	firstHeard time.Duration
	anyHeard   bool
	// newest is the highest version that any disk VM announced, newestAt when the
	// follower first received it, and newestBytes the size of the change that made it.
	newest      uint64
	newestAt    time.Duration
	newestBytes int
	relay       *Relay
	evacuations evacuation.Set
	quarantines *crashes.List
	// fullChange is the change that makes the table in force from nothing. It is sent to
	// other routers and made when one first asks for it.
	fullChange document.Change
	// peerAskedAt is when this router last asked another one, or when the time of its
	// referral to answer ends, and tableAskedAt when it asked one for the table.
	// peersAsked counts the requests to others than referrals.
	peerAskedAt  time.Duration
	tableAskedAt time.Duration
	peersAsked   int
	// peerRequests holds the requests of other routers for what this one lacks too.
	peerRequests map[protocol.RouterID]peerRequest
	holders      knownHolders
	referral     namedReferral
	// knewMostAt is when this router last knew most upstreams, or had no relay to get
	// them from.
	knewMostAt time.Duration
	routerList routerList
	// lists holds the lists that were packed for other routers.
	lists packedLists
	// pulledFrom is the disk VM that was last asked for a table, and pulledAt when.
	// pulling says that this table is still awaited.
	pulledFrom protocol.RouterID
	pulledAt   time.Duration
	pulling    bool
	// announceAddress is where this router takes heartbeats of the upstreams in its data
	// centre. heartbeatsSentAt is when it last sent them to the disk VMs.
	announceAddress  string
	heartbeatsSentAt time.Duration
	forwardBatch     forwardBatch
	// leaveTime is the time within which this follower must know that an upstream leaves.
	leaveTime time.Duration
	// listAsked is when the follower last asked for a list, if everAsked.
	listAsked time.Duration
	everAsked bool
	// mergedAt is when it last merged a list, if everMerged.
	mergedAt   time.Duration
	everMerged bool
	events     []Event
}

// NewFollower returns a follower that knows only the seeds. It shares the roster with
// the caller.
func NewFollower(self protocol.RouterID, router bool, seeds []protocol.RouterID, r *roster.Roster) *Follower {
	f := &Follower{self: self, router: router, roster: r, sources: map[protocol.RouterID]*source{}, peerRequests: map[protocol.RouterID]peerRequest{}, lists: packedLists{minLifetime: minWholeListLifetime}, quarantines: crashes.NewList()}
	f.SetSeeds(0, seeds)
	return f
}

// Events returns the events since the last call.
func (f *Follower) Events() []Event {
	events := f.events
	f.events = nil
	return events
}

// Tick returns the messages that are due.
func (f *Follower) Tick(now time.Duration) []Message {
	f.forget(now)
	f.detectLost(now)
	f.answerPeerRequests(now)
	if !f.lacksUpstreams(now) {
		f.knewMostAt = now
	}
	var messages []Message
	for _, id := range f.DiskVMs() {
		if now-f.sources[id].askedAt >= f.interval(f.sources[id]) {
			messages = append(messages, f.watch(now, id, Watch{}))
		}
	}
	messages = append(messages, f.askList(now)...)
	messages = append(messages, f.askPeer(now)...)
	messages = append(messages, f.sendHeartbeats(now)...)
	messages = append(messages, f.sendForwards(now)...)
	return append(messages, f.pull(now)...)
}

// interval returns the time between two Watches to a disk VM. It is shorter if the disk
// VM's roster differs from the follower's: either the difference is on its way, or the
// follower needs the list.
func (f *Follower) interval(s *source) time.Duration {
	lacksTable := f.router && f.inForce == nil
	if lacksTable || s.differs && s.roster != s.merged {
		return fastWatchInterval
	}
	return WatchInterval
}

// watch fills in a Watch for a disk VM. The caller has set what it wants from that VM.
func (f *Follower) watch(now time.Duration, id protocol.RouterID, w Watch) Message {
	s := f.sources[id]
	s.askedAt = now
	w.Router = f.router
	w.WantCacheHolders = f.router && s.alive(now) && f.holders.ask(now)
	w.AnnounceAddress = f.announceAddress
	w.Evacuations = f.evacuations.Digest()
	w.Quarantines = f.quarantines.Digest()
	w.Lacking = f.lackingQuarantines(now, id, s)
	if f.relay != nil {
		w.DataCentre = f.relay.self.DataCentre
		w.Relays = len(f.relay.receivers) > 0
	}
	w.Fleet = s.fleet
	if f.inForce != nil {
		w.Version = f.inForce.Version
		w.Digest = f.inForce.Digest
	}
	return Message{To: id, Body: w}
}

// HandleStatus processes a disk VM's Status.
func (f *Follower) HandleStatus(now time.Duration, from protocol.RouterID, status Status) []Message {
	s := f.heardFrom(now, from)
	f.mergeEvacuations(from, status.Evacuations)
	f.mergeQuarantines(now, from, s, status)
	s.version, s.restored = status.Version, status.Restored
	f.confirmTable(from, s)
	if status.Version > f.newest {
		f.newest = status.Version
		f.newestAt = now
		f.newestBytes = status.Bytes
	}
	s.roster = status.Roster
	s.upstreams = status.Upstreams
	f.compareRoster(now, s)
	if status.Fleet != nil {
		f.takeFleet(s, from, *status.Fleet)
	}
	for _, id := range s.diskVMs {
		f.NoteDiskVM(now, id)
	}
	messages := append(f.askList(now), f.pull(now)...)
	if status.Referral != "" {
		f.referral = namedReferral{id: status.Referral, at: now}
		messages = append(messages, f.askReferral(now))
	}
	return messages
}
