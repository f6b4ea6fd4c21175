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

// simulatedDisk is a disk and its content.
type simulatedDisk struct {
	id     DiskID
	stored Stored
}

func (s *simulatedDisk) blank() bool {
	return s.stored.Snapshot.Index == 0 && len(s.stored.Entries) == 0
}

// write persists an output.
func (s *simulatedDisk) write(o Output) {
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

// compact drops the entries that a snapshot covers.
func (s *simulatedDisk) compact(snapshot Snapshot) {
	s.stored.Entries = slices.Clone(s.stored.Entries[snapshot.Index-s.stored.Snapshot.Index:])
	s.stored.Snapshot = snapshot
}

// machine is a state machine whose state is a running checksum.
type machine struct {
	applied uint64
	sum     uint32
}

func (m *machine) encode() []byte { return binary.LittleEndian.AppendUint32(nil, m.sum) }

// host is one router of the simulation.
type host struct {
	router protocol.RouterID
	disk   simulatedDisk
	core   *Core
	// unsynced are outputs that were carried out but are not yet on disk.
	unsynced []Output
	machine  machine
	// The clock of the host shows offset + rate * true time.
	offset      time.Duration
	rate        float64
	frozenUntil time.Duration
	down        bool
	inbox       []Message
	reads       []Read
}

func (h *host) self() Member { return Member{Router: h.router, Disk: h.disk.id} }

// entryID identifies an entry.
type entryID struct{ index, term uint64 }

// entryContent is what must be equal on all hosts for one entryID.
type entryContent struct {
	previousTerm uint64
	sum          uint32
}

// decision is the committed entry at one index: its term, and the checksum of
// the state machine after it.
type decision struct {
	term uint64
	sum  uint32
}

// simulation runs several cores, step by step or with random actions, and
// checks the invariants.
type simulation struct {
	random   *rand.Rand
	settings Settings
	unsafe   unsafeOptions
	sameDisk bool
	hosts    []*host
	now      time.Duration
	network  []Message
	cutLinks map[[2]protocol.RouterID]bool
	nextDisk DiskID
	proposed uint64
	counts   map[string]int
	// onSend is called with every message that drain delivers, if it is set.
	onSend func(Message)

	leaders map[uint64]Member
	entries map[entryID]entryContent
	decided []decision
	// decidedInTerm is the term in which each index was first committed.
	decidedInTerm   []uint64
	highestAnswered uint64
	violation       string
}

// smallLimits returns settings with which snapshots, rejected entries and flow
// control are frequent.
func smallLimits() Settings {
	return Settings{
		KeepEntries: 5, ChunkBytes: 64, MaxInFlightBytes: 400, MaxAppendBytes: 200, MaxUncommittedBytes: 1000,
		SnapshotBytesPerSecond: 4000, SnapshotBurstBytes: 1000,
	}
}

func newSimulation(seed uint64, hosts, voters int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), settings: smallLimits(), cutLinks: map[[2]protocol.RouterID]bool{},
		leaders: map[uint64]Member{}, entries: map[entryID]entryContent{}, decided: make([]decision, 1), decidedInTerm: make([]uint64, 1), counts: map[string]int{},
	}
	for i := range hosts {
		sim.settings.Peers = append(sim.settings.Peers, protocol.RouterID(fmt.Sprintf("r%d", i+1)))
	}
	sim.settings.InitialVoters = sim.settings.Peers[:voters]
	for _, id := range sim.settings.Peers {
		h := &host{router: id, rate: 1}
		sim.hosts = append(sim.hosts, h)
		sim.format(h)
		sim.start(h)
	}
	return sim
}

// format gives a host an empty disk.
func (sim *simulation) format(h *host) {
	sim.nextDisk++
	id := sim.nextDisk
	if sim.sameDisk && h.disk.id != 0 {
		id = h.disk.id
	}
	h.disk = simulatedDisk{id: id}
}

// start boots a host from its disk.
func (sim *simulation) start(h *host) {
	settings := sim.settings
	settings.Self = h.self()
	h.down = false
	h.unsynced = nil
	h.inbox = nil
	h.core = New(settings, h.disk.stored, sim.clock(h), rand.New(rand.NewPCG(sim.random.Uint64(), 0)))
	h.core.unsafe = sim.unsafe
	h.machine = machine{}
	if s := h.disk.stored.Snapshot; s.Index > 0 {
		sim.restore(h, s)
	}
}

// clock returns the time that the clock of a host shows.
func (sim *simulation) clock(h *host) time.Duration {
	return h.offset + time.Duration(float64(sim.now)*h.rate)
}

func (sim *simulation) frozen(h *host) bool { return sim.now < h.frozenUntil }

func (sim *simulation) host(id protocol.RouterID) *host {
	return sim.hosts[slices.Index(sim.settings.Peers, id)]
}

// crash simulates a power loss: a random number of the unsynced writes reach
// the disk.
func (sim *simulation) crash(h *host) {
	for _, o := range h.unsynced[:sim.random.IntN(len(h.unsynced)+1)] {
		h.disk.write(o)
	}
	h.down = true
	h.core = nil
}

// take carries out the work that results from the inputs of a host, without
// syncing.
func (sim *simulation) take(h *host) {
	o := h.core.Take()
	sim.checkEntries(h, o)
	sim.network = append(sim.network, o.Messages...)
	if o.Snapshot != nil {
		sim.restore(h, *o.Snapshot)
	}
	for _, e := range o.Committed {
		sim.apply(h, e)
	}
	for _, e := range o.Events {
		sim.counts[string(e.Kind)]++
	}
	h.reads = append(h.reads, o.Reads...)
	sim.checkLeader(h)
	if len(h.unsynced) == 0 && !o.MustSync() {
		sim.network = append(sim.network, o.AfterSync...)
		return
	}
	h.unsynced = append(h.unsynced, o)
}

// sync persists the outstanding writes of a host and sends the messages that
// waited for them.
func (sim *simulation) sync(h *host) {
	if len(h.unsynced) == 0 {
		return
	}
	for _, o := range h.unsynced {
		h.disk.write(o)
		sim.network = append(sim.network, o.AfterSync...)
	}
	last := h.unsynced[len(h.unsynced)-1].Sequence
	h.unsynced = nil
	h.core.Persisted(sim.clock(h), last)
	sim.take(h)
}

// receive delivers a message to its host, unless the host is down or the link
// is cut.
func (sim *simulation) receive(m Message) {
	h := sim.host(m.To.Router)
	if h.down || sim.cutLinks[[2]protocol.RouterID{m.From.Router, m.To.Router}] {
		return
	}
	if sim.frozen(h) {
		h.inbox = append(h.inbox, m)
		return
	}
	for _, late := range append(h.inbox, m) {
		h.core.Receive(sim.clock(h), late)
	}
	h.inbox = nil
	sim.take(h)
}

// tick passes the current time to a host.
func (sim *simulation) tick(h *host) {
	if h.down || sim.frozen(h) {
		return
	}
	h.core.Tick(sim.clock(h))
	sim.take(h)
}

// propose proposes a command at a host that considers itself the leader.
func (sim *simulation) propose(h *host) bool {
	sim.proposed++
	_, _, err := h.core.Propose(sim.clock(h), binary.LittleEndian.AppendUint64(nil, sim.proposed))
	sim.take(h)
	return err == nil
}

// compact writes a snapshot of the state that a host has applied.
func (sim *simulation) compact(h *host) {
	sim.sync(h)
	for len(h.unsynced) > 0 {
		sim.sync(h)
	}
	if h.disk.stored.Snapshot.Index+uint64(len(h.disk.stored.Entries)) < h.machine.applied {
		return
	}
	if s, ok := h.core.Compact(h.machine.applied, h.machine.encode()); ok {
		h.disk.compact(s)
		sim.counts["snapshot-written"]++
	}
}

// run lets time pass without faults: all messages arrive, all writes sync.
func (sim *simulation) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := sim.now + d; sim.now < end; sim.now += step {
		for _, h := range sim.hosts {
			sim.tick(h)
		}
		for sim.drain() {
		}
		sim.checkLease()
	}
}

// drain syncs and delivers once. It returns false if there was nothing to do.
func (sim *simulation) drain() bool {
	busy := false
	for _, h := range sim.hosts {
		if !h.down && !sim.frozen(h) && len(h.unsynced) > 0 {
			sim.sync(h)
			busy = true
		}
	}
	arriving := sim.network
	sim.network = nil
	for _, m := range arriving {
		if sim.onSend != nil {
			sim.onSend(m)
		}
		sim.receive(m)
		busy = true
	}
	return busy
}

// leader returns the host that leads in the highest term, or nil.
func (sim *simulation) leader() *host {
	var found *host
	for _, h := range sim.hosts {
		if !h.down && h.core.role == Leader && (found == nil || h.core.term > found.core.term) {
			found = h
		}
	}
	return found
}

// isolate cuts all links of a host, or restores them.
func (sim *simulation) isolate(h *host, apart bool) {
	for _, other := range sim.hosts {
		sim.cutLinks[[2]protocol.RouterID{h.router, other.router}] = apart && other != h
		sim.cutLinks[[2]protocol.RouterID{other.router, h.router}] = apart && other != h
	}
}

// fail records the first broken invariant.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// checkLeader checks that a term has one leader and that this leader holds
// everything committed in earlier terms. Late votes may elect a leader of an
// old term beside the leader of a newer term; it need not hold what the newer
// one committed.
func (sim *simulation) checkLeader(h *host) {
	if h.core.role != Leader || sim.leaders[h.core.term] == h.self() {
		return
	}
	if other, led := sim.leaders[h.core.term]; led {
		sim.fail("term %d has two leaders, %s and %s", h.core.term, other, h.self())
	}
	sim.leaders[h.core.term] = h.self()
	for index := h.core.log.base + 1; index < uint64(len(sim.decided)); index++ {
		term, held := h.core.log.term(index)
		if sim.decidedInTerm[index] < h.core.term && (!held || term != sim.decided[index].term) {
			sim.fail("leader %s of term %d lacks committed entry %d", h.self(), h.core.term, index)
			return
		}
	}
}

// checkEntries checks the log matching property: entries with the same index
// and term are equal, and so are the entries before them.
func (sim *simulation) checkEntries(h *host, o Output) {
	for _, e := range o.Entries {
		previous, held := h.core.log.term(e.Index - 1)
		if !held {
			continue
		}
		c := entryContent{previousTerm: previous, sum: crc32.ChecksumIEEE(append([]byte{byte(e.Kind)}, e.Data...))}
		key := entryID{e.Index, e.Term}
		if known, ok := sim.entries[key]; ok && known != c {
			sim.fail("entry %d of term %d differs on %s", e.Index, e.Term, h.self())
		}
		sim.entries[key] = c
	}
}

// apply applies a committed entry and compares it with what was decided for its
// index.
func (sim *simulation) apply(h *host, e Entry) {
	if e.Index != h.machine.applied+1 {
		sim.fail("%s applies entry %d after %d", h.self(), e.Index, h.machine.applied)
		return
	}
	h.machine.applied = e.Index
	h.machine.sum = crc32.Update(h.machine.sum, castagnoli, append(binary.LittleEndian.AppendUint64(nil, e.Term), e.Data...))
	applied := decision{term: e.Term, sum: h.machine.sum}
	if e.Index == uint64(len(sim.decided)) {
		sim.decided = append(sim.decided, applied)
		sim.decidedInTerm = append(sim.decidedInTerm, h.core.term)
	}
	if sim.decided[e.Index] != applied {
		sim.fail("%s commits another entry %d than was decided", h.self(), e.Index)
	}
	if h.core.role == Leader {
		sim.highestAnswered = max(sim.highestAnswered, e.Index)
	}
}

// restore loads a snapshot and compares it with what was decided.
func (sim *simulation) restore(h *host, s Snapshot) {
	h.machine = machine{applied: s.Index, sum: binary.LittleEndian.Uint32(s.Data)}
	if s.Index >= uint64(len(sim.decided)) || sim.decided[s.Index] != (decision{s.Term, h.machine.sum}) {
		sim.fail("snapshot at %d on %s differs from what was decided", s.Index, h.self())
	}
}

// checkLease checks in true time that at most one host may serve reads, and
// that this host has applied everything that a leader has answered.
func (sim *simulation) checkLease() {
	var holder *host
	for _, h := range sim.hosts {
		if h.down || !h.core.HoldsLease(sim.clock(h)) {
			continue
		}
		if holder != nil {
			sim.fail("%s and %s both hold the lease", holder.self(), h.self())
		}
		holder = h
		if h.machine.applied < sim.highestAnswered {
			sim.fail("%s serves a stale read: applied %d, answered %d", h.self(), h.machine.applied, sim.highestAnswered)
		}
	}
}
