package control

import (
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// departure counts the disk VMs that have on disk that an upstream drains or has left. An upstream
// that was told that its notice arrived may rely on it: it gets no request any more, whichever
// disk VMs are lost then.
//
// It guards against this failure: the disk VM that takes a notice answers it and loses power before
// any other process knows of it. Routers send to the upstream until it ends.
type departure struct {
	startedAt int64
	holders   map[protocol.RouterID]bool
}

// SetDurability sets on how many disk VMs a notice has to be on disk before it is confirmed: on one
// more than may be lost at once. self is this VM.
func (p *Publisher) SetDurability(self protocol.RouterID, losses int) {
	p.self, p.losses = self, losses
}

// requiredHolders returns on how many disk VMs a notice has to be on disk: on one more than may be
// lost. A fleet with fewer disk VMs than these losses ask for needs a majority, as for a table.
func (p *Publisher) requiredHolders() int {
	if count := len(p.diskVMs); count > 0 {
		return min(p.losses, (count-1)/2) + 1
	}
	return p.losses + 1
}

// NoteDeparture processes an upstream's own notice that it drains or has left, which the roster
// has. wasLeaving says that the roster had one before. It reports whether the notice is confirmed.
// If not, it is sent to all followers, also if it was sent before.
func (p *Publisher) NoteDeparture(id protocol.UpstreamID, wasLeaving bool) bool {
	if p.DepartureConfirmed(id) {
		return true
	}
	e, _ := p.roster.Entry(id)
	if d := p.departures[id]; d == nil || !wasLeaving || d.startedAt != e.StartedAt {
		p.departures[id] = &departure{startedAt: e.StartedAt, holders: map[protocol.RouterID]bool{}}
	}
	p.NoteChange(id)
	return false
}

// DepartureConfirmed reports whether enough disk VMs have on disk that an upstream leaves, or there
// is nothing to confirm any more, as a newer announcement has overtaken the notice.
func (p *Publisher) DepartureConfirmed(id protocol.UpstreamID) bool {
	if !p.roster.IsLeaving(id) || p.roster.IsDepartureConfirmed(id) {
		return true
	}
	d := p.departures[id]
	if d == nil || len(d.holders) < p.requiredHolders() {
		return false
	}
	p.roster.ConfirmDeparture(id, d.startedAt)
	delete(p.departures, id)
	return true
}

// DepartureHolders returns on how many disk VMs a notice is known to be on disk, and on how many it
// has to be. A confirmed one is on as many as that.
func (p *Publisher) DepartureHolders(id protocol.UpstreamID) (holders, required int) {
	required = p.requiredHolders()
	if d := p.departures[id]; d != nil {
		return len(d.holders), required
	}
	return required, required
}

// DeparturesStored records that this VM has the notices of some upstreams on disk.
func (p *Publisher) DeparturesStored(ids []protocol.UpstreamID) {
	for _, id := range ids {
		p.addHolder(id, p.self)
	}
}

// addHolder records that a disk VM has a notice on disk.
func (p *Publisher) addHolder(id protocol.UpstreamID, vm protocol.RouterID) {
	if d := p.departures[id]; d != nil {
		d.holders[vm] = true
	}
}

// noteHolder records that another disk VM has acknowledged the last change of some upstreams that
// it was sent. An upstream whose next change is still to be sent isn't meant by that.
func (p *Publisher) noteHolder(vm protocol.RouterID, ids []protocol.UpstreamID) {
	for _, id := range ids {
		if !p.changed.known[id] {
			p.addHolder(id, vm)
		}
	}
}

// ExpireDepartures drops the notices of upstreams that aren't leaving any more or are forgotten.
func (p *Publisher) ExpireDepartures() {
	for id := range p.departures {
		if !p.roster.IsLeaving(id) {
			delete(p.departures, id)
		}
	}
}

// MayConfirmDepartures reports whether enough disk VMs may answer this one for a notice to be
// confirmed. lost are those that don't.
func (p *Publisher) MayConfirmDepartures(lost []protocol.RouterID) bool {
	reachable := len(p.diskVMs)
	for _, id := range lost {
		if p.isDiskVM(id) {
			reachable--
		}
	}
	return len(p.diskVMs) == 0 || reachable >= p.requiredHolders()
}

// LostDiskVMs returns the disk VMs that have answered this process but don't any more.
func (f *Follower) LostDiskVMs(now time.Duration) []protocol.RouterID {
	var lost []protocol.RouterID
	for _, id := range f.DiskVMs() {
		if s := f.sources[id]; s.everHeard && !s.alive(now) {
			lost = append(lost, id)
		}
	}
	return lost
}

// HandleDiskVMChanges processes changes at a disk VM. It returns the acknowledgement, which may be
// sent once this VM has the notices of the upstreams in leaving on disk, and false if none is due.
func (f *Follower) HandleDiskVMChanges(now time.Duration, from protocol.RouterID, c Changes) (ack Message, leaving []protocol.UpstreamID, due bool) {
	entries, read := f.mergeChanges(now, from, c)
	if !read || c.Number == 0 {
		return Message{}, nil, false
	}
	for _, e := range entries {
		if e.State != roster.Ready && f.roster.IsLeaving(e.ID) {
			leaving = append(leaving, e.ID)
		}
	}
	return Message{To: from, Body: ChangesAck{Number: c.Number}}, leaving, true
}
