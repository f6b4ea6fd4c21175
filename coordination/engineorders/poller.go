package engineorders

import (
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

const (
	// pollInterval is how often the state of an engine without an open order is
	// read. At 790 engines these are 27 calls a second in the fleet. It bounds
	// how long it stays unnoticed that an engine which ignores fencing numbers
	// has executed an old order.
	pollInterval = 30 * time.Second
	// unknownPollInterval is how soon the issuer asks again for a state that it
	// doesn't know yet. The engine's owner may have failed and the next owner may
	// not be known yet; waiting for pollInterval would hold up the plan as long.
	unknownPollInterval = 2 * time.Second
	// maxPollsPerStep bounds the requests of one step, so that an issuer whose
	// term has just started doesn't read 790 engines at the same moment.
	maxPollsPerStep = 16
)

// StatePoller reads the states of the engines during an issuer's term and keeps
// them. A plan uses only these states: what a former issuer read or an engine
// announced may be older than the last order.
type StatePoller struct {
	term  Term
	asked map[protocol.UpstreamID]time.Duration
	read  map[protocol.UpstreamID]upstreamapi.EngineState
}

// NewStatePoller returns a poller for an issuer's term that has read no state yet.
func NewStatePoller(term Term) *StatePoller {
	return &StatePoller{
		term:  term,
		asked: map[protocol.UpstreamID]time.Duration{},
		read:  map[protocol.UpstreamID]upstreamapi.EngineState{},
	}
}

// Step returns the requests that are due, for engines in the given order.
func (s *StatePoller) Step(now time.Duration, engines []protocol.UpstreamID, ownerOf func(protocol.UpstreamID) (Owner, bool)) []OutgoingRequest {
	var requests []OutgoingRequest
	for _, engine := range engines {
		if !s.due(now, engine) {
			continue
		}
		owner, known := ownerOf(engine)
		if !known {
			continue
		}
		s.asked[engine] = now
		requests = append(requests, OutgoingRequest{To: owner.Router, Request: Request{
			Upstream: engine, OwnershipFence: owner.OwnershipFence, Term: s.term, ReadOnly: true,
		}})
		if len(requests) == maxPollsPerStep {
			break
		}
	}
	return requests
}

func (s *StatePoller) due(now time.Duration, engine protocol.UpstreamID) bool {
	at, asked := s.asked[engine]
	wait := pollInterval
	if _, read := s.read[engine]; !read {
		wait = unknownPollInterval
	}
	return !asked || now-at >= wait
}

// HandleReply stores the state in an owner's reply, if there is one.
func (s *StatePoller) HandleReply(reply Reply) {
	if reply.Term == s.term && reply.State != nil {
		s.read[reply.Upstream] = *reply.State
	}
}

// Invalidate discards the state of an engine whose order has just ended, so that
// it is read again before the next plan uses the engine.
func (s *StatePoller) Invalidate(engine protocol.UpstreamID) {
	delete(s.asked, engine)
	delete(s.read, engine)
}

// LastState returns the state that was last read of an engine.
func (s *StatePoller) LastState(engine protocol.UpstreamID) (upstreamapi.EngineState, bool) {
	state, known := s.read[engine]
	return state, known
}
