package control

import (
	"slices"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// resendInterval is the time after which unacknowledged changes of upstreams are
	// sent again. A busy router answers within some tens of milliseconds, and routers
	// must know within two seconds that an upstream leaves.
	resendInterval = 300 * time.Millisecond
	// maxBackoffDoublings limits the exponential backoff between further
	// retransmissions. By then a comparison of lists has shown the difference.
	maxBackoffDoublings = 4
	// packThreshold is the number of entries from which they are compressed.
	packThreshold = 4
	// entryBytes is the size of an entry that isn't compressed, and changesBytes the
	// size of the rest of the message.
	entryBytes   = 150
	changesBytes = 60
)

// unacked holds the changes that a follower hasn't acknowledged.
type unacked struct {
	// lastMessage is the number of the last message that carried each upstream's change.
	lastMessage map[protocol.UpstreamID]uint64
	// number is the number of the last message.
	number uint64
	// resendAt is when all of them are sent again. resends counts the retransmissions in
	// a row.
	resendAt time.Duration
	resends  int
}

// add records changes that are sent, and returns the number of their message.
func (o *unacked) add(now time.Duration, ids []protocol.UpstreamID) uint64 {
	if len(o.lastMessage) == 0 {
		o.lastMessage = map[protocol.UpstreamID]uint64{}
		o.resends = 0
		o.resendAt = now + resendInterval
	}
	o.number++
	for _, id := range ids {
		o.lastMessage[id] = o.number
	}
	return o.number
}

// overdue returns the upstreams whose changes have to be sent again because their
// acknowledgement is late, sorted by ID.
func (o *unacked) overdue(now time.Duration) []protocol.UpstreamID {
	if len(o.lastMessage) == 0 || now < o.resendAt {
		return nil
	}
	o.resends++
	o.resendAt = now + resendInterval<<min(o.resends, maxBackoffDoublings)
	ids := make([]protocol.UpstreamID, 0, len(o.lastMessage))
	for id := range o.lastMessage {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// forget drops the changes of some upstreams. The follower finds them by comparing
// lists.
func (o *unacked) forget(ids []protocol.UpstreamID) {
	for _, id := range ids {
		delete(o.lastMessage, id)
	}
}

// acknowledge drops the changes whose last message has this number.
func (o *unacked) acknowledge(number uint64) {
	for id, lastMessage := range o.lastMessage {
		if lastMessage == number {
			delete(o.lastMessage, id)
		}
	}
}

// NoteChange records that this VM itself received a change of an upstream. PushChanges
// sends it to the followers.
func (p *Publisher) NoteChange(id protocol.UpstreamID) {
	if !slices.Contains(p.changed, id) {
		p.changed = append(p.changed, id)
	}
}

// PushChanges sends the followers the changes that this VM received from upstreams,
// those of leaving upstreams first, and sends unacknowledged ones again.
//
// When thousands of upstreams start within a second or two, they announce themselves to
// the disk VMs, which all routers follow. A message for each upstream from each VM to
// each router would fill the links for minutes: announcements would be answered too
// late, upstreams would come again over new connections, and no table would be accepted.
// Therefore changes are gathered for some tens of milliseconds, and only the VM that
// received them sends them. While the link has no capacity to send them to everyone, the
// VM sends them to the relays and the other disk VMs, or else only to the other disk
// VMs. The other followers find them by comparing lists, which takes a tenth of the
// bytes.
//
// A change can be lost when a connection is replaced or reset. Without retransmission
// the router would send to an upstream that has said it leaves until a comparison of
// rosters shows the difference, a second or more later.
func (p *Publisher) PushChanges(now time.Duration) []Message {
	leaving, others := p.takeChanged()
	messages := p.push(now, leaving)
	messages = append(messages, p.push(now, others)...)
	return append(messages, p.resend(now)...)
}

// takeChanged returns the changed upstreams, those that leave apart from the others.
func (p *Publisher) takeChanged() (leaving, others []protocol.UpstreamID) {
	for _, id := range p.changed {
		if e, known := p.roster.Entry(id); known && e.State != roster.Ready {
			leaving = append(leaving, id)
		} else {
			others = append(others, id)
		}
	}
	p.changed = nil
	return leaving, others
}

// push sends changes to as many followers as the link has capacity for.
func (p *Publisher) push(now time.Duration, ids []protocol.UpstreamID) []Message {
	if len(ids) == 0 {
		return nil
	}
	changes := p.changes(ids)
	size := changes.size()
	alive := p.alive(now)
	audience := p.audience(now, alive)
	level := everyone
	switch {
	case p.admitPush(now, size*audience[everyone]):
	case p.admitPush(now, size*audience[relaysAndDiskVMs]):
		level = relaysAndDiskVMs
		changes.PassOn = true
	default:
		level = diskVMsOnly
		p.pushes.take(now, size*audience[diskVMsOnly])
	}
	var messages []Message
	for _, id := range alive {
		f := p.followers[id]
		if f.tier < level {
			f.unacked.forget(ids)
			continue
		}
		changes.Number = f.unacked.add(now, ids)
		messages = append(messages, Message{To: id, Body: changes})
	}
	return messages
}

// tier says which followers get changes while the link has little capacity.
type tier uint8

const (
	// everyone gets changes while there is capacity for all followers.
	everyone tier = iota
	// relaysAndDiskVMs are the disk VMs and the routers that relay changes to others.
	relaysAndDiskVMs
	// diskVMsOnly are the other disk VMs.
	diskVMsOnly
	tierCount
)

// audience puts each follower in its tier and returns how many followers get changes at
// each level.
func (p *Publisher) audience(now time.Duration, alive []protocol.RouterID) [tierCount]int {
	routers := len(p.Routers(now))
	var counts [tierCount]int
	for _, id := range alive {
		f := p.followers[id]
		f.tier = f.tierFor(routers)
		for t := everyone; t <= f.tier; t++ {
			counts[t]++
		}
	}
	return counts
}

// tierFor returns the last tier in which a follower still gets changes. In a fleet that
// is large enough for relays, a router that relays nothing gets them only at the first
// level. That includes a router that has just started and doesn't know its relay yet.
func (f *follower) tierFor(routers int) tier {
	switch {
	case !f.watch.Router:
		return diskVMsOnly
	case f.watch.Relays || routers < relayMinRouters:
		return relaysAndDiskVMs
	}
	return everyone
}

// resend sends unacknowledged changes again, as far as the link has capacity.
//
// When a thousand upstreams announce themselves while the links are full,
// acknowledgements wait behind the changes, and each change would be sent again and
// again. Therefore the waits between retransmissions double, and changes for which the
// link has no capacity are left to the comparison of lists.
func (p *Publisher) resend(now time.Duration) []Message {
	var messages []Message
	for _, id := range p.alive(now) {
		f := p.followers[id]
		overdue := f.unacked.overdue(now)
		if len(overdue) == 0 {
			continue
		}
		changes := p.changes(overdue)
		if !p.admitPush(now, changes.size()) {
			f.unacked.forget(overdue)
			continue
		}
		changes.Number = f.unacked.add(now, overdue)
		messages = append(messages, Message{To: id, Body: changes})
	}
	return messages
}

// admitPush reports whether the link has capacity for changes, and charges them if so.
func (p *Publisher) admitPush(now time.Duration, bytes int) bool {
	if !p.link.hasTokens(now) || !p.pushes.takeWithoutDebt(now, bytes) {
		return false
	}
	p.link.charge(now, bytes)
	return true
}

// changes returns the message with the entries of some upstreams.
func (p *Publisher) changes(ids []protocol.UpstreamID) Changes {
	var entries []roster.Entry
	for _, id := range ids {
		if e, known := p.roster.Entry(id); known {
			entries = append(entries, e)
		}
	}
	return newChanges(entries)
}

// HandleChangesAck processes a follower's acknowledgement.
func (p *Publisher) HandleChangesAck(from protocol.RouterID, ack ChangesAck) {
	if f := p.followers[from]; f != nil {
		f.unacked.acknowledge(ack.Number)
	}
}
