package engineorders

import (
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Request is what the issuer sends to the router that owns an engine: to pass an
// order to the engine or to read its state.
type Request struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	// OwnershipFence is the fencing number of the ownership that the issuer knows.
	OwnershipFence protocol.Fence `msgpack:"t"`
	Term           Term           `msgpack:"o"`
	// Fence is the order's fencing number, 0 in a poll that belongs to no order.
	Fence  protocol.Fence `msgpack:"f"`
	Intent Intent         `msgpack:"i"`
	// ReadOnly asks only for the engine's state. The Gate still records the
	// term, so that a former issuer's order can't pass later.
	ReadOnly bool `msgpack:"r,omitempty"`
}

// Admission says what an owner did with a Request.
type Admission string

const (
	// Admitted means that the owner called the engine; Reply has the result.
	Admitted Admission = "passed"
	// NotOwner means that this router doesn't own the engine, or can't be sure
	// that it does.
	NotOwner Admission = "not-owner"
	// OldOwnership means that the request was meant for another ownership of the
	// engine.
	OldOwnership Admission = "old-tenure"
	// FormerIssuer means that the owner has received a request of a later issuer.
	FormerIssuer Admission = "former-issuer"
	// OldFence means that the owner has already admitted a request for an order with
	// a higher fencing number.
	OldFence Admission = "old-fence"
	// CallBusy means that another call to the engine is in flight.
	CallBusy Admission = "call-busy"
)

// Reply is an owner's reply to a Request.
type Reply struct {
	Upstream  protocol.UpstreamID `msgpack:"u"`
	Term      Term                `msgpack:"o"`
	Fence     protocol.Fence      `msgpack:"f"`
	ReadOnly  bool                `msgpack:"r,omitempty"`
	Admission Admission           `msgpack:"v"`
	// Status is the engine's HTTP status for the order; 0 when no answer came
	// or none was sent.
	Status int `msgpack:"s,omitempty"`
	// State is the engine's state after the order; nil when it couldn't be read.
	State *upstreamapi.EngineState `msgpack:"e,omitempty"`
	// OwnershipFence is the fencing number of the ownership in which Completed was
	// counted.
	OwnershipFence protocol.Fence `msgpack:"t,omitempty"`
	// Completed is the work that the engine has completed for each model since that
	// ownership began, as its owner counted it, in generated tokens, the unit of
	// the bound on an engine's load.
	Completed map[protocol.Model]float64 `msgpack:"d,omitempty"`
}

// Gate decides in the router that owns an engine which orders reach the engine. It
// replaces the check of fencing numbers that some engines don't make.
//
// The failure it guards against: an issuer was frozen or cut off, its order
// arrives after its successor's, and the engine goes back to an older version. The
// symptom is an engine that loads a model or version that nobody wants. The guard
// is safe because each engine has one owner with a valid lease, all orders pass
// through the owner's Gate, and the Gate remembers terms and fencing numbers as
// long as the ownership lasts. An order that was meant for an earlier ownership is
// refused, so it does no harm that the Gate doesn't know that ownership's numbers.
type Gate struct {
	term    Term
	engines map[protocol.UpstreamID]engineFences
}

// engineFences are the highest fencing numbers known for an engine: that of its
// ownership and that of an order.
type engineFences struct {
	ownership protocol.Fence
	order     protocol.Fence
}

// NewGate returns a Gate that has admitted nothing yet.
func NewGate() *Gate { return &Gate{engines: map[protocol.UpstreamID]engineFences{}} }

// Admit decides on a request. ownership is the fencing number of this router's
// ownership of the engine, 0 when it doesn't own the engine or has no valid lease
// now.
func (g *Gate) Admit(request Request, ownership protocol.Fence) Admission {
	if ownership == 0 {
		return NotOwner
	}
	if request.OwnershipFence != ownership {
		return OldOwnership
	}
	if request.Term < g.term {
		return FormerIssuer
	}
	g.term = request.Term
	known := g.engines[request.Upstream]
	if known.ownership != ownership {
		known = engineFences{ownership: ownership}
	}
	if !request.ReadOnly && request.Fence < known.order {
		return OldFence
	}
	known.order = max(known.order, request.Fence)
	g.engines[request.Upstream] = known
	return Admitted
}
