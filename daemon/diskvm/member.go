package diskvm

import (
	"context"
	"errors"
	"time"

	"endiveplank/coordination/consensus"
	"endiveplank/coordination/consensus/repair"
	"endiveplank/protocol"
	"endiveplank/state/replica"
	"endiveplank/state/wal"
)

// Timing of consensus.
//
// Operators' changes have to be answered within seconds while a leader is lost. A
// disk that takes tens of times as long as usual is far from the election timeout,
// and several heartbeats fit into it, so a lost one elects nobody.
const (
	heartbeat       = 150 * time.Millisecond
	electionTimeout = 750 * time.Millisecond
	// silentAfter is how long a voter may be silent before it goes, where that
	// lowers the quorum and not what can be borne (see package repair). A VM
	// that was replaced must be out before the next loss, some seconds later.
	silentAfter = 2500 * time.Millisecond
	// forgetLearner is how long a learner may be silent.
	forgetLearner = 30 * time.Second
	// mostVoters bounds the quorum: seven disk VMs bear the loss of three.
	mostVoters = 7
	// snapshotRate bounds snapshot traffic in bytes a second: a whole table goes at
	// once, and a small link keeps most of its room for the rest.
	snapshotRate  = 64 << 10
	snapshotBurst = 256 << 10
	// snapshotEvery bounds the log, in changes: its replay and its size on a disk.
	snapshotEvery = 256
	segmentBytes  = 1 << 20
	// restartDelay is how long a member waits after its disk failed before it
	// opens the folder again.
	restartDelay = 300 * time.Millisecond
	// handOverPatience is how long a stopping leader waits for its successor:
	// twice a round to the voters and a slow sync.
	handOverPatience = 300 * time.Millisecond
)

// keepMember runs the consensus member, and starts it again when its disk has
// failed.
//
// Failure: the disk is full for some seconds. The member stops at the first
// write that fails, as it must; ending the process would help nobody, and a
// member that never returned would be one voter less for good.
func (vm *VM) keepMember() {
	defer vm.done.Done()
	for {
		vm.runMember()
		select {
		case <-vm.quit:
			return
		case <-time.After(restartDelay):
		}
	}
}

// runMember runs one member until it stops by itself or the VM does.
func (vm *VM) runMember() {
	member, err := replica.New(vm.memberConfig())
	var damaged wal.CorruptionError
	if errors.As(err, &damaged) {
		vm.giveUpFolder(err)
		return
	}
	if err != nil {
		vm.log.Error().Str("event", "member-not-started").Err(err).Send()
		return
	}
	member.Start()
	vm.member.Store(member)
	status := member.Status()
	vm.log.Info().Str("event", "member-started").Stringer("member", status.Self).Uint64("term", status.Term).Uint64("last", status.Last).Send()
	select {
	case <-vm.quit:
		member.Stop()
	case <-member.Done():
		vm.member.Store(nil)
		vm.log.Error().Str("event", "member-stopped").Msg("the disk failed; the member starts again when it takes writes")
	}
}

// memberConfig returns how the member runs.
func (vm *VM) memberConfig() replica.Config {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	config := replica.Config{
		Self: vm.settings.Self(), Peers: vm.settings.SeedPeers(), Open: true,
		Disk: vm.folder, Transport: transport{vm}, Machine: vm.machine, Random: vm.options.Random,
		Consensus: consensus.Settings{
			Heartbeat: heartbeat, ElectionTimeout: electionTimeout, Leaseless: true,
			SnapshotBytesPerSecond: snapshotRate, SnapshotBurstBytes: snapshotBurst,
		},
		Repair:        repair.Settings{Voters: mostVoters, Grow: true, Losses: vm.settings.DiskLosses, SilentAfter: silentAfter, RemoveLearnerAfter: forgetLearner},
		SnapshotEvery: snapshotEvery, SegmentBytes: segmentBytes,
		OnEvent:  vm.logConsensus,
		OnFailed: func(err error) { vm.log.Error().Str("event", "disk-failed").Err(err).Send() },
	}
	if vm.settings.FirstStart {
		config.InitialVoters = config.Peers
	}
	return config
}

// transport sends the member's messages.
type transport struct{ vm *VM }

// Send implements replica.Transport.
func (t transport) Send(to protocol.RouterID, m consensus.Message) { t.vm.fabric.Send(to, m) }

// logConsensus writes a line for each decision of the member.
func (vm *VM) logConsensus(e consensus.Event) {
	vm.log.Info().Str("event", string(e.Kind)).Uint64("term", e.Term).Stringer("member", e.Member).Str("reason", e.Reason).Send()
}

// giveUpFolder removes a damaged data folder's files, which leaves this VM as
// one that has lost its disk: it joins under a new identity and gets everything
// from the others.
//
// Failure: a data folder that can't be read would end the process at each start,
// and the fleet would run on one copy less until somebody came by.
func (vm *VM) giveUpFolder(cause error) {
	vm.log.Error().Str("event", "data-folder-given-up").Err(cause).Msg("damaged; this VM joins anew")
	names, err := vm.folder.List()
	if err != nil {
		vm.log.Error().Str("event", "data-folder-not-listed").Err(err).Send()
		return
	}
	for _, name := range names {
		if err := vm.folder.Remove(name); err != nil {
			vm.log.Error().Str("event", "file-not-removed").Str("file", name).Err(err).Send()
		}
	}
	if err := vm.folder.SyncDir(); err != nil {
		vm.log.Error().Str("event", "data-folder-not-synced").Err(err).Send()
	}
}

// setContacts tells the member whom to ask first.
func (vm *VM) setContacts(member *replica.Replica, seeds []protocol.RouterID) {
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	if err := member.SetContacts(ctx, seeds); err != nil {
		vm.log.Warn().Str("event", "contacts-not-set").Err(err).Send()
	}
}

// handOver gives leadership away before a planned stop, so that operators wait
// milliseconds for the next leader and not an election timeout.
func (vm *VM) handOver() {
	member := vm.member.Load()
	if member == nil || member.Status().Role != consensus.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverPatience)
	defer cancel()
	if err := member.TransferLeadership(ctx); err != nil {
		vm.log.Warn().Str("event", "not-handed-over").Err(err).Send()
		return
	}
	for ctx.Err() == nil && member.Status().Role == consensus.Leader {
		time.Sleep(10 * time.Millisecond)
	}
}
