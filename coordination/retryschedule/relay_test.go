package retryschedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// fleets are numbers of routers and how many of them have one relay, 0 for a mesh.
var fleets = []struct{ routers, perRelay int }{{9, 0}, {67, 0}, {330, 18}, {984, 31}}

func TestAllRoutersKnowAReservationInTime(t *testing.T) {
	// Guards: a caller comes back to a router that doesn't know its reservation, or a reservation
	// comes back to its sender and counts twice.
	for _, fleet := range fleets {
		n := newNetwork(fleet.routers, fleet.perRelay)
		n.run(time.Second)
		known := KnownAfter(n.interval, n.relays)
		const added = 20
		for digest := range uint32(added) {
			n.all[n.anyRouter()].Add(n.now, Reservation{Digest: digest, Due: n.now + known})
		}
		n.run(n.now + known)
		for digest := range uint64(added) {
			assert.Equal(t, n.known(digest), fleet.routers, "%d routers", fleet.routers)
		}
		for _, id := range n.ids {
			assert.Equal(t, n.all[id].Len(), added, "%d routers", fleet.routers)
		}
	}
}

func TestRelaySendsThoseDueFirstFirst(t *testing.T) {
	// Guards: a relay sends more than a report may have, drops the rest, tells of reservations after
	// they are due while later ones go first, or sends them back.
	r := NewReservations()
	r.SetNeighbours(Neighbours{Members: []protocol.RouterID{"m1", "m2"}, Relays: []protocol.RouterID{"relay"}})
	const own, ofMember, ofRelay = 10, 60, 40
	for i := range own {
		r.Add(at, Reservation{Digest: 1, Due: at + time.Duration(500+i)*time.Millisecond})
	}
	report := func(digest uint32, count, dueIn int) []Reported {
		var all []Reported
		for i := range count {
			all = append(all, Reported{Digest: digest, DueIn: dueIn - i})
		}
		return all
	}
	r.Apply(at, "m1", report(2, ofMember, 900))
	r.Apply(at, "relay", report(3, ofRelay, 400))
	received := map[protocol.RouterID][]Reported{}
	for reports := r.Reports(at); len(reports) > 0; reports = r.Reports(at) {
		for _, out := range reports {
			assert.Assert(t, len(out.Reported) <= maxPerReport)
			for _, to := range out.To {
				received[to] = append(received[to], out.Reported...)
			}
		}
	}
	for to, want := range map[protocol.RouterID]map[uint32]int{
		"m1": {1: own, 3: ofRelay}, "m2": {1: own, 2: ofMember, 3: ofRelay}, "relay": {1: own, 2: ofMember},
	} {
		got, last := map[uint32]int{}, 0
		for _, entry := range received[to] {
			assert.Assert(t, entry.DueIn >= last)
			last = entry.DueIn
			got[entry.Digest]++
		}
		assert.DeepEqual(t, got, want)
	}
}

func TestRouterThatIsNoRelayAnyMorePassesNothingOn(t *testing.T) {
	// Guards: a former relay sends what others reported to its new relay, which has it already.
	r := NewReservations()
	r.SetNeighbours(Neighbours{Members: []protocol.RouterID{"m1"}, Relays: []protocol.RouterID{"relay"}})
	r.Add(at, Reservation{Digest: 1, Due: at + time.Second})
	r.Apply(at, "m1", []Reported{{Digest: 2, DueIn: 1000}})
	r.SetNeighbours(Neighbours{Relay: "relay"})
	reports := r.Reports(at)
	assert.DeepEqual(t, reports, []Outgoing{{To: []protocol.RouterID{"relay"}, Reported: []Reported{{Digest: 1, DueIn: 1000}}}})
}

func TestBytesOfReports(t *testing.T) {
	// Guards: reservations take more of the routers' links than all control may take.
	full := make([]Reported, maxPerReport)
	for i := range full {
		full[i] = Reported{Digest: 1<<32 - 1 - uint32(i), DueIn: 9000}
	}
	size := len(codec.MarshalArrays(full))
	t.Logf("a report with %d reservations: %d bytes", maxPerReport, size)
	assert.Assert(t, size <= 600)
	for _, fleet := range fleets[1:] {
		n := newNetwork(fleet.routers, fleet.perRelay)
		const seconds, perSecond, returnAfter = 20, 60, 1500 * time.Millisecond
		var digests []uint64
		for n.now < seconds*time.Second {
			if n.random.Float64() < perSecond*tick.Seconds() {
				digest := n.random.Uint64()
				n.all[n.anyRouter()].Add(n.now, Reservation{Digest: shortDigest(digest), Due: n.now + returnAfter})
				digests = append(digests, digest)
			} else {
				digests = append(digests, 0)
			}
			if back := len(digests) - int(returnAfter/tick) - 1; back >= 0 {
				n.all[n.anyRouter()].Consume(n.now, digests[back])
			}
			n.step()
		}
		sum, most := 0, 0
		for _, sent := range n.sent {
			sum += sent
			most = max(most, sent)
		}
		mean := sum / fleet.routers / seconds
		t.Logf("%d routers, %d reservations a second: each sends %d bytes a second, at most %d",
			fleet.routers, perSecond, mean, most/seconds)
		assert.Assert(t, mean <= 1100)
	}
}

func TestReservationIsUsedOnceByAllRouters(t *testing.T) {
	// Guards: a caller sends copies of a request to all routers once its reservation is due, and
	// each admits one.
	for _, fleet := range fleets {
		n := newNetwork(fleet.routers, fleet.perRelay)
		n.run(time.Second)
		n.all[n.anyRouter()].Add(n.now, Reservation{Digest: 1, Due: n.now + time.Second})
		n.run(2 * time.Second)
		assert.Equal(t, n.known(1), fleet.routers)
		n.all[n.anyRouter()].Consume(n.now, 1)
		n.run(n.now + KnownAfter(n.interval, n.relays))
		assert.Equal(t, n.known(1), 0, "%d routers", fleet.routers)
	}
}
