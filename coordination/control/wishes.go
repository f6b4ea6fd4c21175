package control

import (
	"slices"
	"time"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

// wishLife is how long a follower waits for a table or list, at the most, until
// it has asked for it again: twice its patience.
const wishLife = 2 * documentPatience

// wish is what a follower may want that is large. What callers wait for goes first:
// without table and upstreams a router refuses them, without what engines keep it
// only chooses worse.
type wish uint8

const (
	wishTable wish = iota + 1
	wishList
	wishKeepers
)

// request is a follower's wish for something large.
type request struct {
	from protocol.RouterID
	what wish
	// at is when it last wished for it.
	at time.Duration
}

// enqueue notes a wish, once, behind those that are as urgent. One that is repeated
// keeps its place.
func (p *Publisher) enqueue(r request) {
	at := slices.IndexFunc(p.waiting, func(other request) bool { return other.from == r.from && other.what == r.what })
	if at >= 0 {
		p.waiting[at].at = r.at
		return
	}
	behind := slices.IndexFunc(p.waiting, func(other request) bool { return other.what > r.what })
	if behind < 0 {
		behind = len(p.waiting)
	}
	p.waiting = slices.Insert(p.waiting, behind, r)
}

// SendWaiting returns the tables and lists that the link has room for now, and what
// engines keep where all of it has: tables first, then lists, each in the order in
// which they were asked for.
func (p *Publisher) SendWaiting(now time.Duration) []Send {
	var sends []Send
	for len(p.waiting) > 0 {
		body, size := p.wished(now, p.waiting[0])
		if body != nil && !p.mayGo(now, p.waiting[0].what, size) {
			return sends
		}
		if body != nil {
			sends = append(sends, Send{To: p.waiting[0].from, Body: body})
			p.served(now, p.waiting[0].from)
		}
		p.waiting = p.waiting[1:]
	}
	return sends
}

// served notes that a follower was sent something large, which a router can pass on.
func (p *Publisher) served(now time.Duration, id protocol.RouterID) {
	if w := p.followers[id].watch; w.Router {
		p.passers.add(now, Router{ID: id, DataCentre: w.DataCentre})
	}
}

// mayGo reports whether the link has room for a wish, and counts it. Tables wait only
// for each other: without one a router refuses its callers, or serves by an old one.
func (p *Publisher) mayGo(now time.Duration, what wish, size int) bool {
	if what != wishTable && !p.link.hasRoom(now) {
		return false
	}
	took := what == wishKeepers && p.bulk.takeWhole(now, size) || what != wishKeepers && p.bulk.take(now, size)
	if took {
		p.link.spend(now, size)
	}
	return took
}

// wished returns what a follower asked for and its size in bytes, nil if it has
// gone, asks elsewhere or needs it no more.
//
// Load: hundreds of routers start, ask a disk VM for a long list, and get it from
// each other a second later. Harm prevented: the VM sends it to all of them all the
// same, for most of a minute.
func (p *Publisher) wished(now time.Duration, r request) (any, int) {
	f := p.followers[r.from]
	if f == nil || now-r.at > wishLife {
		return nil, 0
	}
	switch r.what {
	case wishList:
		list := p.lists.packed(now, p.roster, p.roster.Differing(f.has))
		return list, len(list.Packed)
	case wishKeepers:
		if list := p.keeperList(now); len(list.Packed) > 0 {
			return list, len(list.Packed)
		}
		return nil, 0
	}
	if p.version() <= f.watch.Version {
		return nil, 0
	}
	change := p.changeFrom(f.watch.Digest)
	return Document{Change: change}, len(change.Delta)
}

// changeFrom returns the change to the table in force from another, or the
// whole where that one isn't known here.
func (p *Publisher) changeFrom(base document.Digest) document.Change {
	if change, made := p.tableChanges[base]; made {
		return change
	}
	var from *document.Document
	for _, d := range p.previous {
		if d.Digest == base {
			from = d
		}
	}
	if from == nil {
		base = document.Digest{}
	}
	change, made := p.tableChanges[base]
	if !made {
		change = document.MakeChange(from, p.inForce)
		p.tableChanges[base] = change
	}
	return change
}
