package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk/fakedisk"
)

// counter is a state machine that adds up the numbers in its commands.
type counter struct {
	mu  sync.Mutex
	sum uint64
	// onApply is called before each command, if set.
	onApply func()
}

func (c *counter) Apply(_ uint64, command []byte) []byte {
	if c.onApply != nil {
		c.onApply()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum += binary.LittleEndian.Uint64(command)
	return binary.LittleEndian.AppendUint64(nil, c.sum)
}

func (c *counter) Snapshot() []byte { return binary.LittleEndian.AppendUint64(nil, c.value()) }

func (c *counter) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum = binary.LittleEndian.Uint64(data)
	return nil
}

func (c *counter) value() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum
}

// vm is one VM with a disk in a fleet.
type vm struct {
	disk    *fakedisk.Disk
	machine *counter
	replica *Replica
	ticks   chan time.Time
}

// fleet runs replicas over an in-memory network. Its clock advances by one step
// after each running replica has taken its last tick.
type fleet struct {
	t             *testing.T
	mu            sync.Mutex
	vms           map[protocol.RouterID]*vm
	peers         []protocol.RouterID
	voters        []protocol.RouterID
	clock         atomic.Int64
	snapshotEvery uint64
	seed          uint64
	done          chan struct{}
	// onApply is called before each command on any member, if set.
	onApply func(*Replica)
}

func newFleet(t *testing.T, voters int, peers ...protocol.RouterID) *fleet {
	f := &fleet{t: t, vms: map[protocol.RouterID]*vm{}, peers: peers, voters: peers[:voters], snapshotEvery: 10_000, done: make(chan struct{})}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.runClock()
	}()
	t.Cleanup(func() {
		close(f.done)
		<-stopped
		for _, id := range peers {
			f.stop(id)
		}
	})
	return f
}

func (f *fleet) runClock() {
	for {
		select {
		case <-f.done:
			return
		default:
		}
		f.clock.Add(int64(20 * time.Millisecond))
		for _, n := range f.running() {
			n.tick()
		}
	}
}

// tick sends one tick to the member. It gives up if the disk is stalled, because
// the member may be waiting for the disk.
func (n *vm) tick() {
	for {
		select {
		case n.ticks <- time.Time{}:
			return
		case <-n.replica.Done():
			return
		case <-time.After(time.Millisecond):
			if n.disk.Stalled() {
				return
			}
		}
	}
}

func (f *fleet) running() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*vm
	for _, n := range f.vms {
		running = append(running, n)
	}
	return running
}

// Send implements Transport for all VMs. It encodes and decodes each message as on
// the network.
func (f *fleet) Send(to protocol.RouterID, sent consensus.Message) {
	var m consensus.Message
	data, err := msgpack.Marshal(sent)
	assert.NilError(f.t, err)
	assert.NilError(f.t, msgpack.Unmarshal(data, &m))
	f.mu.Lock()
	n := f.vms[to]
	f.mu.Unlock()
	if n != nil {
		n.replica.Receive(m)
	}
}

func (f *fleet) start(id protocol.RouterID, disk *fakedisk.Disk) *vm {
	f.seed++
	n := &vm{disk: disk, machine: &counter{}, ticks: make(chan time.Time)}
	r, err := New(Config{
		Self: id, Peers: f.peers, InitialVoters: f.voters, Disk: disk, Transport: f, Machine: n.machine,
		Random: rand.New(rand.NewPCG(f.seed, 1)), SnapshotEvery: f.snapshotEvery, Ticks: n.ticks,
		Now: func() time.Duration { return time.Duration(f.clock.Load()) },
	})
	assert.NilError(f.t, err)
	n.replica = r
	if f.onApply != nil {
		n.machine.onApply = func() { f.onApply(r) }
	}
	r.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[id] = n
	return n
}

func (f *fleet) stop(id protocol.RouterID) {
	f.mu.Lock()
	n := f.vms[id]
	delete(f.vms, id)
	f.mu.Unlock()
	if n != nil {
		n.replica.Stop()
	}
}

// add proposes a number until a leader has committed it, and returns the sum.
func (f *fleet) add(number uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		for _, n := range f.running() {
			result, err := n.replica.Propose(ctx, binary.LittleEndian.AppendUint64(nil, number))
			if err == nil {
				return binary.LittleEndian.Uint64(result)
			}
			assert.NilError(f.t, ctx.Err())
		}
	}
}

// eventually waits until a condition holds, while runClock advances the time.
func (f *fleet) eventually(what string, holds func() bool) {
	deadline := time.Now().Add(time.Minute)
	for !holds() {
		assert.Assert(f.t, time.Now().Before(deadline), "never: %s", what)
		time.Sleep(time.Millisecond)
	}
}

func TestSingleVoterKeepsItsStateOverPowerLoss(t *testing.T) {
	// An order is confirmed, then the only VM with a disk loses power. After the
	// restart the order must be there, because it was synced before it was
	// confirmed.
	f := newFleet(t, 1, "r1")
	d := fakedisk.New()
	f.start("r1", d)
	assert.Equal(t, f.add(5), uint64(5))
	f.stop("r1")
	d.Crash(rand.New(rand.NewPCG(1, 1)))
	f.start("r1", d)
	assert.Equal(t, f.add(2), uint64(7))
}

func TestThreeVotersAgreeAndSurviveALoss(t *testing.T) {
	// Three voters form a cluster automatically. One loses power, and the other two
	// must still commit commands. It comes back and must catch up.
	f := newFleet(t, 3, "r1", "r2", "r3")
	disks := map[protocol.RouterID]*fakedisk.Disk{}
	for _, id := range f.peers {
		disks[id] = fakedisk.New()
		f.start(id, disks[id])
	}
	for i := range uint64(20) {
		f.add(i)
	}
	f.stop("r2")
	disks["r2"].Crash(rand.New(rand.NewPCG(2, 1)))
	assert.Equal(t, f.add(10), uint64(200))
	back := f.start("r2", disks["r2"])
	f.eventually("the returned voter catches up", func() bool { return back.machine.value() == 200 })
}

func TestFailedSyncStopsTheVoter(t *testing.T) {
	// The disk of a voter starts to fail. Callers must get an error, and never a
	// confirmation for a command that isn't on disk.
	for name, breakDisk := range map[string]func(*fakedisk.Disk){
		"failed sync": func(d *fakedisk.Disk) { d.FailSyncs(true) },
		"full disk":   func(d *fakedisk.Disk) { d.SetCapacity(1) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, "r1")
			n := f.start("r1", fakedisk.New())
			f.add(1)
			breakDisk(n.disk)
			_, err := n.replica.Propose(context.Background(), make([]byte, 8))
			assert.Assert(t, errors.As(err, &ErrDiskFailed{}), "got %v", err)
			<-n.replica.Done()
			assert.Assert(t, !n.replica.IsLeaderWithLease(n.replica.Now()))
			_, err = n.replica.Propose(context.Background(), make([]byte, 8))
			assert.Assert(t, errors.As(err, &ErrDiskFailed{}))
		})
	}
}
