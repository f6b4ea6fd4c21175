package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkControlBytes measures what an idle cluster of three voters and two
// spares sends, in encoded bytes a second, for the leader and for the mean.
func BenchmarkControlBytes(b *testing.B) {
	for b.Loop() {
		w := newWorld(1, 5, 3)
		w.run(5 * time.Second)
		leader := w.leader()
		for _, h := range w.hosts {
			_ = leader.core.ChangeMembership(w.clock(leader), Change{Kind: AddLearner, Member: h.self()})
			w.run(time.Second)
		}
		all, fromLeader := 0, 0
		w.sent = func(m Message) {
			data, _ := msgpack.Marshal(m)
			all += len(data)
			if m.From == leader.self() {
				fromLeader += len(data)
			}
		}
		const seconds = 60
		w.run(seconds * time.Second)
		b.ReportMetric(float64(fromLeader)/seconds, "leader-B/s")
		b.ReportMetric(float64(all)/seconds/5, "ctl-B/s/node")
	}
}

// BenchmarkElection measures how long a cluster is without a leader when the
// leader is lost, in its own time.
func BenchmarkElection(b *testing.B) {
	const losses = 200
	for b.Loop() {
		w := newWorld(1, 3, 3)
		w.run(5 * time.Second)
		var longest, sum time.Duration
		for range losses {
			lost := w.leader()
			w.isolate(lost, true)
			start := w.now
			for w.leader() == nil || w.leader() == lost || !w.leader().core.HoldsLease(w.clock(w.leader())) {
				w.run(10 * time.Millisecond)
			}
			gap := w.now - start
			sum += gap
			longest = max(longest, gap)
			w.isolate(lost, false)
			w.run(3 * time.Second)
		}
		b.ReportMetric(float64(sum.Milliseconds())/losses, "mean-gap-ms")
		b.ReportMetric(float64(longest.Milliseconds()), "longest-gap-ms")
	}
}

// BenchmarkCommit measures the decision cost of one entry over three cores,
// against the number of entries a batch.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			w := newWorld(1, 3, 3)
			w.settings = Settings{Peers: w.settings.Peers, InitialVoters: w.settings.InitialVoters}
			for _, h := range w.hosts {
				w.format(h)
				w.start(h)
			}
			w.run(5 * time.Second)
			leader := w.leader()
			b.ReportAllocs()
			for i := 0; i < b.N; i += batch {
				for range batch {
					_, _, _ = leader.core.Propose(w.clock(leader), make([]byte, 200))
				}
				w.take(leader)
				for w.drain() {
				}
				if leader.core.log.last()-leader.core.log.base > 5000 {
					for _, h := range w.hosts {
						w.compact(h)
					}
				}
			}
		})
	}
}
