package engineorders

import (
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

const (
	// surveyEvery is how often each engine's state is read when nothing is
	// ordered of it. At 790 engines these are 27 calls a second in the fleet.
	// It bounds how long an order that took effect against the rules, on an
	// engine that ignores numbers, stays unseen.
	surveyEvery = 30 * time.Second
	// surveyAtOnce bounds the asks of one step, so that an issuer that has
	// just taken office doesn't ask 790 engines in the same moment.
	surveyAtOnce = 16
)

// Survey is what an issuer has read of the engines in its office. A plan is
// made from it alone: what a former issuer read or an engine announced may be
// older than the last order.
type Survey struct {
	office Office
	asked  map[protocol.UpstreamID]time.Duration
	read   map[protocol.UpstreamID]upstreamapi.EngineState
}

// NewSurvey returns a survey in which nothing was read.
func NewSurvey(office Office) *Survey {
	return &Survey{
		office: office,
		asked:  map[protocol.UpstreamID]time.Duration{},
		read:   map[protocol.UpstreamID]upstreamapi.EngineState{},
	}
}

// Step returns the asks that are due, for engines in the order given.
func (s *Survey) Step(now time.Duration, engines []protocol.UpstreamID, owner func(protocol.UpstreamID) (Owner, bool)) []Send {
	var sends []Send
	for _, engine := range engines {
		at, asked := s.asked[engine]
		if asked && now-at < surveyEvery {
			continue
		}
		holder, known := owner(engine)
		if !known {
			continue
		}
		s.asked[engine] = now
		sends = append(sends, Send{To: holder.Router, Ask: Ask{
			Upstream: engine, Tenure: holder.Tenure, Office: s.office, ReadOnly: true,
		}})
		if len(sends) == surveyAtOnce {
			break
		}
	}
	return sends
}

// Reply takes any owner's answer that brings a state.
func (s *Survey) Reply(reply Reply) {
	if reply.Office == s.office && reply.State != nil {
		s.read[reply.Upstream] = *reply.State
	}
}

// Settled has an engine read again before it is planned with: its order has
// just ended.
func (s *Survey) Settled(engine protocol.UpstreamID) {
	delete(s.asked, engine)
	delete(s.read, engine)
}

// Read returns what an engine held when it was last read.
func (s *Survey) Read(engine protocol.UpstreamID) (upstreamapi.EngineState, bool) {
	state, known := s.read[engine]
	return state, known
}
