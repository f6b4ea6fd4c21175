package diskvm

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/consensus"
	"endiveplank/coordination/control"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/diskstate"
	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/coordination/roster"
	"endiveplank/daemon/fabric"
	"endiveplank/daemon/lateness"
	"endiveplank/daemon/loglines"
	"endiveplank/protocol"
	"endiveplank/settings/direct"
	"endiveplank/state/disk"
	"endiveplank/state/replica"
	"endiveplank/transport/limited"
)

const (
	// tickInterval is how often the VM checks for due watches and membership changes, and
	// how long it batches changes of upstreams. An upstream that leaves must get no more
	// requests after two seconds.
	tickInterval = 50 * time.Millisecond
	// expireInterval is how often the VM looks for silent upstreams.
	expireInterval = time.Second
)

// Options configure a VM.
type Options struct {
	// Limits are what all clients together may take of the process.
	Limits   *limited.Budgets
	Settings direct.Settings
	// CheckTable returns an error if a table that an operator sends is invalid.
	CheckTable func(version uint64, body []byte) error
	Log        zerolog.Logger
	// Random is used by the VM alone after New was called.
	Random *rand.Rand
}

// VM is a running disk VM.
type VM struct {
	options     Options
	log         zerolog.Logger
	incarnation uint64
	started     time.Time
	folder      *disk.OS
	fabric      *fabric.Fabric
	machine     *diskstate.Machine
	saved       *savedState
	registry    metrics.Registry
	member      atomic.Pointer[replica.Replica]
	calls       calls
	// putMu serialises changes of the table on the leader.
	putMu sync.Mutex
	// orders counts the operators' orders on data centres that this VM has received.
	orders atomic.Uint64
	stalls stallDetector
	// noLeader belongs to tick.
	noLeader noLeaderWatch

	mu        sync.Mutex
	settings  direct.Settings
	roster    *roster.Roster
	publisher *control.Publisher
	// follower merges the rosters of the other disk VMs.
	follower     *control.Follower
	builds       listedBuilds
	quarantines  quarantines
	departures   departures
	expiredAt    time.Duration
	published    *document.Document
	loggedLeader protocol.RouterID
	// loggedEvacuations are the orders that a line was written for.
	loggedEvacuations []evacuation.Record

	quit chan struct{}
	done sync.WaitGroup
}

// peerDescriptorShare is the share of the file descriptors that the connections of the fleet's other
// processes may have.
const peerDescriptorShare = 0.4

// New opens the data folder and starts the VM. It returns the errors of the data folder and
// of the listener.
func New(options Options) (*VM, error) {
	folder, err := disk.Open(options.Settings.DataFolder)
	if err != nil {
		return nil, err
	}
	vm := &VM{
		options: options, settings: options.Settings, log: options.Log,
		incarnation: options.Random.Uint64(), started: time.Now(),
		folder: folder, machine: diskstate.NewMachine(), registry: metrics.NewRegistry(),
		calls: newCalls(options.Random.Uint64()), roster: roster.New(roster.DefaultSettings()), builds: listedBuilds{set: builds.NewSet()}, quarantines: newQuarantines(options.Random.Uint64()),
		departures: departures{unsaved: roster.NewUnsaved(rosterMaxAge)},
		quit:       make(chan struct{}),
	}
	self := options.Settings.Self()
	vm.publisher = control.NewPublisher(vm.roster, options.Settings.LinkRate())
	vm.publisher.SetFirstPush(options.Random.Uint64())
	vm.publisher.SetDurability(self, options.Settings.DiskLosses)
	vm.publisher.SetQuarantines(vm.quarantines.list)
	vm.saved, err = openSavedState(options.Settings.DataFolder)
	if err != nil {
		_ = folder.Close()
		return nil, err
	}
	vm.restore()
	vm.follower = control.NewFollower(self, false, options.Settings.SeedPeers(), vm.roster)
	vm.follower.SetQuarantines(vm.quarantines.list)
	vm.fabric = fabric.New(fabric.Options{
		Self: self, Listen: options.Settings.PeersListen(), DataCentre: options.Settings.DataCentre, Incarnation: vm.incarnation,
		Receiver: vm, MaxConnections: options.Limits.Connections(peerDescriptorShare), Log: options.Log,
	})
	if err := vm.fabric.Listen(); err != nil {
		vm.closeFolders()
		return nil, err
	}
	vm.done.Add(2)
	go vm.superviseMember()
	go vm.run()
	for _, file := range vm.saved.all() {
		vm.done.Add(1)
		go vm.writeSaved(file)
	}
	return vm, nil
}

// now returns the time since the start, by the monotonic clock. It stands still while the VM
// is suspended; nothing here depends on that.
func (vm *VM) now() time.Duration { return time.Since(vm.started) }

// run ticks and publishes tables until the VM stops.
func (vm *VM) run() {
	defer vm.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	monitor := lateness.New(vm.log)
	for {
		_, changed := vm.machine.InForce()
		_, ordered := vm.machine.Evacuations()
		vm.publishEvacuations()
		vm.publishTable()
		select {
		case <-vm.quit:
			return
		case <-changed:
		case <-ordered:
		case <-ticker.C:
			vm.stalls.ran(lateness.BootTime())
			monitor.Tick(tickInterval)
			vm.tick()
		}
	}
}

// tick sends watches, sends routers and the other disk VMs the changes of upstreams, and
// removes silent upstreams.
func (vm *VM) tick() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	vm.updateDiskVMs(now)
	vm.fabric.SendAll(vm.follower.Tick(now))
	vm.logEvents(vm.follower.Events())
	vm.noteBuilds(now)
	vm.tickQuarantines(now)
	vm.saveRosterAndCacheHolders(now)
	vm.tickDepartures(now)
	vm.fabric.SendAll(vm.publisher.PushChanges(now))
	vm.fabric.SendAll(vm.publisher.SendWaiting(now))
	vm.fabric.SendAll(vm.publisher.ShareCacheHolders(now, vm.options.Settings.Self()))
	if now-vm.expiredAt >= expireInterval {
		vm.expiredAt = now
		vm.quarantines.list.Expire(now)
		vm.publisher.ExpireDepartures()
		for _, id := range vm.roster.Expire(now) {
			vm.log.Warn().Str("event", "upstream-silent").Str("upstream", string(id)).Msg("no announcement for a long time, removed from the list")
		}
	}
}

// updateDiskVMs takes the list of disk VMs from the newest configuration in the log.
func (vm *VM) updateDiskVMs(now time.Duration) {
	member := vm.member.Load()
	if member == nil {
		return
	}
	status := member.Status()
	vm.logNoLeader(member.Now(), status)
	var vms []protocol.RouterID
	for _, m := range status.Configuration.Members() {
		vms = append(vms, m.Router)
	}
	slices.Sort(vms)
	vms = slices.Compact(vms)
	vm.publisher.SetDiskVMs(vms)
	for _, id := range vms {
		vm.follower.NoteDiskVM(now, id)
	}
	if leader := status.Leader.Router; leader != vm.loggedLeader {
		vm.loggedLeader = leader
		vm.log.Info().Str("event", "leader").Str("leader", string(leader)).Uint64("term", status.Term).Send()
	}
}

// publishTable announces a newer table to the routers. A member that starts again begins
// with its last snapshot, whose table may be older than the one that was announced.
func (vm *VM) publishTable() {
	inForce, change := vm.machine.Latest()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if inForce == nil || vm.published != nil && inForce.Version <= vm.published.Version {
		return
	}
	vm.published = inForce
	vm.saveTable(inForce)
	messages := vm.publisher.SetDocument(vm.now(), inForce, change)
	vm.log.Info().Str("event", "table-in-force").Uint64("version", inForce.Version).Int("bytes", len(inForce.Body)).Int("change_bytes", len(change.Delta)).Int("told", len(messages)).Send()
	vm.fabric.SendAll(messages)
}

// Receive implements fabric.Receiver.
func (vm *VM) Receive(from protocol.RouterID, body any) {
	switch m := body.(type) {
	case consensus.Message:
		if member := vm.member.Load(); member != nil {
			member.Receive(m)
		}
	case control.Put:
		go vm.handlePut(from, m)
	case control.Evacuate:
		go vm.handleEvacuate(from, m)
	case control.EvacuateReply:
		vm.calls.deliver(m.Call, m)
	case control.Read:
		go vm.handleRead(from, m)
	case control.PutReply:
		vm.calls.deliver(m.Call, m)
	case control.ReadReply:
		vm.calls.deliver(m.Call, m)
	default:
		vm.receiveControl(from, body)
	}
}

// receiveControl handles the messages about upstreams, routers and cache holders.
func (vm *VM) receiveControl(from protocol.RouterID, body any) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	switch m := body.(type) {
	case control.Watch:
		before := vm.quarantines.list.Digest()
		vm.fabric.SendAll(vm.publisher.HandleWatch(now, from, m))
		vm.logReceivedQuarantines(from, before)
	case control.Status:
		vm.fabric.SendAll(vm.follower.HandleStatus(now, from, m))
	case control.Changes:
		vm.handleChanges(now, from, m)
	case control.Announcements:
		vm.handleAnnouncements(now, from, m)
	case balance.CacheHolderList:
		vm.publisher.HandleCacheHolders(now, from, m)
	case builds.Read:
		vm.handleBuildsRead(now, from, m)
	case crashes.Crash:
		vm.handleCrash(now, m)
	case crashes.Sound:
		vm.quarantines.parts.HandleSound(now, from, m)
	case control.ChangesAck:
		vm.publisher.HandleChangesAck(from, m)
		vm.endDepartureWaits(now)
	case control.List:
		vm.follower.HandleList(now, from, m)
	case control.Heartbeats:
		for _, heartbeat := range m.Upstreams {
			// If the content differs, the digest of the sender's list differs too, so
			// this VM gets the entry with that list.
			_ = vm.roster.Refresh(now, heartbeat)
		}
	default:
		vm.log.Warn().Str("event", "message-refused").Str("from", string(from)).Type("type", body).Send()
	}
}

// logEvents writes a line for each event of the follower.
func (vm *VM) logEvents(events []control.Event) {
	for _, e := range events {
		if e.Kind == control.EventQuarantined {
			loglines.Quarantined(vm.log, e.Peer, e.Quarantine)
			continue
		}
		line := vm.log.Info().Str("event", e.Kind).Str("disk_vm", string(e.Peer)).Dur("age_ms", e.Age)
		if e.DataCentre != "" {
			line.Str("data_centre", string(e.DataCentre)).Uint64("revision", e.Version)
		}
		line.Send()
	}
}

// Reload applies changed settings. The seeds change at once; the consensus member uses the
// other settings from its next start.
func (vm *VM) Reload(changed direct.Settings) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.settings = changed
	vm.follower.SetSeeds(vm.now(), changed.SeedPeers())
	if member := vm.member.Load(); member != nil {
		vm.done.Add(1)
		go func() {
			defer vm.done.Done()
			vm.setPeers(member, changed.SeedPeers())
		}()
	}
	vm.log.Info().Str("event", "settings-reloaded").Strs("seeds", changed.Seeds).Send()
}

// Stop leaves the other disk VMs, ends all goroutines and closes the data folder.
func (vm *VM) Stop() {
	vm.leave()
	close(vm.quit)
	vm.done.Wait()
	vm.fabric.Close()
	vm.closeFolders()
}

// closeFolders closes the data folder and the folders in it.
func (vm *VM) closeFolders() {
	if err := errors.Join(vm.folder.Close(), vm.saved.close()); err != nil {
		vm.log.Warn().Str("event", "folder-not-closed").Err(err).Send()
	}
}
