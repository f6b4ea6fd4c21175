package control

import (
	"time"

	"endiveplank/coordination/crashes"
	"endiveplank/protocol"
)

// quarantinesInterval is how often a process sends its list of quarantines to one that has
// another list, if its own hasn't changed meanwhile.
const quarantinesInterval = 5 * time.Second

// emptyQuarantinesInterval is the same for one that has none at all: it has started again since
// it was sent the list, and sends requests that crash engines until it has it. The time is
// longer than the answer to a Watch takes.
const emptyQuarantinesInterval = 200 * time.Millisecond

// sentQuarantines is which list of quarantines a process was last sent, and when.
type sentQuarantines struct {
	digest uint64
	at     time.Duration
	any    bool
}

// due reports whether a process gets the list, whose own list has the digest has.
func (s *sentQuarantines) due(now time.Duration, list *crashes.List, has uint64) bool {
	digest := list.Digest()
	if digest == has || list.Len() == 0 {
		return false
	}
	interval := quarantinesInterval
	if has == crashes.EmptyDigest {
		interval = emptyQuarantinesInterval
	}
	if s.any && s.digest == digest && now-s.at < interval {
		return false
	}
	*s = sentQuarantines{digest: digest, at: now, any: true}
	return true
}

// SetQuarantines makes the publisher share a list of quarantines with its caller.
func (p *Publisher) SetQuarantines(list *crashes.List) { p.quarantines = list }

// AnnounceQuarantines returns a Status for every router with what was quarantined just now. A
// router that lacks something else gets the list with its next Watch.
func (p *Publisher) AnnounceQuarantines(now time.Duration, found []crashes.Quarantine) []Message {
	messages := p.announceStatus(now)
	for i := range messages {
		status := messages[i].Body.(Status)
		status.Quarantined = found
		messages[i].Body = status
	}
	return messages
}

// SetQuarantines makes the follower share a list of quarantines with its caller.
func (f *Follower) SetQuarantines(list *crashes.List) { f.quarantines = list }

// mergeQuarantines takes over what a disk VM has quarantined.
func (f *Follower) mergeQuarantines(now time.Duration, from protocol.RouterID, s *source, status Status) {
	for _, q := range f.quarantines.Merge(now, status.Quarantined) {
		if q.Left <= 0 {
			continue
		}
		f.events = append(f.events, Event{Kind: EventQuarantined, Peer: from, Quarantine: q})
	}
	s.quarantines = status.Quarantines
}

// lackingQuarantines returns the list for a disk VM that has another one, nil if it needn't be sent.
func (f *Follower) lackingQuarantines(now time.Duration, id protocol.RouterID, s *source) []crashes.Quarantine {
	if s.quarantines == f.quarantines.Digest() || id != f.Preferred(now) {
		return nil
	}
	if !s.sentQuarantines.due(now, f.quarantines, s.quarantines) {
		return nil
	}
	return f.quarantines.Quarantines(now)
}

// AliveDiskVMIDs returns the disk VMs that answered lately, sorted.
func (f *Follower) AliveDiskVMIDs(now time.Duration) []protocol.RouterID {
	var alive []protocol.RouterID
	for _, id := range f.DiskVMs() {
		if f.sources[id].alive(now) {
			alive = append(alive, id)
		}
	}
	return alive
}
