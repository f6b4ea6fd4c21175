package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"endiveplank/coordination/node"
	"endiveplank/coordination/node/nodetest"
	"endiveplank/protocol"
)

// The tests below compare complete sessions with recorded ones: the inputs and
// outputs of the entry router's Node. Run them with -update to record the
// sessions again, and read the difference before you commit it.

// The owner of a chat's engine dies after a few tokens. The entry router must
// detect that by its check, and continue with the next token on another engine.
func TestGoldenChatResumedAfterItsOwnerDied(t *testing.T) {
	f := newFleet(3)
	f.Record("r3")
	f.Submit("r3", "q", "key", "fuel for N123?", 12)
	f.Run(120 * time.Millisecond)
	owner := protocol.RouterID("r1")
	if f.Engines["e2"].Running() > 0 {
		owner = "r2"
	}
	f.Kill(owner)
	f.Run(8 * time.Second)
	golden.Assert(t, f.Transcript(), "chat-owner-died.golden")
}

// A caller sends an order, sends it again, and reuses its key for another order.
// The repeated order must get the recorded answer, and the other one a conflict.
func TestGoldenOrderSentTwice(t *testing.T) {
	f := orderFleet()
	f.Record("r2")
	f.Order("r2", "o1", "k-2031", "900 gal")
	f.Run(time.Second)
	f.Order("r2", "o2", "k-2031", "900 gal")
	f.Run(time.Second)
	f.Order("r2", "o3", "k-2031", "901 gal")
	f.Run(time.Second)
	golden.Assert(t, f.Transcript(), "order-sent-twice.golden")
}

// The owner dies after it has sent an order to the desk. The entry router must
// read the journal until the deadline, and then answer that the outcome is
// unknown.
func TestGoldenOrderWhoseOwnerDied(t *testing.T) {
	f := orderFleet()
	f.Engines["desk"].TokenTime = 300 * time.Millisecond
	f.Record("r2")
	f.Order("r2", "o1", "k-2031", "900 gal")
	f.Run(200 * time.Millisecond)
	f.Kill("r1")
	f.Run(15 * time.Second)
	golden.Assert(t, f.Transcript(), "order-owner-died.golden")
}

func orderFleet() *nodetest.Fleet {
	f := newFleet(3)
	f.AddRoute(node.Route{Prefix: "/svc/orders", Service: "orders", Deadline: 10 * time.Second})
	f.AddServer("desk", "orders", "r1", 8)
	f.Run(time.Second)
	return f
}
