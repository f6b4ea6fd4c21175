package roster

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// State is what an upstream takes at the moment.
type State uint8

const (
	// Ready upstreams take new work.
	Ready State = iota + 1
	// Draining upstreams finish what they have and take nothing new.
	Draining
	// Gone upstreams have left or been replaced at their address.
	Gone
)

// String returns the word used in logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Entry is what is known of one upstream.
type Entry struct {
	ID      protocol.UpstreamID `msgpack:"i"`
	Service protocol.Service    `msgpack:"s"`
	// Address is IP:port.
	Address    string              `msgpack:"a"`
	DataCentre protocol.DataCentre `msgpack:"d"`
	// Build is the version of the upstream's software.
	Build string `msgpack:"b,omitempty"`
	// Slots is how many requests it runs at a time.
	Slots int   `msgpack:"n,omitempty"`
	State State `msgpack:"t"`
	// ColdFor is how much longer it stays slow after its start.
	ColdFor time.Duration `msgpack:"c,omitempty"`
	// Born is the upstream's start, by its own clock in Unix milliseconds; it
	// orders two starts. 0 if the upstream doesn't tell.
	Born int64 `msgpack:"o,omitempty"`
	// Sequence numbers the announcements of one start.
	Sequence uint64 `msgpack:"q"`
}

// newer orders two entries of one upstream. Leaving goes before the number of
// the announcement: nothing that was sent before can undo it.
func newer(a, b Entry) bool {
	order := cmp.Or(
		cmp.Compare(a.Born, b.Born),
		cmp.Compare(left(a), left(b)),
		cmp.Compare(a.Sequence, b.Sequence),
	)
	return order > 0
}

// left is 1 for an upstream that has left.
func left(e Entry) int {
	if e.State == Gone {
		return 1
	}
	return 0
}

// sameToRouters reports whether routers would treat two entries alike.
func sameToRouters(a, b Entry) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdFor, b.ColdFor = 0, 0
	return a == b
}

// record is an entry with what this process alone knows of it.
type record struct {
	Entry
	// heard is when anything was last heard of it, announced when it last
	// announced itself here, if ever.
	heard         time.Duration
	announced     time.Duration
	everAnnounced bool
	// bucket is the part of the list that it belongs to.
	bucket int
	// revision is the value of Roster.revision at the last change that matters
	// to routers.
	revision uint64
}

// Settings of a Roster.
type Settings struct {
	// ForgetGone is how long an upstream that has left is remembered, so that
	// its late announcements are known as such. Announcements arrive some
	// seconds late at most.
	ForgetGone time.Duration
	// ForgetSilent is how long an upstream that doesn't announce itself any
	// more is listed. It isn't unusable meanwhile: the way to the disk VMs may
	// be cut while the way to the routers works.
	ForgetSilent time.Duration
}

// DefaultSettings returns the defaults: ten times the longest delay seen of an
// announcement, and twenty-five times the usual interval between two.
func DefaultSettings() Settings {
	return Settings{ForgetGone: 60 * time.Second, ForgetSilent: 30 * time.Second}
}

// Roster holds the entries. It is not safe for concurrent use.
type Roster struct {
	settings Settings
	records  map[protocol.UpstreamID]*record
	// holder is the upstream that is at an address.
	holder   map[string]protocol.UpstreamID
	revision uint64
	// digest is that of the upstreams that haven't left, and usable their number.
	// Both are kept up with each change: a thousand upstreams that announce
	// themselves to a disk VM that has just started are a thousand changes.
	digest uint64
	usable int
	// bucketDigests are the same for each part of the list.
	bucketDigests [bucketCount]uint64
}

// emptyDigest is the digest of a roster without upstreams. It isn't 0, which to a
// follower means that it has no list yet.
const emptyDigest = 1

// New returns an empty roster.
func New(settings Settings) *Roster {
	return &Roster{
		settings: settings,
		records:  map[protocol.UpstreamID]*record{},
		holder:   map[string]protocol.UpstreamID{},
		digest:   emptyDigest,
	}
}

// ForgetSilent returns how long a silent upstream is listed.
func (r *Roster) ForgetSilent() time.Duration { return r.settings.ForgetSilent }

// Revision counts the changes that matter to routers.
func (r *Roster) Revision() uint64 { return r.revision }

// Digest tells rosters apart that routers would use differently. Upstreams that
// have left don't count, as they are forgotten at different times.
func (r *Roster) Digest() uint64 { return r.digest }

// Usable counts the upstreams that haven't left.
func (r *Roster) Usable() int { return r.usable }

// include counts an entry that hasn't left.
func (r *Roster) include(e Entry) {
	if e.State == Ready || e.State == Draining {
		digest := entryDigest(e)
		r.digest += digest
		r.bucketDigests[bucketOf(e.ID)] += digest
		r.usable++
	}
}

// exclude takes an entry back that was counted.
func (r *Roster) exclude(e Entry) {
	if e.State == Ready || e.State == Draining {
		digest := entryDigest(e)
		r.digest -= digest
		r.bucketDigests[bucketOf(e.ID)] -= digest
		r.usable--
	}
}

// entryDigest covers what matters to routers in an entry, as sameToRouters.
func entryDigest(e Entry) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\n%s\n%s\n%s\n%s\n%d %d %d", e.ID, e.Service, e.Address, e.DataCentre, e.Build, e.Slots, e.Born, e.State))
}

// Announced takes an upstream's own announcement. It reports whether anything
// changed that matters to routers.
func (r *Roster) Announced(now time.Duration, e Entry) bool {
	changed := r.Merge(now, e)
	if known := r.records[e.ID]; known != nil && known.Born == e.Born && known.Sequence == e.Sequence {
		known.announced = now
		known.everAnnounced = true
	}
	return changed
}

// Confirm takes an upstream's own announcement where nobody hears of changes. It
// reports false for one that says something new, which changes nothing here.
func (r *Roster) Confirm(now time.Duration, e Entry) bool {
	known := r.records[e.ID]
	if known == nil || !sameToRouters(known.Entry, e) {
		return false
	}
	known.Sequence = max(known.Sequence, e.Sequence)
	known.heard = now
	known.announced = now
	known.everAnnounced = true
	return true
}

// Merge takes an announcement or another VM's entry. It reports whether
// anything changed that matters to routers.
func (r *Roster) Merge(now time.Duration, e Entry) bool {
	known := r.records[e.ID]
	if known != nil && !newer(e, known.Entry) {
		return false
	}
	if r.addressTaken(e) {
		e.State = Gone
	}
	return r.store(now, known, e)
}

// addressTaken reports whether a later start is known at the entry's address.
func (r *Roster) addressTaken(e Entry) bool {
	other := r.records[r.holder[e.Address]]
	return e.State != Gone && other != nil && other.ID != e.ID && other.State != Gone && other.Born > e.Born
}

// store puts an entry in the place of what was known.
func (r *Roster) store(now time.Duration, known *record, e Entry) bool {
	changed := known == nil || !sameToRouters(known.Entry, e)
	if known == nil {
		known = &record{bucket: bucketOf(e.ID)}
		r.records[e.ID] = known
	}
	if changed {
		r.exclude(known.Entry)
		r.include(e)
	}
	known.Entry = e
	known.heard = now
	if changed {
		r.revision++
		known.revision = r.revision
	}
	if e.State != Gone {
		r.takeAddress(e)
	}
	return changed
}

// takeAddress makes an upstream the one at its address; the one that was there
// has ended without a word.
func (r *Roster) takeAddress(e Entry) {
	before := r.records[r.holder[e.Address]]
	r.holder[e.Address] = e.ID
	if before == nil || before.ID == e.ID || before.State == Gone || before.Address != e.Address {
		return
	}
	r.exclude(before.Entry)
	before.State = Gone
	r.revision++
	before.revision = r.revision
}

// Leave notes that an upstream says it has left. born and sequence are 0 where
// it doesn't tell; then its newest start is meant. It reports whether anything
// changed that matters to routers.
func (r *Roster) Leave(now time.Duration, id protocol.UpstreamID, born int64, sequence uint64) bool {
	e := Entry{ID: id, Born: born}
	if known := r.records[id]; known != nil && (born == 0 || born == known.Born) {
		e = known.Entry
	}
	e.State = Gone
	e.Sequence = max(e.Sequence, sequence)
	return r.Merge(now, e)
}

// Heard is the proof that an upstream still announces itself, for other VMs.
type Heard struct {
	ID       protocol.UpstreamID `msgpack:"i"`
	Born     int64               `msgpack:"o,omitempty"`
	Sequence uint64              `msgpack:"q"`
	// Content tells apart what the upstream may have said with that number.
	Content uint32 `msgpack:"c"`
}

// heardOf returns the proof for an entry.
func heardOf(e Entry) Heard {
	return Heard{ID: e.ID, Born: e.Born, Sequence: e.Sequence, Content: uint32(entryDigest(e))}
}

// Refresh takes what another VM has heard. It reports false for an entry that
// isn't known here as it is there, which has to be asked for.
//
// Failure: the word that an upstream drains is lost on its way to one VM, and a
// later proof of life arrives. With the new number on its old "ready", that VM
// would win over all others, and routers would send to an upstream that is
// leaving. The guard holds because a number is only taken with the content that
// was said under it.
func (r *Roster) Refresh(now time.Duration, h Heard) bool {
	known := r.records[h.ID]
	if known == nil || known.Born < h.Born {
		return false
	}
	if known.Born > h.Born || known.State == Gone || h.Sequence <= known.Sequence {
		return true
	}
	known.heard = now
	if heardOf(known.Entry).Content != h.Content {
		return false
	}
	known.Sequence = h.Sequence
	return true
}

// AllListed notes that a disk VM lists the same upstreams, which for a router is
// what announcements are for a disk VM.
func (r *Roster) AllListed(now time.Duration) {
	for _, known := range r.records {
		if known.State != Gone {
			known.heard = now
		}
	}
}

// Listed notes that a disk VM lists some upstreams.
func (r *Roster) Listed(now time.Duration, ids []protocol.UpstreamID) {
	for _, id := range ids {
		if known := r.records[id]; known != nil && known.State != Gone {
			known.heard = now
		}
	}
}

// AnnouncedSince returns the upstreams that announced themselves here after a
// time, and not those that other VMs have told of: each VM tells all others, and
// if they passed on what they were told, a fleet of five would send each proof
// twenty times in place of four.
func (r *Roster) AnnouncedSince(since time.Duration) []Heard {
	var heard []Heard
	for _, known := range r.records {
		if known.everAnnounced && known.announced > since && known.State != Gone {
			heard = append(heard, heardOf(known.Entry))
		}
	}
	slices.SortFunc(heard, func(a, b Heard) int { return cmp.Compare(a.ID, b.ID) })
	return heard
}

// ChangedSince returns the entries that changed after a revision, in order of
// their change.
func (r *Roster) ChangedSince(revision uint64) []Entry {
	var changed []*record
	for _, known := range r.records {
		if known.revision > revision {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.revision, b.revision) })
	entries := make([]Entry, 0, len(changed))
	for _, known := range changed {
		entries = append(entries, known.Entry)
	}
	return entries
}

// Entries returns all entries, by name.
func (r *Roster) Entries() []Entry { return r.EntriesIn(AllBuckets) }

// Entry returns what is known of an upstream.
func (r *Roster) Entry(id protocol.UpstreamID) (Entry, bool) {
	known := r.records[id]
	if known == nil {
		return Entry{}, false
	}
	return known.Entry, true
}

// Expire forgets what has left or been silent for long, and returns the
// upstreams that are dropped for their silence. Their end isn't told to
// others: each VM hears the silence by itself.
func (r *Roster) Expire(now time.Duration) []protocol.UpstreamID {
	var silent []protocol.UpstreamID
	for id, known := range r.records {
		keep := r.settings.ForgetSilent
		if known.State == Gone {
			keep = r.settings.ForgetGone
		}
		if now-known.heard < keep {
			continue
		}
		if known.State != Gone {
			silent = append(silent, id)
		}
		r.forget(id, known)
	}
	slices.Sort(silent)
	return silent
}

func (r *Roster) forget(id protocol.UpstreamID, known *record) {
	r.exclude(known.Entry)
	delete(r.records, id)
	if r.holder[known.Address] == id {
		delete(r.holder, known.Address)
	}
}
