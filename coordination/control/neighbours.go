package control

import (
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

// Asked answers another router's wish for the table, if there is a newer one
// here, and for the upstreams, if most are known here. The answers go out as the
// relay's link has room.
func (f *Follower) Asked(now time.Duration, from protocol.RouterID, w Watch) {
	if f.relay == nil {
		return
	}
	if w.WantDocument && f.inForce != nil && w.Version < f.inForce.Version {
		if f.whole.Result != f.inForce.Digest {
			f.whole = document.MakeChange(nil, f.inForce)
		}
		f.relay.send(from, Document{Change: f.whole}, len(f.whole.Delta))
	}
	if w.WantList && f.KnowsMost(now) {
		list := f.lists.packed(now, f.roster, f.roster.Differing(w.Have))
		f.relay.send(from, list, len(list.Packed))
	}
}
