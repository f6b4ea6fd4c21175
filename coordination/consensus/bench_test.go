package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkControlBytes measures the encoded bytes per second that an idle
// cluster of three voters and two spares sends: the leader's, and the average
// per member.
func BenchmarkControlBytes(b *testing.B) {
	for b.Loop() {
		sim := newSimulation(1, 5, 3)
		sim.run(5 * time.Second)
		leader := sim.leader()
		for _, h := range sim.hosts {
			_ = leader.core.ChangeMembership(sim.clock(leader), Change{Kind: AddLearner, Member: h.self()})
			sim.run(time.Second)
		}
		all, fromLeader := 0, 0
		sim.onSend = func(m Message) {
			data, _ := msgpack.Marshal(m)
			all += len(data)
			if m.From == leader.self() {
				fromLeader += len(data)
			}
		}
		const seconds = 60
		sim.run(seconds * time.Second)
		b.ReportMetric(float64(fromLeader)/seconds, "leader-B/s")
		b.ReportMetric(float64(all)/seconds/5, "ctl-B/s/node")
	}
}

// BenchmarkElection measures, in simulated time, how long a cluster has no
// leader with a lease after the leader is lost.
func BenchmarkElection(b *testing.B) {
	const losses = 200
	for b.Loop() {
		sim := newSimulation(1, 3, 3)
		sim.run(5 * time.Second)
		var longest, sum time.Duration
		for range losses {
			lost := sim.leader()
			sim.isolate(lost, true)
			start := sim.now
			for sim.leader() == nil || sim.leader() == lost || !sim.leader().core.HoldsLease(sim.clock(sim.leader())) {
				sim.run(10 * time.Millisecond)
			}
			gap := sim.now - start
			sum += gap
			longest = max(longest, gap)
			sim.isolate(lost, false)
			sim.run(3 * time.Second)
		}
		b.ReportMetric(float64(sum.Milliseconds())/losses, "mean-gap-ms")
		b.ReportMetric(float64(longest.Milliseconds()), "longest-gap-ms")
	}
}

// BenchmarkCommit measures the processing cost of one entry over three cores,
// for several numbers of entries per batch.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			sim := newSimulation(1, 3, 3)
			sim.settings = Settings{Peers: sim.settings.Peers, InitialVoters: sim.settings.InitialVoters}
			for _, h := range sim.hosts {
				sim.format(h)
				sim.start(h)
			}
			sim.run(5 * time.Second)
			leader := sim.leader()
			b.ReportAllocs()
			for i := 0; i < b.N; i += batch {
				for range batch {
					_, _, _ = leader.core.Propose(sim.clock(leader), make([]byte, 200))
				}
				sim.take(leader)
				for sim.drain() {
				}
				if leader.core.log.last()-leader.core.log.base > 5000 {
					for _, h := range sim.hosts {
						sim.compact(h)
					}
				}
			}
		})
	}
}
