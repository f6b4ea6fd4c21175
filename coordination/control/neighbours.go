package control

import (
	"maps"
	"slices"
	"time"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

const (
	// neighbourInterval is how often a router that lacks the table or most
	// upstreams asks another router for them.
	neighbourInterval = 150 * time.Millisecond
	// neighbourStride spreads the routers asked by one over the list, so that
	// routers next to each other in it don't all ask the same.
	neighbourStride = 7
	// neighbourListsFor is how long a router that gets changes from another one
	// asks routers alone for the upstreams: some seven of them, and time for the
	// first ones to get them from disk VMs.
	neighbourListsFor = time.Second
	// passerPatience is how long a router that a disk VM has named is waited for
	// before others are asked.
	passerPatience = 300 * time.Millisecond
	// askerLife is how long a router that has asked for what isn't known here is
	// remembered.
	askerLife = time.Second
)

// askNeighbour asks another router for the table and the upstreams, another one
// each time.
//
// Load: half of the routers, or all, start at once, and the disk VMs' links take
// seconds to send table and list to each. Harm prevented: each router refuses its
// callers until its turn comes. There are many more routers than disk VMs, and each
// that has table and list can send them on.
func (f *Follower) askNeighbour(now time.Duration) []Send {
	wantList := f.lacksUpstreams(now)
	if f.relay == nil || len(f.relay.others) == 0 || f.inForce != nil && !wantList || now-f.neighbourAsked < neighbourInterval {
		return nil
	}
	f.neighbourAsked = now
	f.neighbours++
	others := f.relay.others
	at := (f.relay.position + f.neighbours*neighbourStride) % len(others)
	ask := Watch{Router: true, WantDocument: f.inForce == nil, WantList: wantList}
	if wantList {
		ask.Have = f.roster.Summary()
	}
	return []Send{{To: others[at].ID, Body: ask}}
}

// lacksUpstreams reports whether this router gets changes from another one and
// lacks most of the upstreams.
func (f *Follower) lacksUpstreams(now time.Duration) bool {
	return f.relay != nil && f.relay.waits && !f.KnowsMost(now)
}

// namedPasser is the router that a disk VM has named last.
type namedPasser struct {
	id protocol.RouterID
	at time.Duration
	// askedTable says that it was asked for the table.
	askedTable bool
}

// mayAsk reports whether the passer is still to be asked for the table.
func (p namedPasser) mayAsk(now time.Duration) bool {
	return p.id != "" && !p.askedTable && now-p.at < passerPatience
}

// askPasser asks the router that a disk VM has named for what this one lacks and may
// take.
func (f *Follower) askPasser(now time.Duration) Send {
	f.neighbourAsked = now + passerPatience
	f.passer.askedTable = f.mayTake(now)
	return Send{To: f.passer.id, Body: Watch{
		Router: true, Version: f.version(), WantDocument: f.passer.askedTable, WantList: true, Have: f.roster.Summary(),
		WantKeepers: !f.keepers.any,
	}}
}

// asker is what another router has asked for.
type asker struct {
	watch Watch
	at    time.Duration
}

// Asked answers another router's wish for the table, if there is a newer one here,
// for the upstreams, if most are known here, and for what engines keep, if this router
// was told lately. What is lacking here too is sent once it is known. The answers go
// out as the relay's link has room.
func (f *Follower) Asked(now time.Duration, from protocol.RouterID, w Watch) {
	if f.relay == nil {
		return
	}
	f.askers[from] = asker{watch: w, at: now}
	f.answer(now, from)
}

// answerAskers answers those whose wishes can be met now.
func (f *Follower) answerAskers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(f.askers)) {
		f.answer(now, id)
	}
}

// answer sends a router what it has asked for, as far as it is known here.
func (f *Follower) answer(now time.Duration, id protocol.RouterID) {
	a := f.askers[id]
	if a.watch.WantDocument && f.version() > a.watch.Version {
		if f.whole.Result != f.inForce.Digest {
			f.whole = document.MakeChange(nil, f.inForce)
		}
		f.relay.send(id, Document{Change: f.whole, Recalled: f.recalled}, len(f.whole.Delta))
		a.watch.WantDocument = false
	}
	if a.watch.WantList && f.roster.Usable() > 0 && f.KnowsMost(now) {
		list := f.lists.packed(now, f.roster, f.roster.Differing(a.watch.Have))
		f.relay.send(id, list, len(list.Packed))
		a.watch.WantList = false
	}
	if list, any := f.passableKeepers(now); a.watch.WantKeepers && any {
		f.relay.sendLast(id, list, len(list.Packed))
		a.watch.WantKeepers = false
	}
	f.askers[id] = a
	met := !a.watch.WantDocument && !a.watch.WantList && !a.watch.WantKeepers
	if met || now-a.at > askerLife {
		delete(f.askers, id)
	}
}
