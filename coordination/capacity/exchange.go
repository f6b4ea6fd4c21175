package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// Neighbours of a router are told in two audiences.
const (
	// peers are the routers of a mesh, a member's relay, or a relay's members.
	peers = iota
	// relays are the other relays.
	relays
	audiences
)

const (
	// entryBytes is the size of an entry of a load report on the wire.
	entryBytes = 18
	// maxBytesPerSecond bounds what a router sends of reported loads.
	maxBytesPerSecond = 1_000
	// hopDelay is added to the age of what another router passes on, for the time that it was under
	// way.
	hopDelay = 30 * time.Millisecond
	// refreshAge is the age of what neighbours know from which on they are told again, though
	// it has not changed.
	refreshAge = time.Second
	// minInterval is the age of what neighbours know up to which they aren't told even of a change:
	// many routers see it, and one of them is enough.
	minInterval = 500 * time.Millisecond
	// minChange is the part of an upstream's slots by which its free slots must have changed, and
	// minPaceChange the change of its pace in percent, for neighbours to be told.
	minChange     = 0.125
	minPaceChange = 10
	// maxChange bounds the weight of a change, and unknownWeight is that of an upstream that the
	// neighbours don't know.
	maxChange     = 1.0
	unknownWeight = 2.0
)

// Outgoing are entries to be sent to some neighbours.
type Outgoing struct {
	To       []protocol.RouterID
	Reported []balance.ReportedLoad
}

// Pending returns the entries that the neighbours lack, of services for which wanted returns true,
// at most balance.MaxReportedLoads for each neighbour. A router of a mesh and a member report what
// they have observed themselves. A relay passes on its members' entries to all neighbours, and the
// other relays' to its members. What differs most from what the neighbours know goes first, and
// services with few upstreams before those with many, of which fewer entries say less.
func (r *Reports) Pending(now time.Duration, n balance.Neighbours, wanted func(protocol.Service) bool) []Outgoing {
	to := recipients(n)
	r.budget.refill(now, entryBytes*max(len(to[peers]), len(to[relays])))
	var out [audiences]Outgoing
	for _, d := range r.due(now, to, wanted) {
		list := &out[d.audience]
		if len(list.Reported) == balance.MaxReportedLoads {
			continue
		}
		if !r.budget.take(entryBytes * len(to[d.audience])) {
			break
		}
		list.To = to[d.audience]
		list.Reported = append(list.Reported, d.upstream.entry(now))
		d.upstream.told[d.audience] = d.upstream.last
	}
	return slices.DeleteFunc(out[:], func(o Outgoing) bool { return len(o.Reported) == 0 })
}

// recipients returns the routers of each audience.
func recipients(n balance.Neighbours) [audiences][]protocol.RouterID {
	to := [audiences][]protocol.RouterID{peers: slices.Concat(n.Mesh, n.Members), relays: n.Relays}
	if n.Relay != "" {
		to[peers] = append(to[peers], n.Relay)
	}
	return to
}

// dueEntry is an entry that an audience lacks.
type dueEntry struct {
	upstream *upstream
	audience int
	weight   float64
}

// due returns the entries that the audiences lack, those that they need most first.
func (r *Reports) due(now time.Duration, to [audiences][]protocol.RouterID, wanted func(protocol.Service) bool) []dueEntry {
	var all []dueEntry
	for name, s := range r.services {
		if !wanted(name) {
			continue
		}
		for u := range s.recent(now) {
			all = u.appendDue(all, now, to)
		}
	}
	slices.SortFunc(all, func(x, y dueEntry) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.upstream.short, y.upstream.short), cmp.Compare(x.audience, y.audience))
	})
	return all
}

// appendDue appends the upstream's entries for the audiences that lack its report.
func (u *upstream) appendDue(all []dueEntry, now time.Duration, to [audiences][]protocol.RouterID) []dueEntry {
	if !u.usable(now) {
		return all
	}
	for audience, told := range u.told {
		if len(to[audience]) == 0 || !u.last.newer(told) {
			continue
		}
		if weight := u.last.weight(now, told); weight > 0 {
			all = append(all, dueEntry{u, audience, weight / math.Sqrt(float64(len(u.service.ready)))})
		}
	}
	return all
}

// weight returns how much a neighbour that was told another report needs this one, 0 if it doesn't.
func (r report) weight(now time.Duration, told report) float64 {
	if !told.known(now) {
		return unknownWeight
	}
	change := math.Abs(r.free()-told.free()) / float64(r.slots)
	paceChange := math.Abs(float64(r.pace - told.pace))
	age, changed := now-told.madeAt, change >= minChange || paceChange >= minPaceChange
	if age < minInterval || age < refreshAge && !changed {
		return 0
	}
	return min(change+paceChange/dialect.UsualPace, maxChange) + float64(age)/float64(maxAge)
}

// entry returns the upstream's report as it is sent.
func (u *upstream) entry(now time.Duration) balance.ReportedLoad {
	return balance.ReportedLoad{
		ID: u.short, Incarnation: incarnation(u.startedAt),
		Running: int(u.last.running), Waiting: int(u.last.waiting), Slots: int(u.last.slots), Pace: int(u.last.pace),
		AgeMS: int(max(now-u.last.madeAt, 0).Milliseconds()),
	}
}

// incarnation returns the part of an upstream's time of start that entries name.
func incarnation(startedAt int64) uint16 { return uint16(startedAt) }

// Apply takes the entries that another router passes on. Entries of unlisted upstreams, of another
// incarnation, too old ones, impossible ones, and those that are older than what is known are
// ignored.
func (r *Reports) Apply(now time.Duration, n balance.Neighbours, from protocol.RouterID, entries []balance.ReportedLoad) {
	for _, e := range entries[:min(len(entries), balance.MaxReportedLoads)] {
		u := r.byShortID[e.ID]
		if u == nil || incarnation(u.startedAt) != e.Incarnation || e.AgeMS < 0 || e.AgeMS > int(maxAge.Milliseconds()) {
			continue
		}
		load := dialect.ReportedLoad{Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, Pace: e.Pace}
		if possible(load, u.announced) {
			madeAt := now - time.Duration(e.AgeMS)*time.Millisecond - hopDelay
			u.apply(now, newReport(load, madeAt), n, from)
		}
	}
}

// apply takes a report that another router passes on.
func (u *upstream) apply(now time.Duration, told report, n balance.Neighbours, from protocol.RouterID) {
	if audience, all := audienceOf(n, from); all && told.newer(u.told[audience]) {
		u.told[audience] = told
	}
	if told.newer(u.last) {
		u.set(now, told)
	}
}

// newer reports whether r was made after other.
func (r report) newer(other report) bool { return other.slots == 0 || r.madeAt > other.madeAt }

// audienceOf returns the audience that a router sends its entries to as a whole, as it does all
// others but a relay's members, whose entries the relay alone gets.
func audienceOf(n balance.Neighbours, from protocol.RouterID) (audience int, all bool) {
	switch {
	case slices.Contains(n.Relays, from):
		return relays, true
	case slices.Contains(n.Members, from):
		return 0, false
	}
	return peers, true
}

// budget is what a router may still send now, in bytes.
type budget struct {
	bytes float64
	at    time.Duration
}

// refill adds what may be sent for the time that has passed. At least one entry may be saved up.
func (b *budget) refill(now time.Duration, entry int) {
	passed := max(now-b.at, 0).Seconds()
	b.bytes = min(b.bytes+maxBytesPerSecond*passed, float64(max(maxBytesPerSecond, entry)))
	b.at = now
}

// take reports whether so many bytes may be sent, and takes them.
func (b *budget) take(bytes int) bool {
	if b.bytes < float64(bytes) {
		return false
	}
	b.bytes -= float64(bytes)
	return true
}
