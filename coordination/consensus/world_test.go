package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/protocol"
)

// stored is what a simulated disk holds.
type store struct {
	id     DiskID
	stored Stored
}

func (s *store) blank() bool { return s.stored.Snapshot.Index == 0 && len(s.stored.Entries) == 0 }

// write carries out the persistent part of an output.
func (s *store) write(o Output) {
	if o.Snapshot != nil {
		s.stored.Snapshot = *o.Snapshot
		s.stored.Entries = nil
	}
	if o.HardState != nil {
		s.stored.HardState = *o.HardState
	}
	if len(o.Entries) > 0 {
		kept := o.Entries[0].Index - s.stored.Snapshot.Index - 1
		s.stored.Entries = append(s.stored.Entries[:kept], o.Entries...)
	}
}

// compact drops entries that a snapshot covers.
func (s *store) compact(snapshot Snapshot) {
	s.stored.Entries = slices.Clone(s.stored.Entries[snapshot.Index-s.stored.Snapshot.Index:])
	s.stored.Snapshot = snapshot
}

// machine is a state machine whose state is a running checksum.
type machine struct {
	applied uint64
	sum     uint32
}

func (m *machine) encode() []byte { return binary.LittleEndian.AppendUint32(nil, m.sum) }

// host is one router of the world.
type host struct {
	router protocol.RouterID
	disk   store
	core   *Core
	// unsynced are outputs that were carried out and not synced.
	unsynced []Output
	machine  machine
	// Its clock shows offset + rate * true time.
	offset      time.Duration
	rate        float64
	frozenUntil time.Duration
	down        bool
	inbox       []Message
	reads       []Read
}

func (h *host) self() Member { return Member{Router: h.router, Disk: h.disk.id} }

// place is the identity of an entry.
type place struct{ index, term uint64 }

// content is what an entry must be the same in everywhere.
type content struct {
	previousTerm uint64
	sum          uint32
}

// committed is what was decided for one index, with the machine's sum then.
type committed struct {
	term uint64
	sum  uint32
}

// world steps several cores by hand or at random, and checks the invariants.
type world struct {
	random   *rand.Rand
	settings Settings
	off      rules
	sameDisk bool
	hosts    []*host
	now      time.Duration
	network  []Message
	cut      map[[2]protocol.RouterID]bool
	nextDisk DiskID
	proposed uint64
	counts   map[string]int
	// sent sees every message, if set.
	sent func(Message)

	leaders map[uint64]Member
	entries map[place]content
	decided []committed
	// decidedIn is the term in which each index was first committed.
	decidedIn []uint64
	answered  uint64
	violation string
}

// quickSettings make snapshots, back-off and flow control frequent.
func quickSettings() Settings {
	return Settings{
		KeepEntries: 5, ChunkBytes: 64, MaxInFlightBytes: 400, MaxAppendBytes: 200, MaxUncommittedBytes: 1000,
		SnapshotBytesPerSecond: 4000, SnapshotBurstBytes: 1000,
	}
}

func newWorld(seed uint64, hosts, voters int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 0)), settings: quickSettings(), cut: map[[2]protocol.RouterID]bool{},
		leaders: map[uint64]Member{}, entries: map[place]content{}, decided: make([]committed, 1), decidedIn: make([]uint64, 1), counts: map[string]int{},
	}
	for i := range hosts {
		w.settings.Peers = append(w.settings.Peers, protocol.RouterID(fmt.Sprintf("r%d", i+1)))
	}
	w.settings.InitialVoters = w.settings.Peers[:voters]
	for _, id := range w.settings.Peers {
		h := &host{router: id, rate: 1}
		w.hosts = append(w.hosts, h)
		w.format(h)
		w.start(h)
	}
	return w
}

// format gives a host an empty disk.
func (w *world) format(h *host) {
	w.nextDisk++
	id := w.nextDisk
	if w.sameDisk && h.disk.id != 0 {
		id = h.disk.id
	}
	h.disk = store{id: id}
}

// start boots a host from its disk.
func (w *world) start(h *host) {
	settings := w.settings
	settings.Self = h.self()
	h.down = false
	h.unsynced = nil
	h.inbox = nil
	h.core = New(settings, h.disk.stored, w.clock(h), rand.New(rand.NewPCG(w.random.Uint64(), 0)))
	h.core.off = w.off
	h.machine = machine{}
	if s := h.disk.stored.Snapshot; s.Index > 0 {
		w.restore(h, s)
	}
}

// clock returns the time a host's clock shows.
func (w *world) clock(h *host) time.Duration {
	return h.offset + time.Duration(float64(w.now)*h.rate)
}

func (w *world) frozen(h *host) bool { return w.now < h.frozenUntil }

func (w *world) host(id protocol.RouterID) *host {
	return w.hosts[slices.Index(w.settings.Peers, id)]
}

// crash loses power: a random number of unsynced writes reached the disk.
func (w *world) crash(h *host) {
	for _, o := range h.unsynced[:w.random.IntN(len(h.unsynced)+1)] {
		h.disk.write(o)
	}
	h.down = true
	h.core = nil
}

// take carries out what follows from a host's inputs, without syncing.
func (w *world) take(h *host) {
	o := h.core.Take()
	w.noteEntries(h, o)
	w.network = append(w.network, o.Messages...)
	if o.Snapshot != nil {
		w.restore(h, *o.Snapshot)
	}
	for _, e := range o.Committed {
		w.apply(h, e)
	}
	for _, e := range o.Events {
		w.counts[string(e.Kind)]++
	}
	h.reads = append(h.reads, o.Reads...)
	w.noteLeader(h)
	if len(h.unsynced) == 0 && !o.MustSync() {
		w.network = append(w.network, o.AfterSync...)
		return
	}
	h.unsynced = append(h.unsynced, o)
}

// sync makes a host's writes last and sends what waited for it.
func (w *world) sync(h *host) {
	if len(h.unsynced) == 0 {
		return
	}
	for _, o := range h.unsynced {
		h.disk.write(o)
		w.network = append(w.network, o.AfterSync...)
	}
	last := h.unsynced[len(h.unsynced)-1].Sequence
	h.unsynced = nil
	h.core.Persisted(w.clock(h), last)
	w.take(h)
}

// receive hands a message to its host, unless it is lost on the way.
func (w *world) receive(m Message) {
	h := w.host(m.To.Router)
	if h.down || w.cut[[2]protocol.RouterID{m.From.Router, m.To.Router}] {
		return
	}
	if w.frozen(h) {
		h.inbox = append(h.inbox, m)
		return
	}
	for _, late := range append(h.inbox, m) {
		h.core.Receive(w.clock(h), late)
	}
	h.inbox = nil
	w.take(h)
}

// tick lets a host notice the time.
func (w *world) tick(h *host) {
	if h.down || w.frozen(h) {
		return
	}
	h.core.Tick(w.clock(h))
	w.take(h)
}

// propose hands a command to a host that thinks it leads.
func (w *world) propose(h *host) bool {
	w.proposed++
	_, _, err := h.core.Propose(w.clock(h), binary.LittleEndian.AppendUint64(nil, w.proposed))
	w.take(h)
	return err == nil
}

// compact writes a snapshot of what a host has applied.
func (w *world) compact(h *host) {
	w.sync(h)
	for len(h.unsynced) > 0 {
		w.sync(h)
	}
	if h.disk.stored.Snapshot.Index+uint64(len(h.disk.stored.Entries)) < h.machine.applied {
		return
	}
	if s, ok := h.core.Compact(h.machine.applied, h.machine.encode()); ok {
		h.disk.compact(s)
		w.counts["snapshot-written"]++
	}
}

// run lets time pass without faults: all messages arrive, all writes sync.
func (w *world) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += step {
		for _, h := range w.hosts {
			w.tick(h)
		}
		for w.drain() {
		}
		w.checkLease()
	}
}

// drain syncs and delivers once; false means that nothing was left to do.
func (w *world) drain() bool {
	busy := false
	for _, h := range w.hosts {
		if !h.down && !w.frozen(h) && len(h.unsynced) > 0 {
			w.sync(h)
			busy = true
		}
	}
	arriving := w.network
	w.network = nil
	for _, m := range arriving {
		if w.sent != nil {
			w.sent(m)
		}
		w.receive(m)
		busy = true
	}
	return busy
}

// leader returns the host that leads in the highest term, or nil.
func (w *world) leader() *host {
	var found *host
	for _, h := range w.hosts {
		if !h.down && h.core.role == Leader && (found == nil || h.core.term > found.core.term) {
			found = h
		}
	}
	return found
}

// isolate cuts a host off from all others, or joins it again.
func (w *world) isolate(h *host, apart bool) {
	for _, other := range w.hosts {
		w.cut[[2]protocol.RouterID{h.router, other.router}] = apart && other != h
		w.cut[[2]protocol.RouterID{other.router, h.router}] = apart && other != h
	}
}

// fail notes the first broken invariant.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// noteLeader checks that a term has one leader and that it holds everything
// committed in earlier terms. Late votes may make a leader of an old term
// beside one of a newer term; it need not hold what the newer one committed.
func (w *world) noteLeader(h *host) {
	if h.core.role != Leader || w.leaders[h.core.term] == h.self() {
		return
	}
	if other, led := w.leaders[h.core.term]; led {
		w.fail("term %d has two leaders, %s and %s", h.core.term, other, h.self())
	}
	w.leaders[h.core.term] = h.self()
	for index := h.core.log.base + 1; index < uint64(len(w.decided)); index++ {
		term, held := h.core.log.term(index)
		if w.decidedIn[index] < h.core.term && (!held || term != w.decided[index].term) {
			w.fail("leader %s of term %d lacks committed entry %d", h.self(), h.core.term, index)
			return
		}
	}
}

// noteEntries checks log matching: index and term decide an entry and what
// precedes it.
func (w *world) noteEntries(h *host, o Output) {
	for _, e := range o.Entries {
		previous, held := h.core.log.term(e.Index - 1)
		if !held {
			continue
		}
		c := content{previousTerm: previous, sum: crc32.ChecksumIEEE(append([]byte{byte(e.Kind)}, e.Data...))}
		key := place{e.Index, e.Term}
		if known, ok := w.entries[key]; ok && known != c {
			w.fail("entry %d of term %d differs on %s", e.Index, e.Term, h.self())
		}
		w.entries[key] = c
	}
}

// apply checks a committed entry against what was decided for its index.
func (w *world) apply(h *host, e Entry) {
	if e.Index != h.machine.applied+1 {
		w.fail("%s applies entry %d after %d", h.self(), e.Index, h.machine.applied)
		return
	}
	h.machine.applied = e.Index
	h.machine.sum = crc32.Update(h.machine.sum, castagnoli, append(binary.LittleEndian.AppendUint64(nil, e.Term), e.Data...))
	now := committed{term: e.Term, sum: h.machine.sum}
	if e.Index == uint64(len(w.decided)) {
		w.decided = append(w.decided, now)
		w.decidedIn = append(w.decidedIn, h.core.term)
	}
	if w.decided[e.Index] != now {
		w.fail("%s commits another entry %d than was decided", h.self(), e.Index)
	}
	if h.core.role == Leader {
		w.answered = max(w.answered, e.Index)
	}
}

// restore loads a snapshot and compares it with what was decided.
func (w *world) restore(h *host, s Snapshot) {
	h.machine = machine{applied: s.Index, sum: binary.LittleEndian.Uint32(s.Data)}
	if s.Index >= uint64(len(w.decided)) || w.decided[s.Index] != (committed{s.Term, h.machine.sum}) {
		w.fail("snapshot at %d on %s differs from what was decided", s.Index, h.self())
	}
}

// checkLease checks in true time that one host at most may serve reads, and
// that it has applied everything that any leader answered.
func (w *world) checkLease() {
	var holder *host
	for _, h := range w.hosts {
		if h.down || !h.core.HoldsLease(w.clock(h)) {
			continue
		}
		if holder != nil {
			w.fail("%s and %s both hold the lease", holder.self(), h.self())
		}
		holder = h
		if h.machine.applied < w.answered {
			w.fail("%s serves a stale read: applied %d, answered %d", h.self(), h.machine.applied, w.answered)
		}
	}
}
