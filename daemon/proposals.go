package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/lease"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/wire"
)

// propose commits a command through whichever voter leads, and asks again
// until the context ends. Commands are idempotent, so asking again after an
// unknown outcome is safe.
func (m *member) propose(ctx context.Context, command fleetstate.Command, inForce bool) (fleetstate.Result, error) {
	encoded := command.Encode()
	for {
		m.mu.Lock()
		leader := m.leader
		m.mu.Unlock()
		reply, answered := m.ask(ctx, leader, encoded, inForce)
		if answered && reply.Verdict == fleet.VerdictCommitted {
			return fleetstate.DecodeResult(reply.Result)
		}
		m.afterRefusal(leader, reply, answered)
		select {
		case <-ctx.Done():
			return fleetstate.Result{}, eris.Wrap(ctx.Err(), "the replicated state did not answer in time")
		case <-m.quit:
			return fleetstate.Result{}, eris.New("this process is stopping")
		case <-time.After(askPause):
		}
	}
}

// afterRefusal turns to the voter that is said to lead, or to the next one.
func (m *member) afterRefusal(asked protocol.RouterID, reply fleet.ProposeReply, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != asked || (answered && reply.Verdict == fleet.VerdictBusy) {
		return
	}
	if answered && reply.Leader != "" {
		m.leader = reply.Leader
		return
	}
	m.nextVoter()
}

// ask sends one proposal to one voter and waits for its reply.
func (m *member) ask(ctx context.Context, leader protocol.RouterID, command []byte, inForce bool) (fleet.ProposeReply, bool) {
	patience := askTimeout
	if inForce {
		// A change waits for the lease of a lost router to run out.
		patience += lease.DefaultTiming().ExpireAfter + askTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if leader == m.identity.Router {
		if m.local == nil {
			return fleet.ProposeReply{}, false
		}
		return m.local.propose(ctx, fleet.Propose{Command: command, InForce: inForce}), true
	}
	id, replies := m.expect()
	defer m.forget(id)
	m.send(leader, wire.KindPropose, wire.Encode(fleet.Propose{ID: id, Command: command, InForce: inForce}), true)
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return fleet.ProposeReply{}, false
	}
}

func (m *member) expect() (uint64, chan fleet.ProposeReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	replies := make(chan fleet.ProposeReply, 1)
	m.asking[m.asked] = replies
	return m.asked, replies
}

func (m *member) forget(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asking, id)
}

// onProposeReply hands a reply to whoever asked.
func (m *member) onProposeReply(reply fleet.ProposeReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if replies := m.asking[reply.ID]; replies != nil {
		select {
		case replies <- reply:
		default:
		}
	}
}
