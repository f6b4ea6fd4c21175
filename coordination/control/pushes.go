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
func (u *unacked) add(now time.Duration, ids []protocol.UpstreamID) uint64 {
	if len(u.lastMessage) == 0 {
		u.lastMessage = map[protocol.UpstreamID]uint64{}
		u.resends = 0
		u.resendAt = now + resendInterval
	}
	u.number++
	for _, id := range ids {
		u.lastMessage[id] = u.number
	}
	return u.number
}

// overdue returns the upstreams whose changes have to be sent again because their
// acknowledgement is late, sorted by ID.
func (u *unacked) overdue(now time.Duration) []protocol.UpstreamID {
	if len(u.lastMessage) == 0 || now < u.resendAt {
		return nil
	}
	u.resends++
	u.resendAt = now + resendInterval<<min(u.resends, maxBackoffDoublings)
	ids := make([]protocol.UpstreamID, 0, len(u.lastMessage))
	for id := range u.lastMessage {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// forget drops the changes of some upstreams. The follower finds them by comparing
// lists.
func (u *unacked) forget(ids []protocol.UpstreamID) {
	for _, id := range ids {
		delete(u.lastMessage, id)
	}
}

// acknowledge drops the changes whose last message has this number, and returns their upstreams.
func (u *unacked) acknowledge(number uint64) []protocol.UpstreamID {
	var ids []protocol.UpstreamID
	for id, lastMessage := range u.lastMessage {
		if lastMessage == number {
			delete(u.lastMessage, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// changedUpstreams are the upstreams whose changes have to be sent to the followers.
type changedUpstreams struct {
	// ids are in the order of their first change, and known holds the same.
	ids   []protocol.UpstreamID
	known map[protocol.UpstreamID]bool
	// leftAt is when leaving upstreams were last sent, and startedAt when others were.
	leftAt, startedAt time.Duration
}

// add adds an upstream.
func (c *changedUpstreams) add(id protocol.UpstreamID) {
	if c.known[id] {
		return
	}
	if c.known == nil {
		c.known = map[protocol.UpstreamID]bool{}
	}
	c.known[id] = true
	c.ids = append(c.ids, id)
}

// NoteChange records that this VM itself received a change of an upstream. PushChanges
// sends it to the followers.
func (p *Publisher) NoteChange(id protocol.UpstreamID) { p.changed.add(id) }

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
	p.noteRestarts(now)
	leaving, others := p.takeChanged(now)
	messages := p.push(now, leaving, maxLeavingBytes)
	messages = append(messages, p.push(now, others, maxStartingBytes)...)
	return append(messages, p.resend(now)...)
}

const (
	// leavingPace and startingPace are the minimum times between two messages with
	// changes to all followers, for each follower: upstreams that leave, and others.
	// Changes are gathered meanwhile, so that a release of thousands of upstreams costs a
	// disk VM and a router as many messages a second in a fleet of any size. A new
	// upstream can wait; one that leaves must be known within two seconds.
	leavingPace  = 100 * time.Microsecond
	startingPace = 500 * time.Microsecond
	// maxLeavingBytes and maxStartingBytes are the bytes up to which changes go to
	// everyone. Beyond, relays pass them on within each data centre, which costs a
	// fraction of the bytes between data centres.
	maxLeavingBytes  = 1 << 20
	maxStartingBytes = 64 << 10
	// maxPushMessages is the number of messages a second with which changes go to
	// everyone. A message costs more processor time than its bytes cost of a link.
	maxPushMessages = 2000
)

// takeChanged returns the changed upstreams that are due, in two lists: those that leave,
// and the others.
func (p *Publisher) takeChanged(now time.Duration) (leaving, others []protocol.UpstreamID) {
	if len(p.changed.ids) == 0 {
		return nil, nil
	}
	for _, id := range p.changed.ids {
		if e, known := p.roster.Entry(id); known && e.State != roster.Ready {
			leaving = append(leaving, id)
		} else {
			others = append(others, id)
		}
	}
	before := p.changed
	p.changed = changedUpstreams{leftAt: before.leftAt, startedAt: before.startedAt}
	leaving = p.due(now, leaving, &p.changed.leftAt, leavingPace)
	others = p.due(now, others, &p.changed.startedAt, startingPace)
	return leaving, others
}

// due returns changes if the last ones of their kind were sent long enough ago, and keeps
// them otherwise. In a fleet too small for relays none wait.
func (p *Publisher) due(now time.Duration, ids []protocol.UpstreamID, sentAt *time.Duration, pace time.Duration) []protocol.UpstreamID {
	if len(ids) == 0 {
		return nil
	}
	followers := len(p.followers)
	if followers >= relayMinRouters && now-*sentAt < time.Duration(followers)*pace {
		for _, id := range ids {
			p.changed.add(id)
		}
		return nil
	}
	*sentAt = now
	return ids
}

// push sends changes to as many followers as the link has capacity for, and to no more than
// the relays and the other disk VMs if everyone's messages would have more than maxBytes.
func (p *Publisher) push(now time.Duration, ids []protocol.UpstreamID, maxBytes int) []Message {
	if len(ids) == 0 {
		return nil
	}
	changes := p.changes(now, ids)
	size := changes.size()
	alive := p.alive(now)
	audience := p.audience(now, alive)
	lowest := everyone
	switch {
	case size*audience[everyone] <= maxBytes && p.pushMessages.takeWithoutDebt(now, audience[everyone]) && p.admitPush(now, size*audience[everyone]):
	case p.admitPush(now, size*audience[relaysAndDiskVMs]):
		lowest = relaysAndDiskVMs
		changes.PassOn = true
	default:
		lowest = diskVMsOnly
		p.pushes.take(now, size*audience[diskVMsOnly])
	}
	var messages []Message
	for _, id := range alive {
		f := p.followers[id]
		if f.tier < lowest {
			f.unacked.forget(ids)
			continue
		}
		changes.Number = f.unacked.add(now, ids)
		messages = append(messages, Message{To: id, Body: changes})
	}
	return messages
}

// tier says which followers get changes. The less capacity the link has, the higher the
// tier that a follower must be in to get them.
type tier uint8

const (
	// everyone is the lowest tier. Followers in it get changes while there is capacity
	// for all followers.
	everyone tier = iota
	// relaysAndDiskVMs is the tier of the routers that relay changes to others, and of
	// all routers in a fleet that is too small for relays. While it is the lowest that
	// gets changes, its routers and the other disk VMs get them.
	relaysAndDiskVMs
	// diskVMsOnly is the tier of the other disk VMs. They get new changes even if the
	// link has no capacity left.
	diskVMsOnly
	tierCount
)

// audience puts each follower in its tier. For each tier it returns how many followers
// get changes if it is the lowest tier that does.
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

// tierFor returns the tier of a follower. In a fleet that is large enough for relays, a
// router that relays nothing is in the lowest one. That includes a router that has just
// started and doesn't know its relay yet.
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
		changes := p.changes(now, overdue)
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
func (p *Publisher) changes(now time.Duration, ids []protocol.UpstreamID) Changes {
	var entries []roster.Entry
	for _, id := range ids {
		if e, known := p.roster.Entry(id); known {
			entries = append(entries, e)
		}
	}
	return newChanges(p.roster.Aged(now, entries))
}

// HandleChangesAck processes a follower's acknowledgement.
func (p *Publisher) HandleChangesAck(from protocol.RouterID, ack ChangesAck) {
	f := p.followers[from]
	if f == nil {
		return
	}
	ids := f.unacked.acknowledge(ack.Number)
	if !f.watch.Router {
		p.noteHolder(from, ids)
	}
}
