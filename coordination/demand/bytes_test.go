package demand_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

func TestBytesOfReports(t *testing.T) {
	// Guards: reports about short services fill the links of a large fleet's relays. Every router
	// counts two services with three ranks and 24 customers.
	const second, busiest330 = 20, 3000
	for _, fleetSize := range []int{29, 67, 330, 984} {
		f := newFleet(fleetSize)
		f.services = []protocol.Service{service, "other"}
		f.run(3 * time.Second)
		f.resetCounts()
		f.run(second * time.Second)
		busiest, bytes, busiestRelay, relays := 0, 0, 0, 0
		for _, r := range f.routers {
			busiest = max(busiest, r.bytes)
			bytes += r.bytes
			if len(r.neighbours.Relays) > 0 {
				relays++
				busiestRelay = max(busiestRelay, len(r.neighbours.Members))
			}
		}
		short := f.largest[0]
		short.Customers = nil
		t.Logf("one service with customers %d bytes, without %d", len(codec.MarshalArrays(f.largest[0])), len(codec.MarshalArrays(short)))
		t.Logf("%d routers, %d relays with up to %d members: report of two services %d bytes; busiest router %d bytes a second, mean %d",
			fleetSize, relays, busiestRelay, len(codec.MarshalArrays(f.largest)), busiest/second, bytes/second/fleetSize)
		assert.Assert(t, len(f.largest) == 2 && len(codec.MarshalArrays(f.largest[:1])) <= 95)
		assert.Assert(t, fleetSize != 330 || busiest/second <= busiest330, "a relay sends %d bytes a second", busiest/second)
	}
}
