package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// followerLife is how long a follower counts as present after its last
	// Watch: three times the interval between two.
	followerLife = 3 * WatchInterval
	// entriesPerMessage bounds the entries of one Roster message: some 15 KB,
	// which a link of 3 Mbit/s carries in 40 ms.
	entriesPerMessage = 100
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
	// sent is the revision of the roster up to which entries were sent.
	sent uint64
}

// Publisher is the disk VM's side. It is not safe for concurrent use.
type Publisher struct {
	incarnation uint64
	roster      *roster.Roster
	followers   map[protocol.RouterID]*follower
	diskVMs     []protocol.RouterID
	inForce     *document.Document
	// changes holds the change to the table in force from each base that a
	// follower asked for. Many followers have the same base.
	changes map[document.Digest]document.Change
	// previous are tables that were in force before, newest first.
	previous []*document.Document
}

// keepPrevious is how many earlier tables are kept to make small changes from:
// those of the last second of a storm of changes.
const keepPrevious = 8

// NewPublisher returns the side of a disk VM whose process is told apart from
// its earlier ones by incarnation. The roster is shared with the caller.
func NewPublisher(incarnation uint64, r *roster.Roster) *Publisher {
	return &Publisher{
		incarnation: incarnation,
		roster:      r,
		followers:   map[protocol.RouterID]*follower{},
		changes:     map[document.Digest]document.Change{},
	}
}

// SetDiskVMs tells which disk VMs there are.
func (p *Publisher) SetDiskVMs(vms []protocol.RouterID) {
	p.diskVMs = slices.Sorted(slices.Values(vms))
}

// SetDocument puts a table in force and tells all routers that there is one.
func (p *Publisher) SetDocument(now time.Duration, d *document.Document) []Send {
	if p.inForce != nil {
		p.previous = slices.Insert(p.previous, 0, p.inForce)
		p.previous = p.previous[:min(len(p.previous), keepPrevious)]
	}
	p.inForce = d
	p.changes = map[document.Digest]document.Change{}
	var sends []Send
	for _, id := range p.present(now) {
		if p.followers[id].watch.Router {
			sends = append(sends, Send{To: id, Body: News{Version: p.version()}})
		}
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
func (p *Publisher) Routers(now time.Duration) []protocol.RouterID {
	return slices.DeleteFunc(p.present(now), func(id protocol.RouterID) bool { return !p.followers[id].watch.Router })
}

// Watched takes a Watch and answers it.
func (p *Publisher) Watched(now time.Duration, from protocol.RouterID, w Watch) []Send {
	known := p.followers[from]
	if known == nil {
		known = &follower{}
		p.followers[from] = known
	}
	known.watch = w
	known.at = now
	known.sent = w.Revision
	if w.Incarnation != p.incarnation {
		known.sent = 0
	}
	sends := []Send{{To: from, Body: p.news(now, w)}}
	sends = append(sends, p.rosterFor(from, known, w.Incarnation != p.incarnation)...)
	if w.WantDocument && p.version() > w.Version {
		sends = append(sends, Send{To: from, Body: Document{Change: p.changeFrom(w.Digest)}})
	}
	return sends
}

// news is the answer to a Watch.
func (p *Publisher) news(now time.Duration, w Watch) News {
	news := News{Version: p.version()}
	fleet := Fleet{DiskVMs: p.diskVMs, Routers: p.Routers(now)}
	fleet.Digest = fleetDigest(fleet)
	if fleet.Digest != w.Fleet {
		news.Fleet = &fleet
	}
	return news
}

// fleetDigest tells lists of processes apart.
func fleetDigest(f Fleet) uint64 {
	digest := xxhash.New()
	for _, id := range slices.Concat(f.DiskVMs, []protocol.RouterID{"|"}, f.Routers) {
		_, _ = digest.WriteString(string(id) + "\n") // a hash takes every write
	}
	return digest.Sum64()
}

// rosterFor returns the entries that a follower lacks. A follower that comes
// with another incarnation hears of this one even if there is no entry.
func (p *Publisher) rosterFor(to protocol.RouterID, f *follower, first bool) []Send {
	entries := p.roster.ChangedSince(f.sent)
	f.sent = p.roster.Revision()
	if len(entries) == 0 && !first {
		return nil
	}
	var sends []Send
	for len(entries) > entriesPerMessage {
		sends = append(sends, Send{To: to, Body: Roster{Incarnation: p.incarnation, Entries: entries[:entriesPerMessage]}})
		entries = entries[entriesPerMessage:]
	}
	return append(sends, Send{To: to, Body: Roster{Incarnation: p.incarnation, Revision: f.sent, Entries: entries}})
}

// RosterChanged tells all followers what has changed in the roster.
func (p *Publisher) RosterChanged(now time.Duration) []Send {
	var sends []Send
	for _, id := range p.present(now) {
		sends = append(sends, p.rosterFor(id, p.followers[id], false)...)
	}
	return sends
}

// changeFrom returns the change to the table in force from another, or the
// whole where that one isn't known here.
func (p *Publisher) changeFrom(base document.Digest) document.Change {
	if change, made := p.changes[base]; made {
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
	change, made := p.changes[base]
	if !made {
		change = document.MakeChange(from, p.inForce)
		p.changes[base] = change
	}
	return change
}

// sortRouters orders names, for stable output.
func sortRouters(ids []protocol.RouterID) {
	slices.SortFunc(ids, func(a, b protocol.RouterID) int { return cmp.Compare(a, b) })
}
