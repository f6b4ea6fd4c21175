package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// handOverFrom is the number of upstreams from which routers take announcements.
	// Fewer are no burden for the disk VMs, and wait for a second where the router
	// that they call is gone.
	handOverFrom = 256
	// shareInterval is how often a process tells the disk VMs which upstreams
	// announced themselves to it: two in a row may be lost before one is forgotten.
	// Changes go out at once and don't wait for it.
	shareInterval = 8 * time.Second
)

// takers are the routers of a data centre that take proofs of life.
type takers struct {
	addresses []string
	// at is when they were looked for.
	at time.Duration
}

// AnnounceAt returns where an upstream should announce itself from now on, "" for
// the disk VMs.
//
// Load: thousands of upstreams announce themselves every second to a few small disk
// VMs. Harm prevented: the calls fill processor and link of each VM, and new tables,
// keys and departures of upstreams wait behind them. Almost all of those calls say
// nothing new, and there are many routers to take them.
//
// Failure guarded: a router is gone, or out of touch with the disk VMs. An
// upstream whose announcement isn't taken calls a disk VM, and one that says
// something new is answered only when a disk VM has that (see forwards), so no
// router holds what nobody else knows.
func (p *Publisher) AnnounceAt(now time.Duration, e roster.Entry) string {
	p.link.spend(now, announcementBytes)
	if e.State != roster.Ready || p.roster.Usable() < handOverFrom {
		return ""
	}
	best, at := uint64(0), ""
	for _, address := range p.takersIn(now, e.DataCentre) {
		if weight := xxhash.Sum64String(address + string(e.ID)); at == "" || weight > best {
			best, at = weight, address
		}
	}
	return at
}

// takersIn returns the routers of a data centre that take proofs of life, looked
// for once in a while: hundreds of upstreams ask each second.
func (p *Publisher) takersIn(now time.Duration, in protocol.DataCentre) []string {
	if known := p.takers[in]; known != nil && now-known.at < packedLife {
		return known.addresses
	}
	found := &takers{at: now}
	for _, r := range p.Routers(now) {
		if address := p.followers[r.ID].watch.Announcements; r.DataCentre == in && address != "" {
			found.addresses = append(found.addresses, address)
		}
	}
	p.takers[in] = found
	return found.addresses
}

// SetAnnouncements tells where this router takes proofs of life of the upstreams
// of its data centre; "" for nowhere.
func (f *Follower) SetAnnouncements(address string) { f.announcements = address }

// MayConfirm reports whether the disk VMs learn in time what this router is told:
// most of them are in touch. Upstreams whose proofs of life end here would be
// forgotten otherwise.
func (f *Follower) MayConfirm(now time.Duration) bool {
	return 2*f.InTouch(now) > len(f.sources)
}

// TakeAnnouncement takes an upstream's announcement at a router. It returns the number
// of the message to a disk VM whose acknowledgement is to be waited for, if any is.
func (f *Follower) TakeAnnouncement(now time.Duration, e roster.Entry) (known bool, number uint64, waits bool) {
	if !f.MayConfirm(now) {
		return false, 0, false
	}
	if f.roster.ConfirmUnchanged(now, e) {
		return true, 0, false
	}
	f.roster.RecordAnnouncement(now, e)
	return false, f.Forward(e), true
}

// share returns the proofs of life that disk VMs have to be told, once in a while.
func (f *Follower) share(now time.Duration) []Send {
	if now-f.shared < shareInterval {
		return nil
	}
	heard := f.roster.HeartbeatsSince(f.shared)
	f.shared = now
	if len(heard) == 0 {
		return nil
	}
	var sends []Send
	for _, id := range f.DiskVMs() {
		sends = append(sends, Send{To: id, Body: Heard{Upstreams: heard}})
	}
	return sends
}
