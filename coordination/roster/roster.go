package roster

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// State says whether an upstream accepts requests.
type State uint8

const (
	// Ready upstreams accept new requests.
	Ready State = iota + 1
	// Draining upstreams finish the requests that they have and accept no new ones.
	Draining
	// Gone upstreams have left, or another upstream has taken their address.
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

// Entry holds what an upstream last announced about itself.
type Entry struct {
	ID      protocol.UpstreamID `msgpack:"i"`
	Service protocol.Service    `msgpack:"s"`
	// Address is IP:port.
	Address    string              `msgpack:"a"`
	DataCentre protocol.DataCentre `msgpack:"d"`
	// Build is the version of the upstream's software.
	Build string `msgpack:"b,omitempty"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int   `msgpack:"n,omitempty"`
	State State `msgpack:"t"`
	// ColdFor is how much longer the upstream stays cold, which means that it takes few
	// requests, when this entry was received or sent. See Roster.Aged.
	ColdFor time.Duration `msgpack:"c,omitempty"`
	// ColdCount is how often the upstream has become cold in this incarnation, as far as
	// any process has noticed.
	ColdCount uint64 `msgpack:"k,omitempty"`
	// StartedAt is the time of the upstream's start, by its own clock in Unix
	// milliseconds. It identifies the upstream's incarnation: a higher value is a
	// later one. It is 0 if the upstream doesn't send it.
	StartedAt int64 `msgpack:"o,omitempty"`
	// Sequence numbers the announcements of one incarnation.
	Sequence uint64 `msgpack:"q"`
}

// newer reports whether a is newer than b; both are entries of one upstream.
// Whether the upstream has left is compared before the sequence number, so no
// announcement of the same incarnation can undo that it left.
func newer(a, b Entry) bool {
	order := cmp.Or(
		cmp.Compare(a.StartedAt, b.StartedAt),
		cmp.Compare(leftRank(a), leftRank(b)),
		cmp.Compare(a.Sequence, b.Sequence),
	)
	return order > 0
}

// leftRank returns 1 for an upstream that has left, else 0.
func leftRank(e Entry) int {
	if e.State == Gone {
		return 1
	}
	return 0
}

// sameToRouters reports whether two entries differ in nothing that matters to
// routers.
func sameToRouters(a, b Entry) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdFor, b.ColdFor = 0, 0
	return a == b
}

// maxUsualDigestText is the size of the text that an entry's digest is made from, unless
// its names are unusually long.
const maxUsualDigestText = 192

// record is an entry with the bookkeeping of this process, which isn't sent to
// others.
type record struct {
	Entry
	// lastHeard is when this process last received anything about the upstream.
	// lastAnnounced is when the upstream last announced itself to this process.
	lastHeard     time.Duration
	lastAnnounced time.Duration
	// bucket is the bucket of the upstream's ID.
	bucket int
	// digest is the entry's digest if the upstream counts in the roster's digests, else 0.
	digest uint64
	// coldUntil is when the upstream's cold time ends.
	coldUntil time.Duration
	// departureConfirmed says that enough disk VMs have on disk that the upstream leaves.
	departureConfirmed bool
}

// Settings of a Roster.
type Settings struct {
	// ForgetGone is how long the entry of an upstream that has left is kept as a
	// tombstone, so that its late announcements are recognized as late.
	// Announcements arrive at most some seconds late.
	ForgetGone time.Duration
	// ForgetSilent is how long an upstream stays listed after it stops announcing
	// itself. It remains usable in that time, because its network path to the disk
	// VMs may be broken while the path between it and the routers works.
	ForgetSilent time.Duration
}

// DefaultSettings returns the defaults: ForgetGone is ten times the longest
// observed delay of an announcement, and ForgetSilent is twenty-five times the
// usual interval between two announcements.
func DefaultSettings() Settings {
	return Settings{ForgetGone: 60 * time.Second, ForgetSilent: 30 * time.Second}
}

// Roster holds the entries of all known upstreams. It is not safe for concurrent
// use.
type Roster struct {
	settings Settings
	records  map[protocol.UpstreamID]*record
	// upstreamAt maps each address to the upstream that holds it.
	upstreamAt map[string]protocol.UpstreamID
	// digest covers the upstreams that haven't left, and usable is their number.
	// Both are updated with each change and not computed anew, because a thousand
	// upstreams that announce themselves to a disk VM that has just started are a
	// thousand changes.
	digest uint64
	usable int
	// bucketDigests are the digests of the single buckets.
	bucketDigests [bucketCount]uint64
	changes       changeLog
	// announced holds the upstreams that have announced themselves to this process.
	announced map[protocol.UpstreamID]*record
	// refreshedAt is when RefreshAll last found all upstreams listed.
	refreshedAt time.Duration
	// nextExpiry is a time before which no entry expires.
	nextExpiry time.Duration
}

// emptyDigest is the digest of a roster without upstreams. It isn't 0, because a
// follower reads 0 as "no list received yet".
const emptyDigest = 1

// New returns an empty roster.
func New(settings Settings) *Roster {
	return &Roster{
		settings:   settings,
		records:    map[protocol.UpstreamID]*record{},
		upstreamAt: map[string]protocol.UpstreamID{},
		announced:  map[protocol.UpstreamID]*record{},
		digest:     emptyDigest,
	}
}

// ForgetSilent returns how long an upstream stays listed after it stops announcing
// itself.
func (r *Roster) ForgetSilent() time.Duration { return r.settings.ForgetSilent }

// Revision returns the number of changes so far that matter to routers.
func (r *Roster) Revision() uint64 { return r.changes.revision }

// Digest returns a digest that differs between rosters that routers would use
// differently. It leaves out upstreams that have left, because processes forget
// them at different times.
func (r *Roster) Digest() uint64 { return r.digest }

// Usable returns the number of upstreams that haven't left.
func (r *Roster) Usable() int { return r.usable }

// updateDigests makes the digests and usable follow a record's entry.
func (r *Roster) updateDigests(known *record) {
	before := known.digest
	known.digest = 0
	if known.State == Ready || known.State == Draining {
		known.digest = entryDigest(known.Entry)
	}
	r.digest += known.digest - before
	r.bucketDigests[known.bucket] += known.digest - before
	r.usable += listedCount(known.digest) - listedCount(before)
}

// listedCount returns 1 for the digest of an upstream that hasn't left, else 0.
func listedCount(digest uint64) int {
	if digest != 0 {
		return 1
	}
	return 0
}

// noteChange records a change that matters to routers.
func (r *Roster) noteChange(known *record) {
	r.updateDigests(known)
	r.changes.add(known.ID, len(r.records))
}

// entryDigest returns a digest of the fields that matter to routers, which are the
// fields that sameToRouters compares. It is never 0.
func entryDigest(e Entry) uint64 {
	text := make([]byte, 0, maxUsualDigestText)
	for _, field := range [...]string{string(e.ID), string(e.Service), e.Address, string(e.DataCentre), e.Build} {
		text = append(text, field...)
		text = append(text, '\n')
	}
	text = strconv.AppendInt(text, int64(e.Slots), 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, e.StartedAt, 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(e.State), 10)
	if e.ColdCount != 0 {
		text = append(text, ' ')
		text = strconv.AppendUint(text, e.ColdCount, 10)
	}
	return max(xxhash.Sum64(text), 1)
}

// RecordAnnouncement merges an announcement that the upstream itself sent to this
// process. It reports whether anything changed that matters to routers.
func (r *Roster) RecordAnnouncement(now time.Duration, e Entry) bool {
	e = r.withColdCount(now, e)
	changed := r.Merge(now, e)
	if known := r.records[e.ID]; known != nil && known.StartedAt == e.StartedAt && known.Sequence == e.Sequence {
		r.noteAnnounced(now, known)
	}
	return changed
}

// ConfirmUnchanged records an announcement that the upstream itself sent to this
// process, if it is a mere heartbeat. It is for a process that doesn't send changes
// to others. For an announcement that contains something new it reports false and
// leaves the roster unchanged.
func (r *Roster) ConfirmUnchanged(now time.Duration, e Entry) bool {
	known := r.records[e.ID]
	e = r.withColdCount(now, e)
	if known == nil || !sameToRouters(known.Entry, e) {
		return false
	}
	known.Sequence = max(known.Sequence, e.Sequence)
	known.lastHeard = now
	r.noteAnnounced(now, known)
	return true
}

// noteAnnounced records that an upstream announced itself to this process.
func (r *Roster) noteAnnounced(now time.Duration, known *record) {
	known.lastAnnounced = now
	r.announced[known.ID] = known
}

// Merge takes over an entry from an announcement or from another VM's roster if it
// is newer than the known one. An entry whose address belongs to an upstream that
// started later is stored as Gone. Merge reports whether anything changed that
// matters to routers.
func (r *Roster) Merge(now time.Duration, e Entry) bool {
	known := r.records[e.ID]
	if known != nil && !newer(e, known.Entry) {
		return r.raiseColdCount(known, e)
	}
	if r.addressTaken(e) {
		e.State = Gone
	}
	if known != nil && known.StartedAt == e.StartedAt {
		e.ColdCount = max(e.ColdCount, known.ColdCount)
	}
	return r.store(now, known, e)
}

// addressTaken reports whether an upstream that started later holds the entry's
// address.
func (r *Roster) addressTaken(e Entry) bool {
	other := r.records[r.upstreamAt[e.Address]]
	return e.State != Gone && other != nil && other.ID != e.ID && other.State != Gone && other.StartedAt > e.StartedAt
}

// store replaces the known entry of an upstream, if any, by e. It reports whether
// anything changed that matters to routers.
func (r *Roster) store(now time.Duration, known *record, e Entry) bool {
	changed := known == nil || !sameToRouters(known.Entry, e)
	if known == nil {
		known = &record{bucket: bucketOf(e.ID)}
		r.records[e.ID] = known
	}
	if e.State == Ready || e.StartedAt != known.StartedAt {
		known.departureConfirmed = false
	}
	known.Entry = e
	known.coldUntil = now + e.ColdFor
	known.lastHeard = now
	if changed {
		r.noteChange(known)
	}
	if e.State != Gone {
		r.claimAddress(e)
	}
	return changed
}

// claimAddress records an upstream as the holder of its address. An upstream that
// held the address before has ended without sending that it leaves, so it is
// marked as Gone.
func (r *Roster) claimAddress(e Entry) {
	before := r.records[r.upstreamAt[e.Address]]
	r.upstreamAt[e.Address] = e.ID
	if before == nil || before.ID == e.ID || before.State == Gone || before.Address != e.Address {
		return
	}
	before.lastHeard = r.heardAt(before)
	before.State = Gone
	r.noteChange(before)
}

// Leave records that an upstream has sent that it leaves. startedAt and sequence
// are 0 if it didn't send them; a startedAt of 0 means its latest incarnation.
// Leave reports whether anything changed that matters to routers.
func (r *Roster) Leave(now time.Duration, id protocol.UpstreamID, startedAt int64, sequence uint64) bool {
	e := Entry{ID: id, StartedAt: startedAt}
	if known := r.records[id]; known != nil && (startedAt == 0 || startedAt == known.StartedAt) {
		e = known.Entry
	}
	e.State = Gone
	e.Sequence = max(e.Sequence, sequence)
	return r.Merge(now, e)
}

// IsLeaving reports whether the newest incarnation of an upstream drains or has left.
func (r *Roster) IsLeaving(id protocol.UpstreamID) bool {
	known := r.records[id]
	return known != nil && known.State != Ready
}

// ConfirmDeparture records that enough disk VMs have on disk that an incarnation of an upstream
// leaves.
func (r *Roster) ConfirmDeparture(id protocol.UpstreamID, startedAt int64) {
	if known := r.records[id]; known != nil && known.StartedAt == startedAt && known.State != Ready {
		known.departureConfirmed = true
	}
}

// IsDepartureConfirmed reports whether enough disk VMs are known to have on disk that an upstream
// leaves.
func (r *Roster) IsDepartureConfirmed(id protocol.UpstreamID) bool {
	known := r.records[id]
	return known != nil && known.departureConfirmed
}

// Heartbeat tells other VMs that an upstream still announces itself, without the
// whole entry.
type Heartbeat struct {
	ID        protocol.UpstreamID `msgpack:"i"`
	StartedAt int64               `msgpack:"o,omitempty"`
	Sequence  uint64              `msgpack:"q"`
	// Content is a digest of the announcement with that sequence number.
	Content uint32 `msgpack:"c"`
}

// heartbeat returns the heartbeat of an upstream that hasn't left.
func (known *record) heartbeat() Heartbeat {
	return Heartbeat{ID: known.ID, StartedAt: known.StartedAt, Sequence: known.Sequence, Content: uint32(known.digest)}
}

// Refresh records a heartbeat that another VM has received. It reports false if
// that VM's entry differs from the one here, so that the whole entry is needed.
//
// Failure guarded against: the announcement that an upstream drains is lost on its
// way to one VM, and a later heartbeat arrives there. If that VM gave its old
// "ready" the new sequence number, its entry would win on all other VMs, and
// routers would send requests to an upstream that is leaving. So a sequence number
// is accepted only together with the content that was announced under it.
func (r *Roster) Refresh(now time.Duration, h Heartbeat) bool {
	known := r.records[h.ID]
	if known == nil || known.StartedAt < h.StartedAt {
		return false
	}
	if known.StartedAt > h.StartedAt || known.State == Gone || h.Sequence <= known.Sequence {
		return true
	}
	known.lastHeard = now
	if known.heartbeat().Content != h.Content {
		return false
	}
	known.Sequence = h.Sequence
	return true
}

// RefreshAll records that a disk VM lists the same upstreams as this roster, so that
// a router keeps them. An upstream announces itself to a disk VM or to one router, so
// most routers never hear from it and would otherwise drop it as silent. An upstream
// that no disk VM lists any more is still dropped.
func (r *Roster) RefreshAll(now time.Duration) { r.refreshedAt = now }

// heardAt returns when this process last received anything about an upstream.
func (r *Roster) heardAt(known *record) time.Duration {
	if known.State == Gone {
		return known.lastHeard
	}
	return max(known.lastHeard, r.refreshedAt)
}

// RefreshListed records that a disk VM lists the given upstreams.
func (r *Roster) RefreshListed(now time.Duration, ids []protocol.UpstreamID) {
	for _, id := range ids {
		if known := r.records[id]; known != nil && known.State != Gone {
			known.lastHeard = now
		}
	}
}

// HeartbeatsSince returns heartbeats of the upstreams that announced themselves to
// this process after the given time. It leaves out those known from other VMs
// alone. Each VM sends its heartbeats to all others; if VMs forwarded the ones that
// they receive, five VMs would send each heartbeat twenty times instead of four.
func (r *Roster) HeartbeatsSince(since time.Duration) []Heartbeat {
	var heartbeats []Heartbeat
	for _, known := range r.announced {
		if known.lastAnnounced > since && known.State != Gone {
			heartbeats = append(heartbeats, known.heartbeat())
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.ID, b.ID) })
	return heartbeats
}

// Entries returns all entries, sorted by ID.
func (r *Roster) Entries() []Entry { return r.EntriesIn(AllBuckets) }

// Entry returns the entry of an upstream and whether there is one.
func (r *Roster) Entry(id protocol.UpstreamID) (Entry, bool) {
	known := r.records[id]
	if known == nil {
		return Entry{}, false
	}
	return known.Entry, true
}

// Expire removes tombstones older than ForgetGone and upstreams that have been
// silent for ForgetSilent. It returns the upstreams removed for their silence.
// Their removal isn't sent to other VMs, because each VM detects the silence itself.
func (r *Roster) Expire(now time.Duration) []protocol.UpstreamID {
	if now < r.nextExpiry {
		return nil
	}
	// Entries that are added later expire later.
	r.nextExpiry = now + min(r.settings.ForgetSilent, r.settings.ForgetGone)
	var silent []protocol.UpstreamID
	for id, known := range r.records {
		expiry := r.heardAt(known) + r.keepFor(known)
		if now < expiry {
			r.nextExpiry = min(r.nextExpiry, expiry)
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

// keepFor returns how long an entry is kept after this process last received anything
// about it.
func (r *Roster) keepFor(known *record) time.Duration {
	if known.State == Gone {
		return r.settings.ForgetGone
	}
	return r.settings.ForgetSilent
}

// forget removes an upstream and frees its address.
func (r *Roster) forget(id protocol.UpstreamID, known *record) {
	known.State = Gone
	r.noteChange(known)
	delete(r.records, id)
	delete(r.announced, id)
	if r.upstreamAt[known.Address] == id {
		delete(r.upstreamAt, known.Address)
	}
}
