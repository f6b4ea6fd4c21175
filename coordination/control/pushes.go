package control

import (
	"slices"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// resendInterval is how soon changes of upstreams go out again that weren't
	// acknowledged: a busy router answers within some tens of milliseconds, and
	// leaving upstreams must be known within two seconds.
	resendInterval = 300 * time.Millisecond
	// mostDoublings bounds the waits between further repetitions. By then a
	// comparison of lists has shown the difference.
	mostDoublings = 4
	// packFrom is the number of entries from which they are packed.
	packFrom = 4
	// entryBytes is what an entry takes that isn't packed, and changesBytes the rest of
	// the message.
	entryBytes   = 150
	changesBytes = 60
)

// owed are the changes that a follower hasn't acknowledged.
type owed struct {
	// under is the number of the last message that carried each upstream's change.
	under map[protocol.UpstreamID]uint64
	// number is that of the last message.
	number uint64
	// resendAt is when all of them go out again, for the resends+1st time in a row.
	resendAt time.Duration
	resends  int
}

// add notes changes that go out, and returns the number of their message.
func (o *owed) add(now time.Duration, ids []protocol.UpstreamID) uint64 {
	if len(o.under) == 0 {
		o.under = map[protocol.UpstreamID]uint64{}
		o.resends = 0
		o.resendAt = now + resendInterval
	}
	o.number++
	for _, id := range ids {
		o.under[id] = o.number
	}
	return o.number
}

// late returns what has to go out again as its acknowledgement is late, by name.
func (o *owed) late(now time.Duration) []protocol.UpstreamID {
	if len(o.under) == 0 || now < o.resendAt {
		return nil
	}
	o.resends++
	o.resendAt = now + resendInterval<<min(o.resends, mostDoublings)
	ids := make([]protocol.UpstreamID, 0, len(o.under))
	for id := range o.under {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// forget drops what is owed of some upstreams: the follower finds it by comparing lists.
func (o *owed) forget(ids []protocol.UpstreamID) {
	for _, id := range ids {
		delete(o.under, id)
	}
}

// paid notes that the message of a number was taken.
func (o *owed) paid(number uint64) {
	for id, under := range o.under {
		if under == number {
			delete(o.under, id)
		}
	}
}

// Heard notes that this VM itself was told a change of an upstream, which
// PushHeard then sends on.
func (p *Publisher) Heard(id protocol.UpstreamID) {
	if !slices.Contains(p.heard, id) {
		p.heard = append(p.heard, id)
	}
}

// PushHeard tells the followers the changes that upstreams have told this VM, those
// that leave first, and again those that haven't been acknowledged.
//
// Load: thousands of upstreams start within a second or two and announce themselves to
// the disk VMs, which all routers follow. Harm prevented: a message for each upstream
// from each VM to each router, which fills the links for minutes; announcements are
// answered too late, upstreams come again over new connections, and no table is
// accepted. So changes are gathered for some tens of milliseconds, only the VM that was
// told sends them, and while the link has no room to tell everybody, it tells those
// that pass them on, or else the other VMs alone. Who isn't told compares lists, which
// take a tenth of the bytes.
//
// Failure guarded: a connection is replaced or reset with a change on it. The
// router would send to an upstream that has said it leaves until a comparison of
// rosters shows the difference, a second and more later.
func (p *Publisher) PushHeard(now time.Duration) []Send {
	leaving, others := p.takeHeard()
	sends := p.push(now, leaving)
	sends = append(sends, p.push(now, others)...)
	return append(sends, p.repeat(now)...)
}

// takeHeard returns the upstreams that were heard of: those that leave, and the others.
func (p *Publisher) takeHeard() (leaving, others []protocol.UpstreamID) {
	for _, id := range p.heard {
		if e, known := p.roster.Entry(id); known && e.State != roster.Ready {
			leaving = append(leaving, id)
		} else {
			others = append(others, id)
		}
	}
	p.heard = nil
	return leaving, others
}

// push sends changes to as many followers as there is room for.
func (p *Publisher) push(now time.Duration, ids []protocol.UpstreamID) []Send {
	if len(ids) == 0 {
		return nil
	}
	changes := p.changes(ids)
	size := changes.size()
	present := p.present(now)
	audience := p.audience(now, present)
	told := everyone
	switch {
	case p.mayPush(now, size*audience[everyone]):
	case p.mayPush(now, size*audience[passingOn]):
		told = passingOn
		changes.PassOn = true
	default:
		told = diskVMsOnly
		p.pushes.take(now, size*audience[diskVMsOnly])
	}
	var sends []Send
	for _, id := range present {
		f := p.followers[id]
		if f.tier < told {
			f.owed.forget(ids)
			continue
		}
		changes.Number = f.owed.add(now, ids)
		sends = append(sends, Send{To: id, Body: changes})
	}
	return sends
}

// tier says to which followers changes go while the link has little room.
type tier uint8

const (
	// everyone is told while there is room.
	everyone tier = iota
	// passingOn are the disk VMs and the routers that pass changes on.
	passingOn
	// diskVMsOnly are the other disk VMs.
	diskVMsOnly
	tiers
)

// audience sorts the followers into tiers and returns how many are told by each.
func (p *Publisher) audience(now time.Duration, present []protocol.RouterID) [tiers]int {
	routers := len(p.Routers(now))
	var counts [tiers]int
	for _, id := range present {
		f := p.followers[id]
		f.tier = f.tierAmong(routers)
		for t := everyone; t <= f.tier; t++ {
			counts[t]++
		}
	}
	return counts
}

// tierAmong returns the last tier that a follower belongs to. A router of a fleet large
// enough for relays that passes nothing on is told only while everyone is. That holds
// too for one that has just started and doesn't know yet who passes on to it.
func (f *follower) tierAmong(routers int) tier {
	switch {
	case !f.watch.Router:
		return diskVMsOnly
	case f.watch.Relays || routers < relayFrom:
		return passingOn
	}
	return everyone
}

// repeat sends again what wasn't acknowledged, as far as there is room.
//
// Load: a thousand upstreams announce themselves while the links are full.
// Harm prevented: changes sent again and again because their acknowledgements
// wait behind them. So the waits between repetitions double, and what has no room is
// left to the comparison of lists.
func (p *Publisher) repeat(now time.Duration) []Send {
	var sends []Send
	for _, id := range p.present(now) {
		f := p.followers[id]
		late := f.owed.late(now)
		if len(late) == 0 {
			continue
		}
		changes := p.changes(late)
		if !p.mayPush(now, changes.size()) {
			f.owed.forget(late)
			continue
		}
		changes.Number = f.owed.add(now, late)
		sends = append(sends, Send{To: id, Body: changes})
	}
	return sends
}

// mayPush reports whether the link has room for changes, and counts them.
func (p *Publisher) mayPush(now time.Duration, bytes int) bool {
	if !p.link.hasRoom(now) || !p.pushes.takeWhole(now, bytes) {
		return false
	}
	p.link.spend(now, bytes)
	return true
}

// changes makes the message about some upstreams.
func (p *Publisher) changes(ids []protocol.UpstreamID) Changes {
	var entries []roster.Entry
	for _, id := range ids {
		if e, known := p.roster.Entry(id); known {
			entries = append(entries, e)
		}
	}
	return newChanges(entries)
}

// Acknowledged notes that a follower has taken changes.
func (p *Publisher) Acknowledged(from protocol.RouterID, ack ChangesAck) {
	if f := p.followers[from]; f != nil {
		f.owed.paid(ack.Number)
	}
}
