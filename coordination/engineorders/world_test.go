package engineorders

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/engine"
)

const stepTime = 100 * time.Millisecond

// world simulates one engine, its owner, its issuers and the replicated state, in
// simulated time. A request is delivered in the step after it was sent, unless
// holdRequests is set.
type world struct {
	t      *testing.T
	now    time.Duration
	index  uint64
	state  *State
	issuer *Issuer
	engine *engine.Core
	// checks says that the engine checks fencing numbers.
	checks    bool
	gate      *Gate
	owner     Owner
	inTransit []OutgoingRequest
	// held are the requests that a frozen issuer or a slow link holds back.
	held         []OutgoingRequest
	holdRequests bool
	// loseAnswers is how many of the engine's next answers get lost after the
	// engine executed the order.
	loseAnswers int
	// busy is how many of the next requests find another call in flight.
	busy int
	// refuse is the HTTP status that the engine answers to every order; 0 lets
	// the simulated engine decide.
	refuse     int
	orderCalls int
}

func newWorld(t *testing.T, checks bool) *world {
	model := engine.DefaultCostModel()
	model.LoadTime = 5 * time.Second
	faults := engine.Faults{IgnoreFence: !checks}
	w := &world{
		t: t, checks: checks, state: NewState(), gate: NewGate(),
		engine: engine.NewCore(model, faults, []protocol.Model{"base"}, "serve", rand.New(rand.NewPCG(1, 1))),
		owner:  Owner{Router: "r1", OwnershipFence: 1, ChecksFence: checks},
	}
	w.index = 10
	w.startTerm()
	// The issuer learns the present ownership by a first order, which is done
	// before the test begins.
	w.apply(Command{Issue: &Issue{Term: w.issuer.term, Upstream: "e1", Intent: Intent{Action: upstreamapi.ActionRole, Role: "serve"}}})
	w.run(20 * time.Second)
	assert.Equal(t, w.resolution(), Executed)
	w.orderCalls = 0
	return w
}

func (w *world) apply(command Command) Answer {
	w.index++
	return w.state.Apply(w.index, command)
}

// startTerm starts the term of a new issuer.
func (w *world) startTerm() *Issuer {
	answer := w.apply(Command{StartTerm: &StartTerm{Router: "issuer"}})
	w.issuer = NewIssuer(DefaultTiming(), answer.Term, w.now)
	return w.issuer
}

func (w *world) issue(issuer *Issuer, version string) Answer {
	return w.apply(Command{Issue: &Issue{Term: issuer.term, Upstream: "e1", Intent: Intent{Action: upstreamapi.ActionLoad, Model: "m", Version: version}}})
}

func (w *world) ownerOf(protocol.UpstreamID) (Owner, bool) { return w.owner, true }

func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += stepTime {
		requests, commands := w.issuer.Step(w.now, w.state, w.ownerOf)
		for _, command := range commands {
			w.apply(command)
		}
		arrived := w.inTransit
		w.inTransit = nil
		for _, outgoing := range arrived {
			w.deliver(outgoing)
		}
		if w.holdRequests {
			w.held = append(w.held, requests...)
			continue
		}
		w.inTransit = append(w.inTransit, requests...)
	}
}

// deliver passes a request through the owner's gate to the engine.
func (w *world) deliver(outgoing OutgoingRequest) {
	ownership := w.owner.OwnershipFence
	if outgoing.To != w.owner.Router {
		ownership = 0
	}
	request := outgoing.Request
	reply := Reply{Upstream: request.Upstream, Term: request.Term, Fence: request.Fence, ReadOnly: request.ReadOnly}
	reply.Admission = w.gate.Admit(request, ownership)
	if w.busy > 0 {
		w.busy--
		reply.Admission = CallBusy
	}
	if reply.Admission == Admitted {
		w.call(request, &reply)
	}
	if order, open := w.state.OpenOf(request.Upstream); open && reply.Admission != "" {
		w.issuer.HandleReply(w.now, order, reply)
	}
}

func (w *world) call(request Request, reply *Reply) {
	if !request.ReadOnly {
		reply.Status = w.sendOrder(request)
		if w.loseAnswers > 0 {
			w.loseAnswers--
			reply.Admission = ""
			return
		}
	}
	state := w.engine.State(w.now)
	reply.State = &state
}

func (w *world) sendOrder(request Request) int {
	w.orderCalls++
	if w.refuse != 0 {
		return w.refuse
	}
	order := upstreamapi.EngineOrder{Fence: request.Fence, Action: request.Intent.Action, Model: request.Intent.Model, Version: request.Intent.Version, Role: request.Intent.Role}
	if w.engine.Order(w.now, order) == engine.OrderFenced {
		return upstreamapi.StatusConflict
	}
	return upstreamapi.StatusAccepted
}

// version returns the version of model m that the engine holds, or "".
func (w *world) version() string {
	for _, held := range w.engine.State(w.now).Models {
		if held.Model == "m" {
			return held.Version
		}
	}
	return ""
}

func (w *world) resolution() Resolution {
	settled, _ := w.state.SettledOf("e1")
	return settled.Resolution
}

// withAndWithoutFenceCheck runs a test with an engine that checks fencing numbers
// and with one that doesn't.
func withAndWithoutFenceCheck(t *testing.T, test func(t *testing.T, w *world)) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) { test(t, newWorld(t, checks)) })
	}
}

// A load takes the engine 5 s. The order must stay open until the engine's state
// shows the model as ready, and must be sent only once.
func TestLoadIsConfirmedOnceReadBack(t *testing.T) {
	withAndWithoutFenceCheck(t, func(t *testing.T, w *world) {
		w.issue(w.issuer, "v1")
		w.run(2 * time.Second)
		assert.Equal(t, len(w.state.Open()), 1, "a load in progress must stay open")
		w.run(8 * time.Second)
		assert.Equal(t, w.resolution(), Executed)
		assert.Equal(t, w.orderCalls, 1)
	})
}
