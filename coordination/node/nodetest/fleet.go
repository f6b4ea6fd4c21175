// Package nodetest runs several node.Nodes in memory with small simulations of
// everything around them: messages with a latency, engines that answer token by
// token, and a journal of orders. Time is virtual and the random source is
// seeded, so each run of a test is the same. The package has no sockets, no
// consensus and no membership: the test decides which router owns an upstream
// and which has a lease.
package nodetest

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/node"
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

const (
	// latency is the time that a message between two routers takes.
	latency = 2 * time.Millisecond
	// peerLostAfter is how long a sender takes to detect that a peer is
	// unreachable.
	peerLostAfter = 2 * time.Second
	// leaseDuration and renewEvery are the values of the fleet's leases.
	leaseDuration = 3 * time.Second
	renewEvery    = time.Second
	// commitTime is the time that a commit takes.
	commitTime = 5 * time.Millisecond
)

// Fleet is a set of routers and engines in virtual time.
type Fleet struct {
	Now     time.Duration
	Routers map[protocol.RouterID]*Router
	Engines map[protocol.UpstreamID]*Engine
	Answers map[protocol.RequestID]*Answer
	Events  []node.Event
	// ApplyRemovals makes the fleet carry out RemoveUpstream outputs. Otherwise it
	// ignores them.
	ApplyRemovals bool
	// Journal is the replicated state, used for orders and sessions.
	Journal *fleetstate.Machine
	// EngineReplies holds the replies of owners to the issuer's requests.
	EngineReplies []engineorders.Reply
	// CacheMoves holds the moves of caches that routers started.
	CacheMoves []node.MoveCache
	// OnCall, if set, is called when a router sends a request to an engine, after
	// the engine has received it.
	OnCall func(router protocol.RouterID, call node.CallUpstream)
	// OnSend, if set, is called for each message that a router sends to another one.
	OnSend func(router protocol.RouterID, message node.Send)

	random       *rand.Rand
	events       eventHeap
	lastSequence uint64
	revision     uint64
	fence        protocol.Fence
	customers    map[[32]byte]*node.Customer
	routes       []node.Route
	upstreams    map[protocol.UpstreamID]*node.Upstream
	partitioned  map[[2]protocol.RouterID]bool
	journalIndex uint64

	recorded   protocol.RouterID
	transcript *strings.Builder
}

// Router is one Node and the state of its process.
type Router struct {
	ID   protocol.RouterID
	Core *node.Node
	// A Frozen router handles nothing until Thaw; a Dead one handles nothing.
	Frozen, Dead bool
	// NoLease stops the renewals of its lease.
	NoLease bool
	// NoPath makes its connections to all upstreams fail.
	NoPath  bool
	session ownership.SessionID
	pending []func()
}

// Answer is the answer that a caller has received so far.
type Answer struct {
	Status  int
	Outcome protocol.RunOutcome
	Reason  string
	Chunks  []string
	// Ended means that the answer has ended, and Broken that it is incomplete.
	Ended, Broken bool
	RetryAfter    time.Duration
	// FirstAt is when the head of the answer arrived, and At when the answer
	// ended.
	At      time.Duration
	FirstAt time.Duration
}

// Text joins the chunks of an answer.
func (a *Answer) Text() string {
	text := ""
	for _, chunk := range a.Chunks {
		text += chunk
	}
	return text
}

// New returns a fleet of routers r1 to rN with leases, and one customer whose
// key is "key".
func New(seed uint64, routers int) *Fleet {
	f := &Fleet{
		Routers:     map[protocol.RouterID]*Router{},
		Engines:     map[protocol.UpstreamID]*Engine{},
		Answers:     map[protocol.RequestID]*Answer{},
		Journal:     fleetstate.New(fleetstate.DefaultSettings()),
		random:      rand.New(rand.NewPCG(seed, seed)),
		customers:   map[[32]byte]*node.Customer{},
		upstreams:   map[protocol.UpstreamID]*node.Upstream{},
		partitioned: map[[2]protocol.RouterID]bool{},
	}
	for i := range routers {
		f.addRouter(protocol.RouterID(fmt.Sprintf("r%d", i+1)))
	}
	f.AddCustomer("a", "key", 1)
	return f
}

func (f *Fleet) addRouter(id protocol.RouterID) {
	f.journalIndex++
	open := fleetstate.Command{Open: &ownership.Open{Router: id, Incarnation: 1, DataCentre: "dc1", Address: "127.0.0.1:1", Capacity: 100}}
	result, err := fleetstate.DecodeResult(f.Journal.Apply(f.journalIndex, open.Encode()))
	if err != nil || result.Ownership == nil {
		panic(fmt.Sprintf("nodetest: can't open a session for router %q: %v", id, err))
	}
	r := &Router{ID: id, session: result.Ownership.Session, Core: f.newCore(id)}
	f.Routers[id] = r
	f.renew(r)
	f.tick(r)
}

func (f *Fleet) newCore(id protocol.RouterID) *node.Node {
	return node.New(node.Config{
		Self:            id,
		DataCentre:      "dc1",
		Multiple:        1.25,
		ReuseWeight:     0.5,
		StallTimeout:    3 * time.Second,
		DefaultDeadline: 60 * time.Second,
		Random:          rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})
}

// AddCustomer adds a customer with a bearer key and a priority class.
func (f *Fleet) AddCustomer(id protocol.CustomerID, key string, class int) {
	f.customers[sha256.Sum256([]byte(key))] = &node.Customer{ID: id, Class: class, Weight: 100}
	f.pushViews()
}

// SetCustomer sets the complete row of the customer with a bearer key.
func (f *Fleet) SetCustomer(key string, row node.Customer) {
	f.customers[sha256.Sum256([]byte(key))] = &row
	f.pushViews()
}

// AddRoute adds a route to a plain service.
func (f *Fleet) AddRoute(route node.Route) {
	f.routes = append(f.routes, route)
	f.pushViews()
}

// SetOwner makes a router the owner of an upstream with a new fencing number.
func (f *Fleet) SetOwner(upstream protocol.UpstreamID, router protocol.RouterID) {
	f.fence++
	changed := *f.upstreams[upstream]
	changed.Owner = router
	changed.Fence = f.fence
	f.upstreams[upstream] = &changed
	f.pushViews()
}

// remove removes an upstream from the configuration.
func (f *Fleet) remove(upstream protocol.UpstreamID) {
	delete(f.upstreams, upstream)
	f.pushViews()
}

// pushViews puts the present configuration in force on every router at once.
func (f *Fleet) pushViews() {
	f.revision++
	for _, id := range f.routerIDs() {
		r := f.Routers[id]
		f.runOn(r, func() { f.step(r, node.ViewChanged{View: f.view(r)}) })
	}
}

func (f *Fleet) routerIDs() []protocol.RouterID {
	ids := make([]protocol.RouterID, 0, len(f.Routers))
	for id := range f.Routers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// view builds the configuration for one router.
func (f *Fleet) view(r *Router) *node.View {
	v := &node.View{
		Revision:  f.revision,
		Routes:    f.routes,
		Upstreams: map[protocol.UpstreamID]*node.Upstream{},
		Models:    map[protocol.Model][]*node.Upstream{},
		Services:  map[protocol.Service][]*node.Upstream{},
		Routers:   f.routerIDs(),
	}
	for hash, customer := range f.customers {
		v.Customers.Add(hash, customer)
	}
	ids := make([]protocol.UpstreamID, 0, len(f.upstreams))
	for id := range f.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		upstream := *f.upstreams[id]
		upstream.Index = i
		upstream.OwnedHere = upstream.Owner == r.ID
		v.Upstreams[id] = &upstream
		if upstream.Kind == upstreamapi.KindService {
			v.Services[upstream.Service] = append(v.Services[upstream.Service], &upstream)
			continue
		}
		for _, model := range upstream.Models {
			v.Models[model] = append(v.Models[model], &upstream)
		}
	}
	return v
}

// Submit sends a chat to a router. The prompt is one user message, and tokens is
// the length of the answer.
func (f *Fleet) Submit(router protocol.RouterID, id protocol.RequestID, key, prompt string, tokens int) *Answer {
	body := fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens)
	request := &chat.Request{Model: "m", Stream: true, MaxTokens: tokens, Messages: []chat.Message{{Role: "user", Content: prompt}}}
	return f.SubmitRequest(router, node.CallerRequest{
		ID: id, KeyHash: sha256.Sum256([]byte(key)), HasKey: true, Method: "POST",
		Path: upstreamapi.CompletionsPath, Body: []byte(body), Chat: request,
	})
}

// SubmitRequest sends any request to a router.
func (f *Fleet) SubmitRequest(router protocol.RouterID, request node.CallerRequest) *Answer {
	answer := &Answer{}
	f.Answers[request.ID] = answer
	r := f.Routers[router]
	f.runOn(r, func() { f.step(r, request) })
	return answer
}

// Input passes any input to a router.
func (f *Fleet) Input(router protocol.RouterID, in node.Input) {
	r := f.Routers[router]
	f.runOn(r, func() { f.step(r, in) })
}

// Freeze stops a router's process until Thaw.
func (f *Fleet) Freeze(router protocol.RouterID) { f.Routers[router].Frozen = true }

// Thaw ends a freeze. The router then handles everything that arrived meanwhile.
func (f *Fleet) Thaw(router protocol.RouterID) {
	r := f.Routers[router]
	r.Frozen = false
	pending := r.pending
	r.pending = nil
	for _, run := range pending {
		run()
	}
}

// Kill ends a router's process; its calls to engines end with it.
func (f *Fleet) Kill(router protocol.RouterID) {
	r := f.Routers[router]
	r.Dead = true
	for _, engine := range f.Engines {
		engine.cancelCallsOf(router)
	}
}

// Restart starts a killed router's process again. It has the configuration, and knows nothing else
// of before.
func (f *Fleet) Restart(router protocol.RouterID) {
	r := f.Routers[router]
	r.Core = f.newCore(router)
	r.Dead = false
	f.step(r, node.ViewChanged{View: f.view(r)})
	f.step(r, node.LeaseChanged{Until: f.Now + leaseDuration, Session: r.session})
}

// Partition cuts the network between two routers.
func (f *Fleet) Partition(a, b protocol.RouterID) {
	f.partitioned[[2]protocol.RouterID{a, b}] = true
	f.partitioned[[2]protocol.RouterID{b, a}] = true
}

// Run lets virtual time pass and runs all events that are due in it.
func (f *Fleet) Run(length time.Duration) {
	until := f.Now + length
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.Now = next.at
		next.run()
	}
	f.Now = until
}

// after schedules a function.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.lastSequence++
	heap.Push(&f.events, event{at: f.Now + delay, sequence: f.lastSequence, run: run})
}

// runOn runs a function in a router's process. It delays the function while the
// router is frozen, and drops it if the router is dead.
func (f *Fleet) runOn(r *Router, run func()) {
	switch {
	case r.Dead:
	case r.Frozen:
		r.pending = append(r.pending, run)
	default:
		run()
	}
}

// tick sends a Tick to a router, and repeats it every TickInterval.
func (f *Fleet) tick(r *Router) {
	f.runOn(r, func() { f.step(r, node.Tick{}) })
	f.after(node.TickInterval, func() {
		if !r.Frozen {
			f.tick(r)
			return
		}
		// A frozen process ticks once when it resumes, not once for each missed
		// interval.
		f.after(node.TickInterval, func() { f.tick(r) })
	})
}

// renew renews a router's lease, whose duration counts from the sending of the
// renewal, and repeats that every renewEvery.
func (f *Fleet) renew(r *Router) {
	if !r.Frozen && !r.Dead && !r.NoLease {
		f.step(r, node.LeaseChanged{Until: f.Now + leaseDuration, Session: r.session})
	}
	f.after(renewEvery, func() { f.renew(r) })
}

// step passes an input to a router's Node and carries out its outputs.
func (f *Fleet) step(r *Router, in node.Input) {
	outs := slices.Clone(r.Core.Step(f.Now, in))
	f.recordStep(r, in, outs)
	for _, out := range outs {
		f.perform(r, out)
	}
}

func (f *Fleet) perform(r *Router, out node.Output) {
	switch out := out.(type) {
	case node.Send:
		f.send(r, out)
	case node.Broadcast:
		f.broadcast(r, out)
	case node.BroadcastPart:
		f.broadcastPart(r, out)
	case node.CallUpstream:
		f.callUpstream(r, out)
	case node.CancelUpstream:
		for _, engine := range f.Engines {
			engine.cancel(out.Attempt)
		}
	case node.ProbeUpstream:
		engine := f.Engines[out.Upstream]
		reachable := engine != nil && !engine.Down && !engine.NoConnect && !r.NoPath
		f.after(latency, func() {
			f.runOn(r, func() { f.step(r, node.UpstreamProbed{Upstream: out.Upstream, Reachable: reachable}) })
		})
	case node.Journal:
		f.journal(r, out)
	case node.Event:
		f.Events = append(f.Events, out)
	case node.OrderEngine:
		f.orderEngine(r, out)
	case node.MoveCache:
		f.CacheMoves = append(f.CacheMoves, out)
		f.after(latency, func() {
			f.runOn(r, func() { f.step(r, node.CacheMoved{Upstream: out.Upstream, Hash: out.Hash, Moved: true}) })
		})
	case node.ReplyIssuer:
		f.after(latency, func() { f.EngineReplies = append(f.EngineReplies, out.Reply) })
	case node.RemoveUpstream:
		if f.ApplyRemovals {
			f.after(commitTime, func() { f.remove(out.Upstream) })
		}
	case node.RegisterUpstream:
	default:
		f.recordAnswer(out)
	}
}

// send delivers a message, or tells the sender after peerLostAfter that the peer
// is lost.
func (f *Fleet) send(from *Router, out node.Send) {
	if f.OnSend != nil {
		f.OnSend(from.ID, out)
	}
	to := f.Routers[out.To]
	if to == nil || to.Dead || f.partitioned[[2]protocol.RouterID{from.ID, out.To}] {
		if out.Reliable {
			f.after(peerLostAfter, func() { f.runOn(from, func() { f.step(from, node.PeerLost{Peer: out.To}) }) })
		}
		return
	}
	f.after(latency, func() {
		f.runOn(to, func() { f.step(to, messageInput(from.ID, out)) })
	})
}

// broadcast delivers a notice to every other router that can be reached.
func (f *Fleet) broadcast(from *Router, out node.Broadcast) {
	for _, id := range f.routerIDs() {
		if id != from.ID {
			f.send(from, node.Send{To: id, Kind: wire.KindQuarantine, Payload: out.Notice})
		}
	}
}

// broadcastPart delivers a quarantined part to every other router that can be reached.
func (f *Fleet) broadcastPart(from *Router, out node.BroadcastPart) {
	for _, id := range f.routerIDs() {
		to := f.Routers[id]
		if id != from.ID && !f.partitioned[[2]protocol.RouterID{from.ID, id}] {
			f.after(latency, func() { f.runOn(to, func() { f.step(to, node.PeerPartQuarantine(out)) }) })
		}
	}
}

// journal commits a command of an order.
func (f *Fleet) journal(r *Router, out node.Journal) {
	f.after(commitTime, func() {
		f.journalIndex++
		command := out.Command
		command.At = int64(f.Now / time.Millisecond)
		result, err := fleetstate.DecodeResult(f.Journal.Apply(f.journalIndex, fleetstate.Command{Order: &command}.Encode()))
		in := node.JournalResult{Flow: out.Flow, Op: command.Op, Failed: err != nil}
		if result.Order != nil {
			in.Result = *result.Order
		}
		f.after(latency, func() { f.runOn(r, func() { f.step(r, in) }) })
	})
}

// recordAnswer records what a caller receives.
func (f *Fleet) recordAnswer(out node.Output) {
	switch out := out.(type) {
	case node.AnswerHead:
		a := f.Answers[out.Request]
		a.Status, a.Outcome, a.FirstAt = out.Status, out.Outcome, f.Now
	case node.AnswerChunk:
		a := f.Answers[out.Request]
		a.Chunks = append(a.Chunks, string(out.Data))
	case node.AnswerEnd:
		a := f.Answers[out.Request]
		a.Ended, a.Broken, a.Reason, a.At = true, out.Broken, string(out.Reason), f.Now
	case node.AnswerError:
		a := f.Answers[out.Request]
		a.Ended, a.Status, a.Outcome, a.Reason, a.At = true, out.Status, out.Outcome, string(out.Reason), f.Now
		a.RetryAfter = out.RetryAfter
	}
}

// callUpstream starts a request on an engine.
func (f *Fleet) callUpstream(r *Router, call node.CallUpstream) {
	engine := f.Engines[call.Place.Upstream]
	engine.start(r, call)
	if f.OnCall != nil {
		f.OnCall(r.ID, call)
	}
}

// Order sends an order to a router.
func (f *Fleet) Order(router protocol.RouterID, id protocol.RequestID, key string, body string) *Answer {
	digest := sha256.Sum256([]byte("key"))
	return f.SubmitRequest(router, node.CallerRequest{
		ID: id, KeyHash: digest, HasKey: true, Method: "POST", Path: "/svc/orders/new",
		Body: []byte(body), IdempotencyKey: key,
	})
}

// event is a function to run at a time. Events of the same time run in the order
// in which they were scheduled, by sequence.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap of events by time.
type eventHeap []event

func (s eventHeap) Len() int { return len(s) }
func (s eventHeap) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}
func (s eventHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push and Pop implement heap.Interface.
func (s *eventHeap) Push(x any) { *s = append(*s, x.(event)) }

// Pop implements heap.Interface.
func (s *eventHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// KeyHash returns the hash of a bearer key, as in CallerRequest.
func KeyHash(key string) [32]byte { return sha256.Sum256([]byte(key)) }
