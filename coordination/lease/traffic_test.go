package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkControlTraffic runs a fleet for four minutes of steady load with
// one change every 24 s (3,600 a day). Then come a burst of 300 changes in one
// second, one change with a router frozen, 20 changes with 5% of the messages
// lost, and one change with a new leader. It reports the bytes per second that
// a router, the leader and the busiest relay send, including frames and TCP/IP
// headers, and the time until a change is in force.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ routers, relays int }{{9, 0}, {330, 0}, {330, 6}, {1000, 0}, {1000, 6}} {
		b.Run(fmt.Sprintf("routers=%d/relays=%d", size.routers, size.relays), func(b *testing.B) {
			for range b.N {
				measureTraffic(b, size.routers, size.relays)
			}
		})
	}
}

func measureTraffic(b *testing.B, routers, relays int) {
	s := newSim(1, routers, 12+routers*2, "")
	s.addRelays(relays)
	s.run(20 * time.Second)
	const steady = 240 * time.Second
	s.resetCounters()
	for at := time.Duration(0); at < steady; at += 24 * time.Second {
		s.after(at, nil, func() { s.changeRow(fmt.Sprint("c", s.rng.IntN(50))) })
	}
	s.run(s.now + steady)
	b.ReportMetric(float64(s.routerBytes())/float64(routers)/steady.Seconds(), "ctl-B/s/node")
	b.ReportMetric(float64(s.current.sent)/steady.Seconds(), "leader-B/s")
	b.ReportMetric(s.longestInForce(), "inforce-ms")
	b.ReportMetric(s.relayBytes()/steady.Seconds(), "relay-B/s")

	s.resetCounters()
	for i := range 300 {
		s.after(time.Duration(i)*time.Second/300, nil, func() { s.changeRow(fmt.Sprint("b", i)) })
	}
	s.run(s.now + 10*time.Second)
	if len(s.inForce) != 300 {
		b.Fatalf("%d of 300 changes in force", len(s.inForce))
	}
	b.ReportMetric(s.longestInForce(), "burst-inforce-ms")
	b.ReportMetric(float64(s.routerBytes())/float64(routers)/10, "burst-ctl-B/s/node")
	b.ReportMetric(float64(s.current.sent)/10, "burst-leader-B/s")
	b.ReportMetric(s.relayBytes()/10, "burst-relay-B/s")

	s.resetCounters()
	s.routers[0].frozenUntil = s.now + 10*time.Second
	s.after(0, nil, func() { s.changeRow("frozen") })
	s.run(s.now + 15*time.Second)
	b.ReportMetric(s.longestInForce(), "frozen-inforce-ms")

	s.resetCounters()
	s.loss = 5
	for i := range 20 {
		s.after(time.Duration(i)*time.Second, nil, func() { s.changeRow("loss") })
	}
	s.run(s.now + 30*time.Second)
	b.ReportMetric(s.longestInForce(), "loss5-inforce-ms")
	b.ReportMetric(float64(len(s.inForce)), "loss5-changes")

	s.resetCounters()
	s.loss = 0
	s.current = s.newLeader()
	s.leaderLoop(s.current)
	s.after(0, nil, func() { s.changeRow("new-leader") })
	s.run(s.now + 15*time.Second)
	b.ReportMetric(s.longestInForce(), "newleader-inforce-ms")
}

func (s *sim) resetCounters() {
	s.current.sent = 0
	s.inForce = nil
	for _, r := range s.routers {
		r.sent = 0
	}
	for _, relay := range s.relays {
		relay.sent = 0
	}
}

// relayBytes returns the bytes that the busiest relay sent.
func (s *sim) relayBytes() float64 {
	most := 0
	for _, relay := range s.relays {
		most = max(most, relay.sent)
	}
	return float64(most)
}

func (s *sim) routerBytes() int {
	sum := 0
	for _, r := range s.routers {
		sum += r.sent
	}
	return sum
}

// longestInForce returns the longest time from a change to its being in force
// since resetCounters, in milliseconds.
func (s *sim) longestInForce() float64 {
	if len(s.inForce) == 0 {
		return -1
	}
	return float64(slices.Max(s.inForce)) / float64(time.Millisecond)
}
