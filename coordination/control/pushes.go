package control

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// resendInterval is how soon changes of upstreams go out again that weren't
	// acknowledged: a busy router answers within some tens of milliseconds, and
	// leaving upstreams must be known within two seconds.
	resendInterval = 300 * time.Millisecond
	// pushShare is what changes may take of the link, for each byte of tables and
	// lists, and their burst in seconds.
	pushShare = 0.5
	// entryBytes is what an upstream takes in a message.
	entryBytes = 150
	// mostDoublings bounds the waits between further repetitions. By then a
	// comparison of lists has shown the difference.
	mostDoublings = 4
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

// due returns the upstreams whose change has to go out now: those just heard of,
// or, when an acknowledgement is late, all that are owed.
//
// Load: a thousand upstreams announce themselves while the links are full.
// Harm prevented: changes sent again and again because their acknowledgements
// wait behind them. So a new change goes out alone, and the waits between
// repetitions double.
func (o *owed) due(now time.Duration, heard []protocol.UpstreamID) []protocol.UpstreamID {
	late := len(o.under) > 0 && now >= o.resendAt
	if !late && len(heard) == 0 {
		return nil
	}
	if len(o.under) == 0 {
		o.under = map[protocol.UpstreamID]uint64{}
		o.resends = 0
		o.resendAt = now + resendInterval
	}
	o.number++
	for _, id := range heard {
		o.under[id] = o.number
	}
	if !late {
		return heard
	}
	o.resends++
	o.resendAt = now + resendInterval<<min(o.resends, mostDoublings)
	all := make([]protocol.UpstreamID, 0, len(o.under))
	for id := range o.under {
		o.under[id] = o.number
		all = append(all, id)
	}
	slices.Sort(all)
	return all
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

// PushHeard tells the followers the changes that upstreams have told this VM, and
// again those that haven't been acknowledged. While the link has no room for that,
// only those routers are told that pass changes on; see Relay.
//
// Load: many upstreams start within a second or two and announce themselves to the
// disk VMs, which all routers follow. Harm prevented: a message for each upstream
// from each VM to each router, which fills the links for seconds. So changes are
// gathered for some tens of milliseconds, and only the VM that was told sends them.
//
// Failure guarded: a connection is replaced or reset with a change on it. The
// router would send to an upstream that has said it leaves until a comparison of
// rosters shows the difference, a second and more later.
func (p *Publisher) PushHeard(now time.Duration) []Send {
	var sends []Send
	present := p.present(now)
	routers := len(p.Routers(now))
	toAll := len(p.heard) == 0 || p.pushes.takeWhole(now, entryBytes*len(p.heard)*len(present))
	for _, id := range present {
		f := p.followers[id]
		if !toAll && f.leftOut(routers) {
			f.owed = owed{}
			continue
		}
		if due := f.owed.due(now, p.heard); len(due) > 0 {
			changes := p.changes(f.owed.number, due)
			changes.PassOn = !toAll
			sends = append(sends, Send{To: id, Body: changes})
		}
	}
	p.heard = nil
	return sends
}

// leftOut reports whether a follower isn't told of changes while the link has no
// room to tell everybody: a router of a fleet large enough for relays that passes
// nothing on. That holds too for one that has just started and doesn't know yet
// who passes on to it. It compares lists.
func (f *follower) leftOut(routers int) bool {
	return f.watch.Router && !f.watch.Relays && routers >= relayFrom
}

// changes makes the message about some upstreams.
func (p *Publisher) changes(number uint64, ids []protocol.UpstreamID) Changes {
	changes := Changes{Number: number}
	for _, id := range ids {
		if e, known := p.roster.Entry(id); known {
			changes.Entries = append(changes.Entries, e)
		}
	}
	return changes
}

// Acknowledged notes that a follower has taken changes.
func (p *Publisher) Acknowledged(from protocol.RouterID, ack ChangesAck) {
	if f := p.followers[from]; f != nil {
		f.owed.paid(ack.Number)
	}
}
