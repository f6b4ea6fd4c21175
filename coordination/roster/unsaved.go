package roster

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// Unsaved holds the entries of upstreams that leave which the saved copy of a roster may lack, so
// that they can be saved at once and apart from the rest. It is not safe for concurrent use.
type Unsaved struct {
	// maxAge is how long an entry is kept: a saved copy that is older isn't used any more.
	maxAge  time.Duration
	entries []unsavedEntry
	// revision numbers the entries, and saved is the revision up to which all are on disk.
	revision, saved uint64
}

type unsavedEntry struct {
	Entry
	revision uint64
	at       time.Duration
}

// NewUnsaved returns an Unsaved for copies that are used up to an age.
func NewUnsaved(maxAge time.Duration) *Unsaved { return &Unsaved{maxAge: maxAge} }

// Add adds the entry of an upstream that leaves, unless it has it. It returns the revision from
// which on the entry is on disk.
func (u *Unsaved) Add(now time.Duration, e Entry) uint64 {
	at := slices.IndexFunc(u.entries, func(known unsavedEntry) bool { return known.ID == e.ID })
	if at >= 0 && u.entries[at].Entry == e {
		return u.entries[at].revision
	}
	if at >= 0 {
		u.entries = slices.Delete(u.entries, at, at+1)
	}
	u.revision++
	u.entries = append(u.entries, unsavedEntry{Entry: e, revision: u.revision, at: now})
	return u.revision
}

// Revision returns the revision of the newest entry.
func (u *Unsaved) Revision() uint64 { return u.revision }

// AllSaved reports whether all entries are on disk.
func (u *Unsaved) AllSaved() bool { return u.saved == u.revision }

// IsSaved reports whether all entries up to a revision are on disk.
func (u *Unsaved) IsSaved(revision uint64) bool { return revision <= u.saved }

// Entries returns the entries in the order in which they were added.
func (u *Unsaved) Entries(now time.Duration) []Entry {
	u.entries = slices.DeleteFunc(u.entries, func(e unsavedEntry) bool { return now-e.at > u.maxAge })
	entries := make([]Entry, 0, len(u.entries))
	for _, e := range u.entries {
		entries = append(entries, e.Entry)
	}
	return entries
}

// Saved records that the entries up to a revision are on disk, and returns the upstreams for which
// that is new.
func (u *Unsaved) Saved(revision uint64) []protocol.UpstreamID {
	var saved []protocol.UpstreamID
	for _, e := range u.entries {
		if e.revision > u.saved && e.revision <= revision {
			saved = append(saved, e.ID)
		}
	}
	u.saved = max(u.saved, revision)
	return saved
}

// RosterSaved records that the saved roster has the entries up to a revision, which needn't be
// saved apart from it any more. It returns the upstreams whose entries weren't on disk before.
func (u *Unsaved) RosterSaved(revision uint64) []protocol.UpstreamID {
	saved := u.Saved(revision)
	u.entries = slices.DeleteFunc(u.entries, func(e unsavedEntry) bool { return e.revision <= revision })
	return saved
}
