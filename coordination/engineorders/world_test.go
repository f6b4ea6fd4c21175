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

// world is one engine, its owners, issuers and the replicated state, in
// virtual time. Messages are delivered in the step after they were sent,
// unless they are held.
type world struct {
	t      *testing.T
	now    time.Duration
	index  uint64
	state  *State
	issuer *Issuer
	engine *engine.Core
	checks bool
	gate   *Gate
	owner  Owner
	mail   []Send
	// held are asks that a frozen issuer or a slow link keeps.
	held []Send
	hold bool
	// loseAnswers drops what the engine answered, with the order carried out.
	loseAnswers int
	// busy is how many asks find a call under way.
	busy int
	// refuse is the engine's answer to every order, 0 for its own.
	refuse int
	posts  int
}

func newWorld(t *testing.T, checks bool) *world {
	model := engine.DefaultCostModel()
	model.LoadTime = 5 * time.Second
	faults := engine.Faults{IgnoreFence: !checks}
	w := &world{
		t: t, checks: checks, state: NewState(), gate: NewGate(),
		engine: engine.NewCore(model, faults, []protocol.Model{"base"}, "serve", rand.New(rand.NewPCG(1, 1))),
		owner:  Owner{Router: "r1", Tenure: 1, ChecksFence: checks},
	}
	w.index = 10
	w.takeOffice()
	// A first order, done, has the issuer know the present tenure.
	w.apply(Command{Issue: &Issue{Office: w.issuer.office, Upstream: "e1", Intent: Intent{Action: upstreamapi.ActionRole, Role: "serve"}}})
	w.run(20 * time.Second)
	assert.Equal(t, w.ending(), Carried)
	w.posts = 0
	return w
}

func (w *world) apply(command Command) Answer {
	w.index++
	return w.state.Apply(w.index, command)
}

// takeOffice makes a new issuer the one in office.
func (w *world) takeOffice() *Issuer {
	answer := w.apply(Command{Take: &Take{Router: "issuer"}})
	w.issuer = NewIssuer(DefaultTiming(), answer.Office, w.now)
	return w.issuer
}

func (w *world) issue(issuer *Issuer, version string) Answer {
	return w.apply(Command{Issue: &Issue{Office: issuer.office, Upstream: "e1", Intent: Intent{Action: upstreamapi.ActionLoad, Model: "m", Version: version}}})
}

func (w *world) ownerOf(protocol.UpstreamID) (Owner, bool) { return w.owner, true }

func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += stepTime {
		sends, commands := w.issuer.Step(w.now, w.state, w.ownerOf)
		for _, command := range commands {
			w.apply(command)
		}
		mail := w.mail
		w.mail = nil
		for _, send := range mail {
			w.deliver(send)
		}
		if w.hold {
			w.held = append(w.held, sends...)
			continue
		}
		w.mail = append(w.mail, sends...)
	}
}

// deliver passes an ask through the owner's gate to the engine.
func (w *world) deliver(send Send) {
	tenure := w.owner.Tenure
	if send.To != w.owner.Router {
		tenure = 0
	}
	ask := send.Ask
	reply := Reply{Upstream: ask.Upstream, Office: ask.Office, Fence: ask.Fence, ReadOnly: ask.ReadOnly}
	reply.Verdict = w.gate.Admit(ask, tenure)
	if w.busy > 0 {
		w.busy--
		reply.Verdict = CallBusy
	}
	if reply.Verdict == Passed {
		w.call(ask, &reply)
	}
	if order, open := w.state.OpenOf(ask.Upstream); open && reply.Verdict != "" {
		w.issuer.Reply(w.now, order, reply)
	}
}

func (w *world) call(ask Ask, reply *Reply) {
	if !ask.ReadOnly {
		reply.Status = w.post(ask)
		if w.loseAnswers > 0 {
			w.loseAnswers--
			reply.Verdict = ""
			return
		}
	}
	state := w.engine.State(w.now)
	reply.State = &state
}

func (w *world) post(ask Ask) int {
	w.posts++
	if w.refuse != 0 {
		return w.refuse
	}
	order := upstreamapi.EngineOrder{Fence: ask.Fence, Action: ask.Intent.Action, Model: ask.Intent.Model, Version: ask.Intent.Version, Role: ask.Intent.Role}
	if w.engine.Order(w.now, order) == engine.OrderFenced {
		return upstreamapi.StatusConflict
	}
	return upstreamapi.StatusAccepted
}

// version is what the engine holds of the model.
func (w *world) version() string {
	for _, held := range w.engine.State(w.now).Models {
		if held.Model == "m" {
			return held.Version
		}
	}
	return ""
}

func (w *world) ending() Ending {
	settled, _ := w.state.SettledOf("e1")
	return settled.Ending
}

// bothKinds runs a story with an engine that checks numbers and one that
// doesn't.
func bothKinds(t *testing.T, story func(t *testing.T, w *world)) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) { story(t, newWorld(t, checks)) })
	}
}

func TestLoadIsConfirmedOnceReadBack(t *testing.T) {
	bothKinds(t, func(t *testing.T, w *world) {
		w.issue(w.issuer, "v1")
		w.run(2 * time.Second)
		assert.Equal(t, len(w.state.Open()), 1, "a load under way isn't done")
		w.run(8 * time.Second)
		assert.Equal(t, w.ending(), Carried)
		assert.Equal(t, w.posts, 1)
	})
}
