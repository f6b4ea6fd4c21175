package control

import (
	"maps"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// followerLifetime is how long a follower counts as alive after its last Watch:
	// three times the interval between two.
	followerLifetime = 3 * WatchInterval
	// fleetInterval is the minimum time between two lists of processes sent to one
	// follower. While a whole fleet starts, the list changes with each router. If each
	// answer carried all names, they would fill the link and delay consensus.
	fleetInterval = 2 * time.Second
	// fastFleetInterval is the same for a router without a table. It can get the table
	// from another router once it knows others.
	fastFleetInterval = 400 * time.Millisecond
	// packedLifetime is how long a packed list is reused. Otherwise each of hundreds of
	// Watches a second would sort and compress the same names.
	packedLifetime = 200 * time.Millisecond
	// linkShare is the share of the link that all messages of this VM may use before
	// those that can wait do wait. bulkShare is the share for tables and lists, and
	// pushShare the share for changes of upstreams. The rest is left for consensus and
	// operators' calls, which may briefly need the whole link.
	linkShare = 0.8
	bulkShare = 0.5
	pushShare = 0.25
	// linkBurst is how long the VM may send at the link's full rate before messages that
	// can wait do wait.
	linkBurst = 200 * time.Millisecond
	// announcementBytes and statusBytes are the sizes of the answers to an announcement
	// and to a Watch on the link, with packet headers.
	announcementBytes = 400
	statusBytes       = 150
	// pushesPerFollower is how many pushes a follower gets at most before it is forgotten.
	// A follower that comes again gets other numbers.
	pushesPerFollower = 1 << 32
	// maxPrevious is the number of earlier tables that are kept as bases of small
	// changes. It covers the last second of a burst of changes.
	maxPrevious = 8
)

// Message is a message to another process.
type Message struct {
	To protocol.RouterID
	// Body is one of the message types of this package, or a balance.CacheHolderList.
	Body any
}

// follower is a disk VM's record of a process that follows it.
type follower struct {
	// watch is its last Watch, which came at the time at.
	watch Watch
	at    time.Duration
	// since is when it began to follow.
	since time.Duration
	// listed is when the list of processes was last sent to it, if everListed.
	listed     time.Duration
	everListed bool
	unacked    unacked
	// quarantines is which list of quarantines it was last sent.
	quarantines sentQuarantines
	// tier was computed for the last changes.
	tier tier
	// has is the Summary of its roster when it last asked for a list.
	has roster.Summary
	// referred is when it was last referred to another router, if everReferred.
	referred     time.Duration
	everReferred bool
}

// Publisher is the disk VM's side of the protocol. It is not safe for concurrent use.
type Publisher struct {
	roster    *roster.Roster
	followers map[protocol.RouterID]*follower
	// sorted are the IDs of the followers, sorted, nil if they have to be sorted again.
	// The followers were last looked through for those that are gone at expiredAt.
	sorted    []protocol.RouterID
	expiredAt time.Duration
	// routersRevision counts the changes of the list of routers that follow.
	routersRevision uint64
	diskVMs         []protocol.RouterID
	// fleet is the list of processes that was packed at fleetAt, as of fleetRevision.
	fleet         Fleet
	fleetAt       time.Duration
	fleetRevision uint64
	lists         packedLists
	// listeners are the routers that take heartbeats of upstreams, by data centre.
	listeners map[protocol.DataCentre]*listeners
	inForce   *document.Document
	// restored says that inForce is from before this VM's restart and not yet confirmed.
	restored bool
	// evacuations are the last orders that this VM knows to be accepted.
	evacuations evacuation.Set
	// quarantines is what is quarantined as far as this VM knows.
	quarantines *crashes.List
	// tableChanges holds the change to the table in force from each base that a follower
	// asked for. Many followers have the same base.
	tableChanges map[document.Digest]document.Change
	// changeBytes is the size of the change that made the table in force.
	changeBytes int
	// previous are the tables that were in force before, newest first.
	previous []*document.Document
	// changed are the upstreams whose change has to be sent to the followers.
	changed changedUpstreams
	// departures are the notices of upstreams that leave which aren't confirmed yet. self is this
	// VM, and losses is how many disk VMs may be lost at once.
	departures map[protocol.UpstreamID]*departure
	self       protocol.RouterID
	losses     int
	// link counts everything that this VM sends. bulk limits the part of it that tables
	// and lists use, and waiting holds the requests that wait for capacity.
	link      tokenBucket
	bulk      tokenBucket
	waiting   []request
	referrals referrals
	// firstPush is the number that the pushes to the next new follower follow.
	firstPush uint64
	// pushes limits the part of the link that changes of upstreams use, and pushMessages
	// the messages that carry them to everyone.
	pushes       tokenBucket
	pushMessages tokenBucket
	// holders records the engines that hold prompt prefixes in their caches, for routers
	// that start.
	holders  *balance.CacheHolderRecord
	unshared unsharedHolders
	restarts restarts
	// packedHolders is the list as of packedHoldersAt, for all routers that ask at about
	// that time.
	packedHolders   balance.CacheHolderList
	packedHoldersAt time.Duration
	everPacked      bool
}

// NewPublisher returns the publisher of a disk VM whose link carries linkRate bytes a
// second. It shares the roster with the caller.
func NewPublisher(r *roster.Roster, linkRate int) *Publisher {
	rate := float64(linkRate)
	return &Publisher{
		link:         newTokenBucket(linkShare*rate, linkBurst.Seconds()*rate),
		bulk:         newTokenBucket(bulkShare*rate, bulkBurst),
		pushes:       newTokenBucket(pushShare*rate, pushShare*rate),
		pushMessages: newTokenBucket(maxPushMessages, maxPushMessages),
		holders:      balance.NewCacheHolderRecord(),
		quarantines:  crashes.NewList(),
		roster:       r,
		followers:    map[protocol.RouterID]*follower{},
		departures:   map[protocol.UpstreamID]*departure{},
		listeners:    map[protocol.DataCentre]*listeners{},
		restarts:     restarts{known: map[protocol.UpstreamID]incarnation{}},
		tableChanges: map[document.Digest]document.Change{},
	}
}

// SetFirstPush sets the number that this process's pushes follow: a random one. The
// acknowledgement of a push of the disk VM's former process must acknowledge none of this
// one, or a change that was lost would not be sent again.
func (p *Publisher) SetFirstPush(number uint64) { p.firstPush = number }

// CacheHolders returns the record of the engines that hold prompt prefixes in their
// caches.
func (p *Publisher) CacheHolders() *balance.CacheHolderRecord { return p.holders }

// SetDiskVMs sets the list of disk VMs. If it changed, all followers get it again with
// the next answer: a router that has just started may know only a disk VM that has no
// table for it.
func (p *Publisher) SetDiskVMs(vms []protocol.RouterID) {
	sorted := slices.Sorted(slices.Values(vms))
	if slices.Equal(sorted, p.diskVMs) {
		return
	}
	p.diskVMs = sorted
	p.fleet = Fleet{}
	for _, f := range p.followers {
		f.everListed = false
	}
}

// isDiskVM reports whether consensus names a disk VM.
func (p *Publisher) isDiskVM(id protocol.RouterID) bool {
	_, found := slices.BinarySearch(p.diskVMs, id)
	return found
}

// Restore offers the table that was in force before this VM restarted to routers that
// have none, until SetDocument says which table is in force.
//
// When all VMs lose power together, they and their callers can be back before the disk
// VMs have a leader. Without a restored table each router would refuse its callers for
// the time of an election, or of several if votes are split or disks are lost. The
// restored table is the one that the router would have used if it had only been cut off
// from the disk VMs.
func (p *Publisher) Restore(d *document.Document) {
	p.inForce = d
	p.restored = true
}

// SetDocument puts a table in force and announces it to all routers. change is the
// change that made it. While a disk VM replays its log after a restart, the table may be
// older than the restored one; the restored one then stays.
func (p *Publisher) SetDocument(now time.Duration, d *document.Document, change document.Change) []Message {
	if p.restored && d.Version < p.inForce.Version {
		return nil
	}
	p.restored = false
	if p.inForce != nil {
		p.previous = slices.Insert(p.previous, 0, p.inForce)
		p.previous = p.previous[:min(len(p.previous), maxPrevious)]
	}
	p.inForce = d
	p.tableChanges = map[document.Digest]document.Change{}
	if change.Result == d.Digest {
		p.tableChanges[change.Base] = change
	}
	p.changeBytes = len(change.Delta)
	return p.announceStatus(now)
}

// announceStatus returns a Status for every router.
func (p *Publisher) announceStatus(now time.Duration) []Message {
	var messages []Message
	for _, r := range p.Routers(now) {
		messages = append(messages, Message{To: r.ID, Body: p.statusWithoutFleet()})
	}
	return messages
}

// version returns the version of the table in force, 0 if there is none.
func (p *Publisher) version() uint64 {
	if p.inForce == nil {
		return 0
	}
	return p.inForce.Version
}

// expireInterval is how often followers are looked through for those that are gone.
const expireInterval = 50 * time.Millisecond

// alive returns the followers that are alive, sorted by ID, and drops the others.
func (p *Publisher) alive(now time.Duration) []protocol.RouterID {
	if now-p.expiredAt >= expireInterval {
		p.expiredAt = now
		p.dropSilent(now)
	}
	if p.sorted == nil {
		p.sorted = slices.Sorted(maps.Keys(p.followers))
	}
	return p.sorted
}

// dropSilent drops the followers that are no longer alive.
func (p *Publisher) dropSilent(now time.Duration) {
	for id, f := range p.followers {
		if now-f.at > followerLifetime {
			delete(p.followers, id)
			p.sorted = nil
			p.routersRevision++
		}
	}
}

// Routers returns the routers that follow, sorted by ID.
func (p *Publisher) Routers(now time.Duration) []Router {
	var routers []Router
	for _, id := range p.alive(now) {
		if w := p.followers[id].watch; w.Router {
			routers = append(routers, Router{ID: id, DataCentre: w.DataCentre})
		}
	}
	return routers
}

// HandleWatch processes a Watch and returns the answers.
func (p *Publisher) HandleWatch(now time.Duration, from protocol.RouterID, w Watch) []Message {
	known := p.followers[from]
	if known == nil {
		known = &follower{since: now, unacked: unacked{number: p.firstPush}}
		p.firstPush += pushesPerFollower
		p.followers[from] = known
		p.sorted = nil
		p.routersRevision++
	}
	if known.watch.Router != w.Router || known.watch.DataCentre != w.DataCentre {
		p.routersRevision++
	}
	known.watch = w
	known.at = now
	p.quarantines.Merge(now, w.Lacking)
	p.link.charge(now, statusBytes)
	if w.WantDocument && p.version() > w.Version {
		p.enqueue(request{from: from, kind: requestTable, at: now})
	}
	if w.WantList {
		known.has = w.Have
		p.enqueue(request{from: from, kind: requestList, at: now})
	}
	if w.WantCacheHolders {
		p.enqueue(request{from: from, kind: requestCacheHolders, at: now})
	}
	large := p.SendWaiting(now)
	status := p.status(now, known)
	status.Referral = p.refer(now, from, known)
	return append([]Message{{To: from, Body: status}}, large...)
}

// refer returns the router that a follower should ask for what it would have to wait for
// here, "" if there is none or nothing to wait for. The follower's requests no longer
// wait here then. A follower that asks again wasn't served by its referral and is served
// here. Routers that have followed for a while aren't referred: they get new tables from
// their relays.
func (p *Publisher) refer(now time.Duration, from protocol.RouterID, f *follower) protocol.RouterID {
	waits := func(r request) bool { return r.from == from }
	again := f.everReferred && now-f.referred < 2*referralLifetime
	starting := f.watch.Router && now-f.since < startupPeriod
	if !starting || again || !slices.ContainsFunc(p.waiting, waits) {
		return ""
	}
	router := Router{ID: from, DataCentre: f.watch.DataCentre}
	referral := p.referrals.next(now, router)
	if referral != "" {
		p.waiting = slices.DeleteFunc(p.waiting, waits)
		p.referrals.add(now, router)
		f.referred, f.everReferred = now, true
	}
	return referral
}

// statusWithoutFleet returns a Status without the list of processes.
func (p *Publisher) statusWithoutFleet() Status {
	return Status{Version: p.version(), Restored: p.restored, Bytes: p.changeBytes, Roster: p.roster.Digest(), Upstreams: p.roster.Usable(), Quarantines: p.quarantines.Digest()}
}

// status returns the answer to a Watch.
func (p *Publisher) status(now time.Duration, f *follower) Status {
	status := p.statusWithoutFleet()
	if f.watch.Evacuations != p.evacuations.Digest() {
		status.Evacuations = p.Evacuations()
	}
	if f.quarantines.due(now, p.quarantines, f.watch.Quarantines) {
		status.Quarantined = p.quarantines.Quarantines(now)
	}
	interval := fleetInterval
	if f.watch.Router && f.watch.Version == 0 {
		interval = fastFleetInterval
	}
	if f.everListed && now-f.listed < interval {
		return status
	}
	p.alive(now)
	if p.fleet.Packed == nil || p.fleetRevision != p.routersRevision && now-p.fleetAt >= packedLifetime {
		p.fleet = packFleet(p.diskVMs, p.Routers(now))
		p.fleetAt, p.fleetRevision = now, p.routersRevision
	}
	if p.fleet.Digest != f.watch.Fleet && p.admit(now, requestList, len(p.fleet.Packed)) {
		status.Fleet = &p.fleet
		f.listed = now
		f.everListed = true
	}
	return status
}
