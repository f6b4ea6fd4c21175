package roster

import (
	"time"

	"endiveplank/protocol"
)

// coldSlack is by how much an upstream's announcements may differ in when its cold time
// ends, because they take different times to arrive. A later end by more than that means
// that the upstream has become cold again.
const coldSlack = 700 * time.Millisecond

// withColdCount fills in ColdCount for an announcement that the upstream itself sent. An
// upstream that becomes cold counts as changed, so routers learn of it like of any other
// change. Whether it still is cold isn't sent again: every process counts the time itself.
//
// The count doesn't depend on which announcement a process receives first. When a thousand
// upstreams restart, each announces itself to several processes before these know of each
// other's, and each difference would be sent to all routers.
func (r *Roster) withColdCount(now time.Duration, e Entry) Entry {
	remaining := time.Duration(0)
	if known := r.records[e.ID]; known != nil && known.StartedAt == e.StartedAt {
		e.ColdCount = known.ColdCount
		remaining = max(known.coldUntil-now, 0)
	}
	if e.ColdFor > 0 && (e.ColdCount == 0 || e.ColdFor > remaining+coldSlack) {
		e.ColdCount++
	}
	return e
}

// raiseColdCount takes over the count of an older entry of the same incarnation if it is
// higher: another process has noticed that the upstream became cold, and this one heard it
// only later. It reports whether it did. Without it the lists of the two would differ for
// as long as the upstream lives.
func (r *Roster) raiseColdCount(known *record, e Entry) bool {
	if known.StartedAt != e.StartedAt || known.State == Gone || known.ColdCount >= e.ColdCount {
		return false
	}
	known.ColdCount = e.ColdCount
	r.noteChange(known)
	return true
}

// ColdUntil returns when an upstream's cold time ends, 0 for an unknown upstream.
func (r *Roster) ColdUntil(id protocol.UpstreamID) time.Duration {
	if known := r.records[id]; known != nil {
		return known.coldUntil
	}
	return 0
}

// Aged returns entries with ColdFor as it is now, in the form in which they are sent.
func (r *Roster) Aged(now time.Duration, entries []Entry) []Entry {
	aged := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if e.ColdFor > 0 {
			e.ColdFor = max(r.ColdUntil(e.ID)-now, 0)
		}
		aged = append(aged, e)
	}
	return aged
}
