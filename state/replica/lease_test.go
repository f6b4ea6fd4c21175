package replica

import (
	"errors"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/state/disk/fakedisk"
)

func TestLeadershipTransferEndsTheLeaseBeforeTheSuccessorLeads(t *testing.T) {
	// A leader transfers leadership before a planned stop while callers read under
	// its lease. Once the successor can change rows, the former leader must not
	// serve reads of the old rows.
	f := newFleet(t, 3, "r1", "r2", "r3")
	for _, id := range f.peers {
		f.start(id, fakedisk.New())
	}
	f.add(1)
	former := f.leader()
	old := f.vms[former].replica
	assert.NilError(t, old.TransferLeadership(t.Context()))
	f.eventually("another leads", func() bool {
		leader := old.Leader()
		return leader != former && leader != "" && f.vms[leader].replica.IsLeaderWithLease(f.vms[leader].replica.Now())
	})
	assert.Assert(t, !old.IsLeaderWithLease(old.Now()))
	_, err := old.Propose(t.Context(), make([]byte, 8))
	var notLeader ErrNotLeader
	assert.Assert(t, errors.As(err, &notLeader) && notLeader.Leader != former, "got %v", err)
	assert.NilError(t, f.vms[notLeader.Leader].replica.Barrier(t.Context()))
	assert.Equal(t, f.vms[notLeader.Leader].machine.value(), uint64(1))
}

func TestNoLeaseBeforeTheStateIsApplied(t *testing.T) {
	// The only voter restarts and becomes leader again. While it still applies the
	// entries from before the restart, it must not report that it holds the lease: a
	// reader would see an outdated table.
	f := newFleet(t, 1, "r1")
	d := fakedisk.New()
	f.start("r1", d)
	for range 5 {
		f.add(1)
	}
	f.stop("r1")
	early := false
	f.onApply = func(r *Replica) { early = early || r.IsLeaderWithLease(r.Now()) }
	n := f.start("r1", d)
	f.eventually("it leads", func() bool { return n.replica.IsLeaderWithLease(n.replica.Now()) })
	assert.Equal(t, n.machine.value(), uint64(5))
	assert.Assert(t, !early)
}

func TestConfigIsChecked(t *testing.T) {
	// A typing error in the settings must be refused. Otherwise a cluster could
	// never form, or form without one of its voters.
	good := Config{
		Self: "r1", Peers: []protocol.RouterID{"r1", "r2"}, InitialVoters: []protocol.RouterID{"r1"},
		Disk: fakedisk.New(), Transport: &fleet{}, Machine: &counter{}, Random: rand.New(rand.NewPCG(1, 1)),
	}
	for name, spoil := range map[string]func(*Config){
		"no peers":           func(c *Config) { c.Peers = nil },
		"self not a peer":    func(c *Config) { c.Self = "r3" },
		"initial not a peer": func(c *Config) { c.InitialVoters = []protocol.RouterID{"r3"} },
		"no disk":            func(c *Config) { c.Disk = nil },
		"no random source":   func(c *Config) { c.Random = nil },
	} {
		c := good
		spoil(&c)
		_, err := New(c)
		assert.Assert(t, err != nil, name)
	}
	r, err := New(good)
	assert.NilError(t, err)
	r.Stop()
}

func TestSnapshotDue(t *testing.T) {
	// A journal of 50 MB receives small orders. A snapshot every 10,000 orders
	// would delay all orders while it is written.
	assert.Assert(t, !snapshotDue(9_999, 10_000, 1<<30, 0))
	assert.Assert(t, !snapshotDue(10_000, 10_000, 3<<20, 50<<20))
	assert.Assert(t, snapshotDue(200_000, 10_000, 50<<20, 50<<20))
}

func TestCallsEndWithTheMember(t *testing.T) {
	// A daemon stops while calls wait. Each call must end with a typed error.
	f := newFleet(t, 3, "r1", "r2", "r3")
	n := f.start("r1", fakedisk.New())
	_, err := n.replica.Propose(t.Context(), nil)
	assert.ErrorType(t, err, ErrNotLeader{})
	assert.Equal(t, n.replica.Leader(), protocol.RouterID(""))
	f.stop("r1")
	_, err = n.replica.Propose(t.Context(), nil)
	assert.ErrorType(t, err, ErrStopped{})
	assert.ErrorType(t, n.replica.Barrier(t.Context()), ErrStopped{})
}
