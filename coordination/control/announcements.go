package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// announceToRoutersFrom is the least number of usable upstreams at which they
	// announce themselves to routers instead of the disk VMs. Fewer upstreams are no
	// burden for the disk VMs, and an upstream that calls a router that is gone loses
	// a second.
	announceToRoutersFrom = 256
	// heartbeatReportInterval is how often a process reports to the disk VMs which
	// upstreams announced themselves to it. Two reports in a row may be lost before an
	// upstream is dropped. Changes are sent at once and don't wait for it.
	heartbeatReportInterval = 8 * time.Second
)

// listeners are the addresses of the routers of a data centre that take heartbeats.
type listeners struct {
	addresses []string
	// hashes are the hashes of the addresses.
	hashes []uint64
	// at is when they were collected.
	at time.Duration
}

// AnnounceAt returns the address where an upstream should announce itself from now on,
// "" for the disk VMs.
//
// Thousands of upstreams announce themselves every second. If they all called a few
// small disk VMs, the calls would fill the processor and link of each VM, and new
// tables, keys and departures of upstreams would wait behind them. Almost all of those
// calls say nothing new, and there are many routers to take them.
//
// A router may be gone, or cut off from the disk VMs. An upstream whose announcement
// isn't taken calls a disk VM, and a router answers an announcement that says something
// new only when a disk VM has it (see forwardBatch). So no router holds anything that
// nobody else knows.
func (p *Publisher) AnnounceAt(now time.Duration, e roster.Entry) string {
	p.link.charge(now, announcementBytes)
	if e.State != roster.Ready || p.roster.Usable() < announceToRoutersFrom {
		return ""
	}
	listeners := p.listenersIn(now, e.DataCentre)
	hash := xxhash.Sum64String(string(e.ID))
	best, at := uint64(0), ""
	for i, address := range listeners.addresses {
		if weight := protocol.Mix(listeners.hashes[i] ^ hash); at == "" || weight > best {
			best, at = weight, address
		}
	}
	return at
}

// listenersIn returns the routers of a data centre that take heartbeats. The result is
// reused for packedLifetime, because hundreds of upstreams ask each second.
func (p *Publisher) listenersIn(now time.Duration, in protocol.DataCentre) *listeners {
	if known := p.listeners[in]; known != nil && now-known.at < packedLifetime {
		return known
	}
	found := &listeners{at: now}
	for _, r := range p.Routers(now) {
		if address := p.followers[r.ID].watch.AnnounceAddress; r.DataCentre == in && address != "" {
			found.addresses = append(found.addresses, address)
			found.hashes = append(found.hashes, xxhash.Sum64String(address))
		}
	}
	p.listeners[in] = found
	return found
}

// SetAnnounceAddress sets the address where this router takes heartbeats of the
// upstreams of its data centre, "" for none.
func (f *Follower) SetAnnounceAddress(address string) { f.announceAddress = address }

// CanTakeHeartbeats reports whether the disk VMs learn in time of the heartbeats that
// this router receives: more than half of them are alive. Otherwise the disk VMs would
// drop upstreams that send their heartbeats here.
func (f *Follower) CanTakeHeartbeats(now time.Duration) bool {
	return 2*f.AliveDiskVMs(now) > len(f.sources)
}

// HandleAnnouncement processes an upstream's announcement at a router. known says that it
// says nothing new and can be answered at once. If waits is set, the caller must wait for
// the AnnouncementsAck with this number before it answers the upstream. If neither is
// set, the router doesn't take the announcement, and the upstream must call a disk VM.
func (f *Follower) HandleAnnouncement(now time.Duration, e roster.Entry) (known bool, number uint64, waits bool) {
	if !f.CanTakeHeartbeats(now) {
		return false, 0, false
	}
	repeats := e.State == roster.Ready || f.roster.IsDepartureConfirmed(e.ID)
	if repeats && f.roster.ConfirmUnchanged(now, e) {
		return true, 0, false
	}
	f.roster.RecordAnnouncement(now, e)
	if known, any := f.roster.Entry(e.ID); any && known.StartedAt == e.StartedAt && known.Sequence == e.Sequence {
		e = known
	}
	return false, f.Forward(e), true
}

// sendHeartbeats returns the reports to the disk VMs on the upstreams that announced
// themselves here, when they are due.
func (f *Follower) sendHeartbeats(now time.Duration) []Message {
	if now-f.heartbeatsSentAt < heartbeatReportInterval {
		return nil
	}
	heartbeats := f.roster.HeartbeatsSince(f.heartbeatsSentAt)
	f.heartbeatsSentAt = now
	if len(heartbeats) == 0 {
		return nil
	}
	var messages []Message
	for _, id := range f.DiskVMs() {
		messages = append(messages, Message{To: id, Body: Heartbeats{Upstreams: heartbeats}})
	}
	return messages
}
