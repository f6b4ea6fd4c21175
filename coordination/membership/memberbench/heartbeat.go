package memberbench

import (
	"time"

	"endiveplank/coordination/membership"
	"endiveplank/protocol"
)

const (
	// heartbeatPeriod and heartbeatTimeout are the values of the leases: one
	// renewal per second, and 3.5 s until a session is closed.
	heartbeatPeriod  = time.Second
	heartbeatTimeout = 3500 * time.Millisecond
)

// heartbeats is the baseline: each member sends a heartbeat to all others every
// second, and declares a member dead that has sent none for too long.
type heartbeats struct {
	self      protocol.RouterID
	others    []protocol.RouterID
	lastHeard map[protocol.RouterID]time.Duration
	dead      map[protocol.RouterID]bool
	next      time.Duration
	bytes     uint64
}

func newHeartbeats(self protocol.RouterID, all []protocol.RouterID, first time.Duration) *heartbeats {
	h := &heartbeats{self: self, lastHeard: map[protocol.RouterID]time.Duration{}, dead: map[protocol.RouterID]bool{}, next: first}
	for _, id := range all {
		if id != self {
			h.others = append(h.others, id)
		}
	}
	return h
}

// Tick implements stepper.
func (h *heartbeats) Tick(now time.Duration) membership.Output {
	var out membership.Output
	for _, id := range h.others {
		if !h.dead[id] && now-h.lastHeard[id] > heartbeatTimeout {
			h.dead[id] = true
			out.Events = append(out.Events, membership.Event{Kind: membership.Died, Member: membership.Member{ID: id}})
		}
	}
	if now < h.next {
		return out
	}
	h.next += heartbeatPeriod
	for _, id := range h.others {
		h.bytes += uint64(membership.PacketOverhead + len(h.self))
		out.Packets = append(out.Packets, membership.Packet{To: id, Data: []byte(h.self)})
	}
	return out
}

// Receive implements stepper.
func (h *heartbeats) Receive(now time.Duration, data []byte) membership.Output {
	id := protocol.RouterID(data)
	h.lastHeard[id] = now
	delete(h.dead, id)
	return membership.Output{}
}
