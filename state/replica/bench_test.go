package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk"
)

// memoryTransport is a Transport between replicas in one process.
type memoryTransport struct {
	mu       sync.RWMutex
	replicas map[protocol.RouterID]*Replica
}

func (t *memoryTransport) Send(to protocol.RouterID, m consensus.Message) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.replicas[to]; r != nil {
		r.Receive(m)
	}
}

// countingDisk counts the syncs of files.
type countingDisk struct {
	disk.Disk
	syncs *atomic.Int64
}

type countingFile struct {
	disk.File
	syncs *atomic.Int64
}

func (d countingDisk) Create(name string) (disk.File, error) {
	f, err := d.Disk.Create(name)
	return countingFile{f, d.syncs}, err
}

func (f countingFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
}

// BenchmarkPropose measures committed commands per second and syncs of all voters
// per command on the real file system, for several numbers of voters and
// concurrent callers.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{1, 3} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("voters=%d/callers=%d", voters, callers), func(b *testing.B) {
				benchPropose(b, voters, callers)
			})
		}
	}
}

func benchPropose(b *testing.B, voters, callers int) {
	peers := []protocol.RouterID{"r1", "r2", "r3"}[:voters]
	transport := &memoryTransport{replicas: map[protocol.RouterID]*Replica{}}
	var syncs atomic.Int64
	for i, id := range peers {
		folder, err := disk.Open(b.TempDir())
		assert.NilError(b, err)
		r, err := New(Config{
			Self: id, Peers: peers, InitialVoters: peers, Disk: countingDisk{folder, &syncs}, Transport: transport,
			Machine: &counter{}, Random: rand.New(rand.NewPCG(uint64(i), 9)),
		})
		assert.NilError(b, err)
		transport.mu.Lock()
		transport.replicas[id] = r
		transport.mu.Unlock()
		r.Start()
		defer r.Stop()
	}
	leader := awaitLeader(transport)
	command := make([]byte, 200)
	syncs.Store(0)
	b.ResetTimer()
	var wg sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(b.N))
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(syncs.Load())/float64(b.N), "syncs/command")
}

func awaitLeader(transport *memoryTransport) *Replica {
	for {
		for _, r := range transport.replicas {
			if r.IsLeaderWithLease(r.Now()) {
				return r
			}
		}
	}
}
