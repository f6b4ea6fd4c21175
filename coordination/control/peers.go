package control

import (
	"maps"
	"slices"
	"time"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

const (
	// peerInterval is how often a router that lacks the table or most upstreams asks
	// another router for them.
	peerInterval = 150 * time.Millisecond
	// peerStride spreads one router's requests over the list of routers, so that routers
	// next to each other in the list don't all ask the same ones.
	peerStride = 7
	// unannouncedTableInterval is how often it asks for a table that no disk VM has.
	unannouncedTableInterval = time.Second
	// peersPerDistant is how many requests to other routers there are for each one to a
	// router that may be in another data centre.
	peersPerDistant = 4
	// peerListsOnlyPeriod is how long a router that has a relay asks only routers for
	// the upstreams. In that time it can ask about seven of them, and the first ones
	// have time to get the upstreams from disk VMs.
	peerListsOnlyPeriod = time.Second
	// referralTimeout is how long a router waits for an answer from its referral before
	// it asks other routers.
	referralTimeout = 300 * time.Millisecond
	// peerRequestLifetime is how long a router remembers another router's request that
	// it can't answer yet.
	peerRequestLifetime = time.Second
)

// askPeer asks another router for the table and the upstreams, a different one each
// time.
//
// When half of the routers or all of them start at once, the disk VMs' links take
// seconds to send the table and the list to each. Without askPeer each router would
// refuse its callers until its turn comes. There are many more routers than disk VMs,
// and each router that has the table and the list can send them on.
func (f *Follower) askPeer(now time.Duration) []Message {
	wantList := f.lacksUpstreams(now) && !f.expectsChanges(now)
	wantTable := f.mayGetTable(now)
	if f.relay == nil || len(f.relay.others) == 0 || !wantTable && !wantList || now-f.peerAskedAt < peerInterval {
		return nil
	}
	f.peerAskedAt = now
	f.peersAsked++
	if wantTable {
		f.tableAskedAt = now
	}
	ask := Watch{Router: true, WantDocument: wantTable, WantList: wantList}
	if wantList {
		ask.Have = f.roster.Summary()
	}
	return []Message{{To: f.nextPeer(), Body: ask}}
}

// nextPeer returns the router to ask next: one in the same data centre, as few bytes as
// possible should cross between data centres, and now and then one elsewhere, as all in
// this one may lack the same.
func (f *Follower) nextPeer() protocol.RouterID {
	candidates := f.relay.nearby
	if len(candidates) == 0 || f.peersAsked%peersPerDistant == 0 {
		candidates = f.relay.others
	}
	at := (f.relay.position + f.peersAsked*peerStride) % len(candidates)
	return candidates[at].ID
}

// mayGetTable reports whether this router has no table and should ask another one for it:
// often if a disk VM has announced one or none answers, else now and then, as routers may
// have a table that all disk VMs have lost.
func (f *Follower) mayGetTable(now time.Duration) bool {
	if f.inForce != nil {
		return false
	}
	return f.newest > 0 || f.AliveDiskVMs(now) == 0 || now-f.tableAskedAt >= unannouncedTableInterval
}

// lacksUpstreams reports whether this router gets changes from a relay and lacks most of
// the upstreams.
func (f *Follower) lacksUpstreams(now time.Duration) bool {
	return f.relay != nil && f.relay.hasParent && !f.KnowsMostUpstreams(now)
}

// namedReferral is the router to which a disk VM last referred this one.
type namedReferral struct {
	id protocol.RouterID
	// at is when the disk VM named it.
	at time.Duration
	// askedTable says that the referral was asked for the table.
	askedTable bool
}

// mayAsk reports whether the referral can still be asked for the table.
func (r namedReferral) mayAsk(now time.Duration) bool {
	return r.id != "" && !r.askedTable && now-r.at < referralTimeout
}

// askReferral asks the referral for what this router lacks. It asks for the table only
// if this router may use the newest one.
func (f *Follower) askReferral(now time.Duration) Message {
	f.peerAskedAt = now + referralTimeout
	f.referral.askedTable = f.mayTake(now)
	return Message{To: f.referral.id, Body: Watch{
		Router: true, Version: f.version(), WantDocument: f.referral.askedTable, WantList: true, Have: f.roster.Summary(),
		WantCacheHolders: !f.holders.any,
	}}
}

// peerRequest is another router's request and when it came.
type peerRequest struct {
	watch Watch
	at    time.Duration
}

// HandleWatch answers another router's request for the table, if this router has a newer
// one, for the upstreams, if it knows most of them, and for the cache holders, if it
// received them lately. What this router lacks too is sent once it has it. The relay
// sends the answers as its link has capacity.
func (f *Follower) HandleWatch(now time.Duration, from protocol.RouterID, w Watch) {
	if f.relay == nil {
		return
	}
	f.peerRequests[from] = peerRequest{watch: w, at: now}
	f.answer(now, from)
}

// answerPeerRequests answers the requests of other routers that can be answered now.
func (f *Follower) answerPeerRequests(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(f.peerRequests)) {
		f.answer(now, id)
	}
}

// answer sends a router what it asked for, as far as this router has it.
func (f *Follower) answer(now time.Duration, id protocol.RouterID) {
	asked := f.peerRequests[id]
	if asked.watch.WantDocument && f.version() > asked.watch.Version {
		if f.fullChange.Result != f.inForce.Digest {
			f.fullChange = document.MakeChange(nil, f.inForce)
		}
		f.relay.send(id, Document{Change: f.fullChange, Restored: f.restored, Evacuations: f.Evacuations()}, len(f.fullChange.Delta))
		asked.watch.WantDocument = false
	}
	if asked.watch.WantList && f.roster.Usable() > 0 && f.KnowsMostUpstreams(now) {
		list := f.lists.packed(now, f.roster, f.roster.Differing(asked.watch.Have))
		f.relay.send(id, list, len(list.Packed))
		asked.watch.WantList = false
	}
	if list, any := f.relayableHolders(now); asked.watch.WantCacheHolders && any {
		f.relay.sendLowPriority(id, list, len(list.Packed))
		asked.watch.WantCacheHolders = false
	}
	f.peerRequests[id] = asked
	met := !asked.watch.WantDocument && !asked.watch.WantList && !asked.watch.WantCacheHolders
	if met || now-asked.at > peerRequestLifetime {
		delete(f.peerRequests, id)
	}
}
