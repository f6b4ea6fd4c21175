package loadbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// exchangeNet runs exchanges and ledgers with a delay of two milliseconds a
// message.
type exchangeNet struct {
	*fleet
	exchanges map[protocol.RouterID]*Exchange
	number    map[protocol.RouterID]int
	sent      []int
	frozen    int // the frozen router, -1 for none
}

func newExchangeNet(routers int) *exchangeNet {
	n := &exchangeNet{fleet: newFleet(routers), exchanges: make(map[protocol.RouterID]*Exchange),
		number: make(map[protocol.RouterID]int), sent: make([]int, routers), frozen: -1}
	for i, name := range n.members {
		n.number[name] = i
		start := time.Duration(i*7%250) * time.Millisecond
		n.exchanges[name] = NewExchange(name, n.members, start)
		n.ledgers[i].Admit(0, upstream(i), Request{Cost: 5000})
	}
	return n
}

func (n *exchangeNet) run(from, until time.Duration) {
	for now := from; now < until; now += time.Millisecond {
		kept := n.pending[:0]
		var arrived []message
		for _, m := range n.pending {
			if m.at > now {
				kept = append(kept, m)
			} else {
				arrived = append(arrived, m)
			}
		}
		n.pending = kept
		for _, m := range arrived {
			n.ledgers[m.to].Receive(now, router(m.from), m.summary)
			n.exchanges[router(m.to)].RecordReceived(now, router(m.from))
		}
		for i, name := range n.members {
			if i == n.frozen {
				continue
			}
			for _, peer := range n.exchanges[name].Due(now) {
				n.sent[i]++
				s := n.ledgers[i].Summary(now, peer, n.exchanges[name].Relay())
				n.pending = append(n.pending, message{at: now + 2*time.Millisecond, from: i, to: n.number[peer], summary: s})
			}
		}
	}
}

// With 330 owners on independent timers, a total is a second old when it
// arrives; engines at the mean then turn work away although the load is even.
// In rounds, the totals stay recent and no neighbour gets more than one message
// a period.
func TestRoundsKeepTotalsFreshWithinTheBudget(t *testing.T) {
	for _, routers := range []int{9, 330} {
		n := newExchangeNet(routers)
		n.run(0, 3*time.Second)
		clear(n.sent)
		n.run(3*time.Second, 5*time.Second)
		least := 1.0
		for i := range n.members {
			floor, _, _ := n.ledgers[i].Fleet(5 * time.Second)
			least = min(least, floor/n.countedTotal(5*time.Second))
			periods := int(2 * time.Second / (ExchangePeriod - roundMargin))
			peers := len(n.exchanges[router(i)].Peers())
			assert.Assert(t, n.sent[i] <= (periods+1)*peers, "router %d sent %d to %d", i, n.sent[i], peers)
		}
		assert.Assert(t, least > 0.85, "%d routers: floor %v of total", routers, least)
	}
}

// A router in the middle of the tree freezes. Its parent waits for it; without
// a deadline, the whole fleet would get no totals until the membership removes
// it.
func TestRoundsContinueWithoutAFrozenRouter(t *testing.T) {
	n := newExchangeNet(40)
	n.run(0, 2*time.Second)
	n.frozen = 1
	n.run(2*time.Second, 4*time.Second)
	seen := n.ledgers[2].views[router(0)].receivedAt
	assert.Assert(t, seen > 3500*time.Millisecond, "last heard at %v", seen)
}
