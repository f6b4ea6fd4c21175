package control

import (
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// followerLife is how long a follower counts as present after its last
	// Watch: three times the interval between two.
	followerLife = 3 * WatchInterval
	// fleetInterval is the least time between two lists of processes sent to
	// one follower. While a whole fleet starts the list changes with each
	// router; all names sent with each answer would fill the link, and consensus
	// would not get through.
	fleetInterval = 2 * time.Second
	// eagerFleetInterval is the same for a router without a table, which may get
	// it from another one once it knows others.
	eagerFleetInterval = 400 * time.Millisecond
	// packedLife is how long a list that was packed is used: hundreds of
	// watches a second would each sort and compress the same names.
	packedLife = 200 * time.Millisecond
	// The parts of the link that all this VM sends may take before what can wait
	// does, that tables and lists may, and that changes of upstreams may. Consensus and
	// operators' calls need the rest, and all of it for moments.
	usedShare = 0.8
	bulkShare = 0.5
	pushShare = 0.25
	// linkBurst is for how long the link may be used up before what can wait does.
	linkBurst = 200 * time.Millisecond
	// announcementBytes and newsBytes are what the answers to an announcement and to a
	// Watch take on the link, with their packets.
	announcementBytes = 400
	newsBytes         = 150
	// keepPrevious is how many earlier tables are kept to make small changes
	// from: those of the last second of a storm of changes.
	keepPrevious = 8
)

// Send is a message to another process.
type Send struct {
	To protocol.RouterID
	// Body is one of the message types of this package.
	Body any
}

// follower is what a disk VM knows of one that watches it.
type follower struct {
	watch Watch
	at    time.Duration
	// since is when it began to follow.
	since time.Duration
	// listed is when the list of processes was last sent, if it ever was.
	listed     time.Duration
	everListed bool
	owed       owed
	// tier is as of the last changes.
	tier tier
	// has is the Summary of its roster when it last asked for a list.
	has roster.Summary
	// referred is when it was last sent to a passer, if it ever was.
	referred     time.Duration
	everReferred bool
}

// Publisher is the disk VM's side. It is not safe for concurrent use.
type Publisher struct {
	roster    *roster.Roster
	followers map[protocol.RouterID]*follower
	diskVMs   []protocol.RouterID
	fleet     Fleet
	fleetAt   time.Duration
	lists     packedLists
	// takers are the routers that take proofs of life, by data centre.
	takers  map[protocol.DataCentre]*takers
	inForce *document.Document
	// recalled says that the table is from before this VM's start.
	recalled bool
	// tableChanges holds the change to the table in force from each base that a
	// follower asked for. Many followers have the same base.
	tableChanges map[document.Digest]document.Change
	// changeBytes is the size of the change that made the table in force.
	changeBytes int
	// previous are tables that were in force before, newest first.
	previous []*document.Document
	// heard are upstreams whose change has to be sent on.
	heard []protocol.UpstreamID
	// link counts all that this VM sends; bulk bounds what tables and lists take of it,
	// and waiting are those that wait for room.
	link    bucket
	bulk    bucket
	waiting []request
	passers passers
	// pushes bounds what changes of upstreams take of it.
	pushes bucket
	// keepers are the engines that keep prompts' beginnings, for routers that start.
	keepers *balance.CacheHolderRecord
	shared  sharedKeepers
	// packedKeepers are those of packedKeepersAt, for all who ask at about that time.
	packedKeepers   balance.CacheHolderList
	packedKeepersAt time.Duration
	everPacked      bool
}

// NewPublisher returns the side of a disk VM whose link carries linkRate bytes a second.
// The roster is shared with the caller.
func NewPublisher(r *roster.Roster, linkRate int) *Publisher {
	rate := float64(linkRate)
	return &Publisher{
		link:         newBucket(usedShare*rate, linkBurst.Seconds()*rate),
		bulk:         newBucket(bulkShare*rate, bulkBurst),
		pushes:       newBucket(pushShare*rate, pushShare*rate),
		keepers:      balance.NewCacheHolderRecord(),
		roster:       r,
		followers:    map[protocol.RouterID]*follower{},
		takers:       map[protocol.DataCentre]*takers{},
		tableChanges: map[document.Digest]document.Change{},
	}
}

// Keepers returns the record of the engines that keep prompts' beginnings.
func (p *Publisher) Keepers() *balance.CacheHolderRecord { return p.keepers }

// SetDiskVMs tells which disk VMs there are. Followers are told anew at once: a
// router that has just started may know one that has nothing to give.
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

// Recall offers the table that was in force before this VM started to routers that
// know none, until SetDocument says which one is.
//
// Load: all VMs lose power together and are back, with their callers, before the
// disk VMs have a leader. Harm prevented: each router refuses its callers for the
// time of an election, or several where the votes were split or disks are lost. What
// it serves by meanwhile is what it would have served by if it had only been cut off.
func (p *Publisher) Recall(d *document.Document) {
	p.inForce = d
	p.recalled = true
}

// SetDocument puts a table in force and tells all routers that there is one.
// change is the one that made it. While the log is read after a start the table
// may be older than the recalled one, which stays.
func (p *Publisher) SetDocument(now time.Duration, d *document.Document, change document.Change) []Send {
	if p.recalled && d.Version < p.inForce.Version {
		return nil
	}
	p.recalled = false
	if p.inForce != nil {
		p.previous = slices.Insert(p.previous, 0, p.inForce)
		p.previous = p.previous[:min(len(p.previous), keepPrevious)]
	}
	p.inForce = d
	p.tableChanges = map[document.Digest]document.Change{}
	if change.Result == d.Digest {
		p.tableChanges[change.Base] = change
	}
	p.changeBytes = len(change.Delta)
	var sends []Send
	for _, r := range p.Routers(now) {
		sends = append(sends, Send{To: r.ID, Body: p.bareNews()})
	}
	return sends
}

// version is that of the table in force, 0 if there is none.
func (p *Publisher) version() uint64 {
	if p.inForce == nil {
		return 0
	}
	return p.inForce.Version
}

// present returns the followers that count as present, by name.
func (p *Publisher) present(now time.Duration) []protocol.RouterID {
	var ids []protocol.RouterID
	for id, f := range p.followers {
		if now-f.at > followerLife {
			delete(p.followers, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Routers returns the routers that follow, by name.
func (p *Publisher) Routers(now time.Duration) []Router {
	var routers []Router
	for _, id := range p.present(now) {
		if w := p.followers[id].watch; w.Router {
			routers = append(routers, Router{ID: id, DataCentre: w.DataCentre})
		}
	}
	return routers
}

// Watched takes a Watch and answers it.
func (p *Publisher) Watched(now time.Duration, from protocol.RouterID, w Watch) []Send {
	known := p.followers[from]
	if known == nil {
		known = &follower{since: now}
		p.followers[from] = known
	}
	known.watch = w
	known.at = now
	p.link.spend(now, newsBytes)
	if w.WantDocument && p.version() > w.Version {
		p.enqueue(request{from: from, what: wishTable, at: now})
	}
	if w.WantList {
		known.has = w.Have
		p.enqueue(request{from: from, what: wishList, at: now})
	}
	if w.WantKeepers {
		p.enqueue(request{from: from, what: wishKeepers, at: now})
	}
	large := p.SendWaiting(now)
	news := p.news(now, known)
	news.Ask = p.referral(now, from, known)
	return append([]Send{{To: from, Body: news}}, large...)
}

// referral returns the router that a follower should ask for what it has to wait for
// here, "" if there is none, or nothing to wait for. It waits here no longer. One that
// asks again wasn't served by its passer, and is served here. Those that have followed
// for a while get new tables by way of relays.
func (p *Publisher) referral(now time.Duration, from protocol.RouterID, f *follower) protocol.RouterID {
	waits := func(r request) bool { return r.from == from }
	again := f.everReferred && now-f.referred < 2*passerLife
	starting := f.watch.Router && now-f.since < startingFor
	if !starting || again || !slices.ContainsFunc(p.waiting, waits) {
		return ""
	}
	asker := Router{ID: from, DataCentre: f.watch.DataCentre}
	passer := p.passers.next(now, asker)
	if passer != "" {
		p.waiting = slices.DeleteFunc(p.waiting, waits)
		p.passers.add(now, asker)
		f.referred, f.everReferred = now, true
	}
	return passer
}

// bareNews is News without the list of processes.
func (p *Publisher) bareNews() News {
	return News{Version: p.version(), Recalled: p.recalled, Bytes: p.changeBytes, Roster: p.roster.Digest(), Upstreams: p.roster.Usable()}
}

// news is the answer to a Watch.
func (p *Publisher) news(now time.Duration, f *follower) News {
	news := p.bareNews()
	interval := fleetInterval
	if f.watch.Router && f.watch.Version == 0 {
		interval = eagerFleetInterval
	}
	if f.everListed && now-f.listed < interval {
		return news
	}
	if p.fleet.Packed == nil || now-p.fleetAt >= packedLife {
		p.fleet = packFleet(p.diskVMs, p.Routers(now))
		p.fleetAt = now
	}
	if p.fleet.Digest != f.watch.Fleet && p.mayGo(now, wishList, len(p.fleet.Packed)) {
		news.Fleet = &p.fleet
		f.listed = now
		f.everListed = true
	}
	return news
}
