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
	"endiveplank/coordination/consensus"
	"endiveplank/coordination/control"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/daemon/fabric"
	"endiveplank/daemon/lateness"
	"endiveplank/protocol"
	"endiveplank/settings/direct"
	"endiveplank/state/disk"
	"endiveplank/state/replica"
)

const (
	// tickInterval is how often watches and the membership are looked at, and
	// how long changes of upstreams are gathered. A leaving upstream must get
	// no more work after two seconds.
	tickInterval = 50 * time.Millisecond
	// expireInterval is how often silent upstreams are looked for.
	expireInterval = time.Second
)

// Options of a VM.
type Options struct {
	Settings direct.Settings
	// CheckTable finds what is wrong with a table that an operator sends.
	CheckTable func(version uint64, body []byte) error
	Log        zerolog.Logger
	// Random is used by the VM alone from New on.
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
	machine     *document.Machine
	remembered  *remembered
	registry    metrics.Registry
	member      atomic.Pointer[replica.Replica]
	calls       calls
	// putting lets one change at a time through on the leader.
	putting sync.Mutex

	mu        sync.Mutex
	settings  direct.Settings
	roster    *roster.Roster
	publisher *control.Publisher
	// follower follows the rosters of the other disk VMs.
	follower  *control.Follower
	expired   time.Duration
	published *document.Document
	leader    protocol.RouterID

	quit chan struct{}
	done sync.WaitGroup
}

// New opens the data folder and starts all parts. Errors: those of the data
// folder and of the listener.
func New(options Options) (*VM, error) {
	folder, err := disk.Open(options.Settings.DataFolder)
	if err != nil {
		return nil, err
	}
	vm := &VM{
		options: options, settings: options.Settings, log: options.Log,
		incarnation: options.Random.Uint64(), started: time.Now(),
		folder: folder, machine: document.NewMachine(), registry: metrics.NewRegistry(),
		roster: roster.New(roster.DefaultSettings()),
		quit:   make(chan struct{}),
	}
	self := options.Settings.Self()
	vm.publisher = control.NewPublisher(vm.roster, options.Settings.LinkRate())
	vm.remembered, err = openRemembered(options.Settings.DataFolder)
	if err != nil {
		_ = folder.Close()
		return nil, err
	}
	vm.recall()
	vm.follower = control.NewFollower(self, false, options.Settings.SeedPeers(), vm.roster)
	vm.fabric = fabric.New(fabric.Options{
		Self: self, Listen: options.Settings.PeersListen(), DataCentre: options.Settings.DataCentre, Incarnation: vm.incarnation,
		Receiver: vm, Log: options.Log,
	})
	if err := vm.fabric.Listen(); err != nil {
		vm.closeFolders()
		return nil, err
	}
	vm.done.Add(2)
	go vm.keepMember()
	go vm.run()
	for _, m := range vm.remembered.all() {
		vm.done.Add(1)
		go vm.writeRemembered(m)
	}
	return vm, nil
}

// now is the time since the start, by the monotonic clock. It stands still
// while the VM is suspended, which nothing here depends on.
func (vm *VM) now() time.Duration { return time.Since(vm.started) }

// run does what is due until the VM stops.
func (vm *VM) run() {
	defer vm.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pace := lateness.New(vm.log)
	for {
		_, changed := vm.machine.InForce()
		select {
		case <-vm.quit:
			return
		case <-changed:
		case <-ticker.C:
			pace.Note(tickInterval)
			vm.tick()
		}
		vm.publishTable()
	}
}

// tick sends watches, tells the other disk VMs what was heard, and forgets who
// is silent.
func (vm *VM) tick() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	vm.noteMembership(now)
	vm.fabric.SendAll(vm.follower.Tick(now))
	vm.logEvents(vm.follower.Events())
	vm.rememberOften(now)
	vm.fabric.SendAll(vm.publisher.PushChanges(now))
	vm.fabric.SendAll(vm.publisher.SendWaiting(now))
	vm.fabric.SendAll(vm.publisher.ShareCacheHolders(now, vm.options.Settings.Self()))
	if now-vm.expired >= expireInterval {
		vm.expired = now
		for _, id := range vm.roster.Expire(now) {
			vm.log.Warn().Str("event", "upstream-silent").Str("upstream", string(id)).Msg("no announcement for long, not listed any more")
		}
	}
}

// noteMembership takes the disk VMs from the newest configuration of the log.
func (vm *VM) noteMembership(now time.Duration) {
	member := vm.member.Load()
	if member == nil {
		return
	}
	status := member.Status()
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
	if leader := status.Leader.Router; leader != vm.leader {
		vm.leader = leader
		vm.log.Info().Str("event", "leader").Str("leader", string(leader)).Uint64("term", status.Term).Send()
	}
}

// publishTable tells the routers of a newer table.
func (vm *VM) publishTable() {
	inForce, change := vm.machine.Latest()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if inForce == nil || inForce == vm.published {
		return
	}
	vm.published = inForce
	vm.rememberTable(inForce)
	sends := vm.publisher.SetDocument(vm.now(), inForce, change)
	vm.log.Info().Str("event", "table-in-force").Uint64("version", inForce.Version).Int("bytes", len(inForce.Body)).Int("change_bytes", len(change.Delta)).Int("told", len(sends)).Send()
	vm.fabric.SendAll(sends)
}

// Receive implements fabric.Receiver.
func (vm *VM) Receive(from protocol.RouterID, body any) {
	switch m := body.(type) {
	case consensus.Message:
		if member := vm.member.Load(); member != nil {
			member.Receive(m)
		}
	case control.Put:
		go vm.answerPut(from, m)
	case control.Read:
		go vm.answerRead(from, m)
	case control.PutReply:
		vm.calls.answer(m.Call, m)
	case control.ReadReply:
		vm.calls.answer(m.Call, m)
	default:
		vm.receiveShared(from, body)
	}
}

// receiveShared takes the messages that concern roster and followers.
func (vm *VM) receiveShared(from protocol.RouterID, body any) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	switch m := body.(type) {
	case control.Watch:
		vm.fabric.SendAll(vm.publisher.HandleWatch(now, from, m))
	case control.Status:
		vm.fabric.SendAll(vm.follower.HandleStatus(now, from, m))
	case control.Changes:
		vm.fabric.SendAll(vm.follower.HandleChanges(now, from, m))
	case control.Announcements:
		ack, changed := vm.publisher.HandleAnnouncements(now, from, m)
		for _, id := range changed {
			vm.logUpstream(id)
		}
		vm.fabric.Send(ack.To, ack.Body)
	case balance.CacheHolderList:
		vm.publisher.HandleCacheHolders(now, from, m)
	case control.ChangesAck:
		vm.publisher.HandleChangesAck(from, m)
	case control.List:
		vm.follower.HandleList(now, from, m)
	case control.Heartbeats:
		for _, heard := range m.Upstreams {
			// One that differs comes with the sender's list, whose digest differs too.
			_ = vm.roster.Refresh(now, heard)
		}
	default:
		vm.log.Warn().Str("event", "message-refused").Str("from", string(from)).Type("type", body).Send()
	}
}

// logEvents writes a line for each event of the follower.
func (vm *VM) logEvents(events []control.Event) {
	for _, e := range events {
		vm.log.Info().Str("event", e.Kind).Str("disk_vm", string(e.Peer)).Dur("age_ms", e.Age).Send()
	}
}

// Reload takes changed settings: seeds and the log's level.
func (vm *VM) Reload(changed direct.Settings) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.settings = changed
	vm.follower.SetSeeds(vm.now(), changed.SeedPeers())
	if member := vm.member.Load(); member != nil {
		vm.done.Add(1)
		go func() {
			defer vm.done.Done()
			vm.setContacts(member, changed.SeedPeers())
		}()
	}
	vm.log.Info().Str("event", "settings-reloaded").Strs("seeds", changed.Seeds).Send()
}

// Stop hands leadership over, ends all parts and closes the data folder.
func (vm *VM) Stop() {
	vm.handOver()
	close(vm.quit)
	vm.done.Wait()
	vm.fabric.Close()
	vm.closeFolders()
}

// closeFolders releases the data folders.
func (vm *VM) closeFolders() {
	if err := errors.Join(vm.folder.Close(), vm.remembered.close()); err != nil {
		vm.log.Warn().Str("event", "folder-not-closed").Err(err).Send()
	}
}
