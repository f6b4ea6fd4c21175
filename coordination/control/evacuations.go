package control

import (
	"time"

	"endiveplank/coordination/evacuation"
	"endiveplank/protocol"
)

// RestoreEvacuations takes over orders that were accepted before this VM restarted. They
// go to the routers with the next Status.
func (p *Publisher) RestoreEvacuations(records []evacuation.Record) {
	p.evacuations.Merge(records)
}

// MergeEvacuations takes over accepted orders and announces them to all routers if any of
// them is new.
func (p *Publisher) MergeEvacuations(now time.Duration, records []evacuation.Record) []Message {
	if len(p.evacuations.Merge(records)) == 0 {
		return nil
	}
	messages := p.announceStatus(now)
	for i := range messages {
		status := messages[i].Body.(Status)
		status.Evacuations = p.Evacuations()
		messages[i].Body = status
	}
	return messages
}

// Evacuations returns the last orders that this VM knows to be accepted.
func (p *Publisher) Evacuations() []evacuation.Record { return p.evacuations.Records() }

// EvacuationRevision returns the revision of the last order for a data centre that this VM
// knows to be accepted.
func (p *Publisher) EvacuationRevision(dataCentre protocol.DataCentre) uint64 {
	return p.evacuations.Revision(dataCentre)
}

// RoutersInForce returns how many of the routers that follow this VM have the same
// evacuations in force, and how many routers follow.
func (p *Publisher) RoutersInForce(now time.Duration) (inForce, all int) {
	digest := p.evacuations.Digest()
	for _, r := range p.Routers(now) {
		all++
		if p.followers[r.ID].watch.Evacuations == digest {
			inForce++
		}
	}
	return inForce, all
}

// mergeEvacuations takes over orders that a disk VM or another router knows to be
// accepted. The process never goes back to an earlier order, whoever sends it.
func (f *Follower) mergeEvacuations(from protocol.RouterID, records []evacuation.Record) {
	for _, record := range f.evacuations.Merge(records) {
		kind := EventEvacuated
		if !record.Evacuated {
			kind = EventEvacuationWithdrawn
		}
		f.events = append(f.events, Event{Kind: kind, Peer: from, Version: record.Revision, DataCentre: record.DataCentre})
	}
}

// Evacuations returns the last orders that this follower knows.
func (f *Follower) Evacuations() []evacuation.Record { return f.evacuations.Records() }
