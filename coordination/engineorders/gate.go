package engineorders

import (
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Ask is what the issuer sends to an engine's owner.
type Ask struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Tenure is the fencing number of the ownership that the issuer knows.
	Tenure protocol.Fence `msgpack:"t"`
	Office Office         `msgpack:"o"`
	Fence  protocol.Fence `msgpack:"f"`
	Intent Intent         `msgpack:"i"`
	// ReadOnly asks for the engine's state alone. It still raises the office
	// that the owner knows, so a former issuer's order can't pass after it.
	ReadOnly bool `msgpack:"r,omitempty"`
}

// Verdict says what an owner did with an Ask.
type Verdict string

const (
	// Passed means that the engine was called; Reply has what came of it.
	Passed Verdict = "passed"
	// NotOwner means that this router doesn't own the engine, or can't be sure.
	NotOwner Verdict = "not-owner"
	// OldTenure means that the ask was meant for another tenure of ownership.
	OldTenure Verdict = "old-tenure"
	// FormerIssuer means that a later issuer was heard.
	FormerIssuer Verdict = "former-issuer"
	// OldFence means that an order with a higher number was passed.
	OldFence Verdict = "old-fence"
	// CallBusy means that a call to the engine is under way.
	CallBusy Verdict = "call-busy"
)

// Reply is an owner's answer to an Ask.
type Reply struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	Office   Office              `msgpack:"o"`
	Fence    protocol.Fence      `msgpack:"f"`
	ReadOnly bool                `msgpack:"r,omitempty"`
	Verdict  Verdict             `msgpack:"v"`
	// Status is the engine's HTTP status for the order; 0 when no answer came
	// or none was sent.
	Status int `msgpack:"s,omitempty"`
	// State is what the engine then held; nil when it couldn't be read.
	State *upstreamapi.EngineState `msgpack:"e,omitempty"`
	// Done is the work that the engine has completed for each model, as this
	// owner counted it in its tenure, in tokens as the load bound counts.
	Tenure protocol.Fence             `msgpack:"t,omitempty"`
	Done   map[protocol.Model]float64 `msgpack:"d,omitempty"`
}

// Gate is the owner's side: it stands in for the check that some engines
// don't make.
//
// Failure: an issuer was frozen or cut off and its order arrives after its
// successor's; the engine would go back to an older version. It shows as an
// engine that loads what nobody wants. The guard holds because each engine has
// one owner with a valid lease, all orders pass through it, and its memory of
// offices and numbers lasts as long as its tenure; an order that was meant for
// an earlier tenure is refused, so what the memory lacks can't matter.
type Gate struct {
	office  Office
	engines map[protocol.UpstreamID]passed
}

type passed struct {
	tenure protocol.Fence
	fence  protocol.Fence
}

// NewGate returns the gate of a router that has passed nothing.
func NewGate() *Gate { return &Gate{engines: map[protocol.UpstreamID]passed{}} }

// Admit decides on an ask. tenure is the fencing number of this router's
// ownership, 0 when it owns the engine not or has no valid lease at this
// moment.
func (g *Gate) Admit(ask Ask, tenure protocol.Fence) Verdict {
	if tenure == 0 {
		return NotOwner
	}
	if ask.Tenure != tenure {
		return OldTenure
	}
	if ask.Office < g.office {
		return FormerIssuer
	}
	g.office = ask.Office
	known := g.engines[ask.Upstream]
	if known.tenure != tenure {
		known = passed{tenure: tenure}
	}
	if !ask.ReadOnly && ask.Fence < known.fence {
		return OldFence
	}
	known.fence = max(known.fence, ask.Fence)
	g.engines[ask.Upstream] = known
	return Passed
}
