package control

import (
	"slices"
	"time"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

// requestLifetime is the longest time that a request for a table or list waits unless
// the follower repeats it: twice the follower's timeout.
const requestLifetime = 2 * documentTimeout

// requestKind is a kind of large answer that a follower can ask for. Those that callers
// wait for are sent first: without a table and upstreams a router refuses its callers;
// without the cache holders it only makes worse choices.
type requestKind uint8

const (
	requestTable requestKind = iota + 1
	requestList
	requestCacheHolders
)

// request is a follower's request for a table, a list of upstreams or cache holders.
type request struct {
	from protocol.RouterID
	kind requestKind
	// at is when it was last made.
	at time.Duration
}

// enqueue adds a request behind those that are as urgent. A repeated request keeps its
// place.
func (p *Publisher) enqueue(r request) {
	at := slices.IndexFunc(p.waiting, func(other request) bool { return other.from == r.from && other.kind == r.kind })
	if at >= 0 {
		p.waiting[at].at = r.at
		return
	}
	behind := slices.IndexFunc(p.waiting, func(other request) bool { return other.kind > r.kind })
	if behind < 0 {
		behind = len(p.waiting)
	}
	p.waiting = slices.Insert(p.waiting, behind, r)
}

// SendWaiting returns the tables and lists that the link has capacity for now. It sends
// cache holders only if the link has capacity for the whole list. Tables come first,
// then lists, each in the order in which they were asked for.
func (p *Publisher) SendWaiting(now time.Duration) []Message {
	var messages []Message
	for len(p.waiting) > 0 {
		body, size := p.requested(now, p.waiting[0])
		if body != nil && !p.admit(now, p.waiting[0].kind, size) {
			return messages
		}
		if body != nil {
			messages = append(messages, Message{To: p.waiting[0].from, Body: body})
			p.noteServed(now, p.waiting[0].from)
		}
		p.waiting = p.waiting[1:]
	}
	return messages
}

// noteServed makes a router that was sent a table, a list of upstreams or cache holders
// a referral: other routers may be told to ask it instead of this disk VM.
func (p *Publisher) noteServed(now time.Duration, id protocol.RouterID) {
	if w := p.followers[id].watch; w.Router {
		p.referrals.add(now, Router{ID: id, DataCentre: w.DataCentre})
	}
}

// admit reports whether the link has capacity for an answer, and charges it if so.
// Tables wait only for tables and lists: without a table a router refuses its callers or
// uses an old one.
func (p *Publisher) admit(now time.Duration, kind requestKind, size int) bool {
	if kind != requestTable && !p.link.hasTokens(now) {
		return false
	}
	took := kind == requestCacheHolders && p.bulk.takeWithoutDebt(now, size) || kind != requestCacheHolders && p.bulk.take(now, size)
	if took {
		p.link.charge(now, size)
	}
	return took
}

// requested returns the answer to a request and its size in bytes, nil if the follower
// is gone, has stopped asking or needs it no more.
//
// When hundreds of routers start, each asks a disk VM for a long list, and gets it from
// another router a second later. Without this check the VM would still send the list to
// all of them, for most of a minute.
func (p *Publisher) requested(now time.Duration, r request) (any, int) {
	f := p.followers[r.from]
	if f == nil || now-r.at > requestLifetime {
		return nil, 0
	}
	switch r.kind {
	case requestList:
		list := p.lists.packed(now, p.roster, p.roster.Differing(f.has))
		return list, len(list.Packed)
	case requestCacheHolders:
		if list := p.holderList(now); len(list.Packed) > 0 {
			return list, len(list.Packed)
		}
		return nil, 0
	}
	if p.version() <= f.watch.Version {
		return nil, 0
	}
	change := p.changeFrom(f.watch.Digest)
	return Document{Change: change, Evacuations: p.Evacuations()}, len(change.Delta)
}

// changeFrom returns the change to the table in force from the table with digest base,
// or from nothing if that table isn't known here.
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
