package control

import (
	"cmp"
	"slices"
	"time"

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
	// router; 87 names sent with each answer would fill a link of 3 Mbit/s,
	// and consensus would not get through.
	fleetInterval = 2 * time.Second
	// fleetLife is how long a list of processes that was made is used.
	fleetLife = 200 * time.Millisecond
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
	// listed is when the list of processes was last sent, if it ever was.
	listed     time.Duration
	everListed bool
}

// Publisher is the disk VM's side. It is not safe for concurrent use.
type Publisher struct {
	incarnation uint64
	roster      *roster.Roster
	followers   map[protocol.RouterID]*follower
	diskVMs     []protocol.RouterID
	fleet       Fleet
	packed      time.Duration
	inForce     *document.Document
	// changes holds the change to the table in force from each base that a
	// follower asked for. Many followers have the same base.
	changes map[document.Digest]document.Change
	// changeBytes is the size of the change that made the table in force.
	changeBytes int
	// heard are upstreams whose change has to be sent on.
	heard []protocol.UpstreamID
	// bulk bounds what tables take of the link.
	bulk bucket
	// waiting are routers whose table waits for room on the link.
	waiting []protocol.RouterID
	// previous are tables that were in force before, newest first.
	previous []*document.Document
}

// keepPrevious is how many earlier tables are kept to make small changes from:
// those of the last second of a storm of changes.
const keepPrevious = 8

// NewPublisher returns the side of a disk VM whose process is told apart from
// its earlier ones by incarnation. Tables take at most bulkRate bytes a second of
// its link. The roster is shared with the caller.
func NewPublisher(incarnation uint64, r *roster.Roster, bulkRate int) *Publisher {
	return &Publisher{
		bulk:        bucket{perSecond: float64(bulkRate), tokens: bulkBurst},
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
// change is the one that made it.
func (p *Publisher) SetDocument(now time.Duration, d *document.Document, change document.Change) []Send {
	if p.inForce != nil {
		p.previous = slices.Insert(p.previous, 0, p.inForce)
		p.previous = p.previous[:min(len(p.previous), keepPrevious)]
	}
	p.inForce = d
	p.changes = map[document.Digest]document.Change{}
	if change.Result == d.Digest {
		p.changes[change.Base] = change
	}
	p.changeBytes = len(change.Delta)
	var sends []Send
	for _, id := range p.present(now) {
		if p.followers[id].watch.Router {
			sends = append(sends, Send{To: id, Body: News{Version: p.version(), Bytes: p.changeBytes}})
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
	news := p.news(now, known)
	sends := []Send{{To: from, Body: news}}
	if news.Revision == 0 {
		sends = append(sends, p.rosterFor(from, w)...)
	}
	if w.WantDocument && p.version() > w.Version {
		p.waiting = append(slices.DeleteFunc(p.waiting, func(id protocol.RouterID) bool { return id == from }), from)
	}
	return append(sends, p.SendWaiting(now)...)
}

// SendWaiting returns the tables that the link has room for now, in the order
// in which they were asked for.
func (p *Publisher) SendWaiting(now time.Duration) []Send {
	var sends []Send
	for len(p.waiting) > 0 {
		id := p.waiting[0]
		f := p.followers[id]
		if f == nil || p.version() <= f.watch.Version {
			p.waiting = p.waiting[1:]
			continue
		}
		change := p.changeFrom(f.watch.Digest)
		if !p.bulk.take(now, len(change.Delta)) {
			return sends
		}
		p.waiting = p.waiting[1:]
		sends = append(sends, Send{To: id, Body: Document{Change: change}})
	}
	return sends
}

// news is the answer to a Watch.
func (p *Publisher) news(now time.Duration, f *follower) News {
	news := News{Version: p.version(), Bytes: p.changeBytes}
	if f.watch.Incarnation == p.incarnation && f.watch.Roster == p.roster.Digest() {
		news.Incarnation = p.incarnation
		news.Revision = p.roster.Revision()
	}
	if f.everListed && now-f.listed < fleetInterval {
		return news
	}
	p.packFleet(now)
	if p.fleet.Digest != f.watch.Fleet {
		news.Fleet = &p.fleet
		f.listed = now
		f.everListed = true
	}
	return news
}

// packFleet makes the list of processes anew, if that wasn't done a moment ago:
// hundreds of watches a second would each sort and compress the same names.
func (p *Publisher) packFleet(now time.Duration) {
	if p.fleet.Packed != nil && now-p.packed < fleetLife {
		return
	}
	p.packed = now
	p.fleet = packFleet(p.diskVMs, p.Routers(now))
}

// rosterFor returns the entries that a follower lacks. A follower that comes
// with another incarnation hears of this one even if there is no entry.
func (p *Publisher) rosterFor(to protocol.RouterID, w Watch) []Send {
	since := w.Revision
	if w.Incarnation != p.incarnation {
		since = 0
	}
	entries := p.roster.ChangedSince(since)
	if len(entries) == 0 && w.Incarnation == p.incarnation {
		return nil
	}
	var sends []Send
	for len(entries) > entriesPerMessage {
		sends = append(sends, Send{To: to, Body: Roster{Entries: entries[:entriesPerMessage]}})
		entries = entries[entriesPerMessage:]
	}
	return append(sends, Send{To: to, Body: Roster{Incarnation: p.incarnation, Revision: p.roster.Revision(), Entries: entries}})
}

// Heard notes that this VM itself was told a change of an upstream, which
// PushHeard then sends on.
func (p *Publisher) Heard(id protocol.UpstreamID) {
	if !slices.Contains(p.heard, id) {
		p.heard = append(p.heard, id)
	}
}

// PushHeard tells all followers the changes that upstreams have told this VM.
//
// Load: sixty upstreams start within a second or two and announce themselves to
// five disk VMs, which 87 routers follow. Harm prevented: a message for each
// upstream from each VM to each router, 27,000 of them, which fills the links
// for seconds. So changes are gathered for some tens of milliseconds, and only
// the VM that was told sends them unasked; who misses one gets it with its next
// Watch.
func (p *Publisher) PushHeard(now time.Duration) []Send {
	if len(p.heard) == 0 {
		return nil
	}
	push := Roster{}
	for _, id := range p.heard {
		if e, known := p.roster.Entry(id); known {
			push.Entries = append(push.Entries, e)
		}
	}
	p.heard = nil
	var sends []Send
	for _, id := range p.present(now) {
		sends = append(sends, Send{To: id, Body: push})
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

// bulkBurst is how many bytes of tables may go at once: one whole table.
const bulkBurst = 32 << 10

// bucket bounds the bytes that go out over time.
//
// Load: a whole fleet of routers starts and each asks for a table of ten
// kilobytes, on a link of some hundred kilobytes a second that also carries
// consensus. Harm prevented: heartbeats wait behind tables, the voters elect
// another leader, and operators' changes wait for it.
type bucket struct {
	perSecond float64
	tokens    float64
	at        time.Duration
}

// take reports whether n bytes may go now, and counts them. The last ones may
// overdraw the bucket, so that a table larger than the burst gets through.
func (b *bucket) take(now time.Duration, n int) bool {
	b.tokens = min(bulkBurst, b.tokens+b.perSecond*(now-b.at).Seconds())
	b.at = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// sortRouters orders names, for stable output.
func sortRouters(ids []protocol.RouterID) {
	slices.SortFunc(ids, func(a, b protocol.RouterID) int { return cmp.Compare(a, b) })
}
