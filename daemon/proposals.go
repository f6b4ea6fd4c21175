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

// propose commits a command through the leader. It retries until the context ends. Commands are
// idempotent, so a retry after an unknown outcome is safe. With inForce it also waits until the
// change is in force, that is until every open session has acknowledged it.
func (m *member) propose(ctx context.Context, command fleetstate.Command, inForce bool) (fleetstate.Result, error) {
	encoded := command.Encode()
	for {
		m.mu.Lock()
		leader := m.leader
		m.mu.Unlock()
		reply, answered := m.proposeTo(ctx, leader, encoded, inForce)
		if answered && reply.Verdict == fleet.VerdictCommitted {
			return fleetstate.DecodeResult(reply.Result)
		}
		m.updateLeader(leader, reply, answered)
		select {
		case <-ctx.Done():
			return fleetstate.Result{}, eris.Wrap(ctx.Err(), "the replicated state did not answer in time")
		case <-m.quit:
			return fleetstate.Result{}, eris.New("this process is stopping")
		case <-time.After(retryPause):
		}
	}
}

// updateLeader takes the voter that the reply names as the leader, or the next voter if the reply
// names none or did not come. It keeps a leader that is only busy, and one that was selected after
// the request was sent.
func (m *member) updateLeader(asked protocol.RouterID, reply fleet.ProposeReply, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != asked || (answered && reply.Verdict == fleet.VerdictBusy) {
		return
	}
	if answered && reply.Leader != "" {
		m.leader = reply.Leader
		return
	}
	m.selectNextVoter()
}

// proposeTo sends one proposal to one voter and waits for its reply. It returns false if none
// comes in time.
func (m *member) proposeTo(ctx context.Context, leader protocol.RouterID, command []byte, inForce bool) (fleet.ProposeReply, bool) {
	timeout := requestTimeout
	if inForce {
		// If a router is lost, a change is in force only after that router's lease has expired.
		timeout += lease.DefaultTiming().ExpireAfter + requestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if leader == m.identity.Router {
		if m.local == nil {
			return fleet.ProposeReply{}, false
		}
		return m.local.propose(ctx, fleet.Propose{Command: command, InForce: inForce}), true
	}
	id, replies := m.addPending()
	defer m.removePending(id)
	m.send(leader, wire.KindPropose, wire.Encode(fleet.Propose{ID: id, Command: command, InForce: inForce}), true)
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return fleet.ProposeReply{}, false
	}
}

// proposalIDBits are the bits of a proposal's ID that count within one process.
const proposalIDBits = 20

// startProposals makes the IDs of this process's proposals follow from its incarnation.
//
// Failure: a router proposes a change and ends. The leader's reply is sent again and again
// until the router is back, and its new process takes it for the reply to another proposal: a
// change or an order would count as accepted that no voter has.
func (m *member) startProposals() {
	m.lastProposalID = m.identity.Incarnation << proposalIDBits
	m.pendingProposals = map[uint64]chan fleet.ProposeReply{}
}

// addPending returns the ID for a new proposal and the channel that receives its reply.
func (m *member) addPending() (uint64, chan fleet.ProposeReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastProposalID++
	replies := make(chan fleet.ProposeReply, 1)
	m.pendingProposals[m.lastProposalID] = replies
	return m.lastProposalID, replies
}

func (m *member) removePending(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingProposals, id)
}

// handleProposeReply passes a reply to the goroutine that waits for it, if any still does.
func (m *member) handleProposeReply(reply fleet.ProposeReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if replies := m.pendingProposals[reply.ID]; replies != nil {
		select {
		case replies <- reply:
		default:
		}
	}
}
