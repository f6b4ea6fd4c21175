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
// Operators' changes have to be answered within seconds while a leader is lost. The election
// timeout is far above the time that a disk takes even at tens of times its usual latency,
// and covers several heartbeats, so that one lost heartbeat starts no election.
const (
	heartbeat       = 150 * time.Millisecond
	electionTimeout = 750 * time.Millisecond
	// silentVoterTimeout is how long a voter may be silent before it is removed. It is
	// removed only if the remaining voters then need a smaller quorum and can still bear
	// as many losses (see package repair). A VM that was replaced must be removed before the next loss, which
	// may follow some seconds later.
	silentVoterTimeout = 2500 * time.Millisecond
	// silentSurplusTimeout is the same for voters beyond those that the tolerated losses
	// need: several heartbeats.
	silentSurplusTimeout = electionTimeout
	// silentLearnerTimeout is how long a learner may be silent before it is removed.
	silentLearnerTimeout = 30 * time.Second
	// maxVoters bounds the quorum: seven disk VMs bear the loss of three.
	maxVoters = 7
	// snapshotRate and snapshotBurst bound snapshot traffic, in bytes a second and in
	// bytes. A whole table is sent at once, and a small link keeps most of its bandwidth
	// for other messages.
	snapshotRate  = 64 << 10
	snapshotBurst = 256 << 10
	// snapshotEvery is the number of changes after which a snapshot is taken. It bounds
	// the replay of the log and its size on disk.
	snapshotEvery = 256
	segmentBytes  = 1 << 20
	// restartDelay is how long a member waits after its disk failed before it
	// opens the folder again.
	restartDelay = 300 * time.Millisecond
	// transferTimeout is how long a stopping leader waits for its successor: two round
	// trips to the voters and a slow sync.
	transferTimeout = 300 * time.Millisecond
	// removalTimeout is how long a stopping VM that the others don't need waits until they
	// have removed it. They may have no leader for a while, and a stop may take seconds.
	removalTimeout = 3 * time.Second
)

// superviseMember runs the consensus member, and starts it again after its disk has failed.
//
// It guards against this failure: the disk is full for some seconds. The member has to stop
// at the first write that fails. Ending the process would not help, and a member that never
// restarts would leave the fleet with one voter less for good.
func (vm *VM) superviseMember() {
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

// runMember runs one member until its disk fails or the VM stops.
func (vm *VM) runMember() {
	member, err := replica.New(vm.memberConfig())
	var damaged wal.CorruptionError
	if errors.As(err, &damaged) {
		vm.discardDataFolder(err)
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
		vm.log.Error().Str("event", "member-stopped").Msg("the disk failed; the member restarts once the disk takes writes")
	}
}

// memberConfig returns the configuration of the consensus member.
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
		Repair:        repairSettings(vm.settings.DiskLosses),
		SnapshotEvery: snapshotEvery, SegmentBytes: segmentBytes,
		OnEvent:  vm.logConsensus,
		OnFailed: func(err error) { vm.log.Error().Str("event", "disk-failed").Err(err).Send() },
	}
	if vm.settings.FirstStart {
		config.InitialVoters = config.Peers
	}
	return config
}

// repairSettings returns the settings of package repair for disk VMs that have to bear a
// number of losses at once.
func repairSettings(losses int) repair.Settings {
	return repair.Settings{
		Voters: maxVoters, Grow: true, Losses: losses,
		SilentAfter: silentVoterTimeout, SurplusSilentAfter: silentSurplusTimeout, RemoveLearnerAfter: silentLearnerTimeout,
	}
}

// transport sends the member's messages to other disk VMs.
type transport struct{ vm *VM }

// Send implements replica.Transport.
func (t transport) Send(to protocol.RouterID, m consensus.Message) { t.vm.fabric.Send(to, m) }

// logConsensus writes a line for each consensus event.
func (vm *VM) logConsensus(e consensus.Event) {
	vm.log.Info().Str("event", string(e.Kind)).Uint64("term", e.Term).Stringer("member", e.Member).Str("reason", e.Reason).Send()
}

// discardDataFolder removes the files of a damaged data folder. The VM then joins under a
// new identity, like one that has lost its disk, and receives everything from the others.
//
// It guards against this failure: a data folder that can't be read would end the process at
// each start, and the fleet would run with one copy less until an operator intervened.
func (vm *VM) discardDataFolder(cause error) {
	vm.log.Error().Str("event", "data-folder-given-up").Err(cause).Msg("the data folder is damaged; this VM removes its files and joins anew")
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

// setPeers sets the disk VMs that the member contacts first.
func (vm *VM) setPeers(member *replica.Replica, seeds []protocol.RouterID) {
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	if err := member.SetPeers(ctx, seeds); err != nil {
		vm.log.Warn().Str("event", "contacts-not-set").Err(err).Send()
	}
}

// leave tells the other disk VMs before a planned stop. If this VM leads, another one leads
// first, so that operators wait milliseconds for the next leader and not an election
// timeout. A VM whose vote the others don't need may never return, so it runs on until they
// have removed it.
func (vm *VM) leave() {
	member := vm.member.Load()
	if member == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), removalTimeout)
	defer cancel()
	if err := member.Leave(ctx); err != nil {
		vm.log.Warn().Str("event", "not-handed-over").Err(err).Send()
		return
	}
	begun := time.Now()
	for ctx.Err() == nil && mayNotStopYet(member.Status(), time.Since(begun), vm.options.Settings.DiskLosses) {
		time.Sleep(10 * time.Millisecond)
	}
}

// mayNotStopYet reports whether a member that said that it stops, some time ago, has to run
// on: as it leads, or as the others will remove it.
func mayNotStopYet(s consensus.Status, waited time.Duration, losses int) bool {
	if s.Role == consensus.Leader {
		return waited < transferTimeout
	}
	surplus := s.Configuration.IsVoter(s.Self) && len(s.Configuration.Voters) > repair.VotersToSurvive(losses)
	return surplus && !s.Released && waited < removalTimeout
}
