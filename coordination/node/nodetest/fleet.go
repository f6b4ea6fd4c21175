// Package nodetest drives several node cores in memory, with small fakes at
// their interfaces: messages that take time, engines that answer token by
// token, and a journal. Time is virtual and the random source seeded, so a run
// is the same each time. It knows nothing of sockets, consensus or membership:
// a test says who owns an upstream and who holds a lease.
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
	// latency is the time of a message between two routers.
	latency = 2 * time.Millisecond
	// lostAfter is when a sender hears that a peer can't be reached.
	lostAfter = 2 * time.Second
	// leaseLength and renewEvery are those of the fleet's leases.
	leaseLength = 3 * time.Second
	renewEvery  = time.Second
	// journalTime is the time of one commit.
	journalTime = 5 * time.Millisecond
)

// Fleet is a set of routers and engines in virtual time.
type Fleet struct {
	Now     time.Duration
	Routers map[protocol.RouterID]*Router
	Engines map[protocol.UpstreamID]*Engine
	Answers map[protocol.RequestID]*Answer
	Events  []node.Event
	// Removes says whether upstreams that routers report gone are taken out of
	// the configuration.
	Removes bool
	// Journal is the replicated state, for orders.
	Journal *fleetstate.Machine
	// Replies are what owners answered to asks about orders to engines.
	Replies []engineorders.Reply
	// Moves are the caches that routers moved.
	Moves []node.MoveCache
	// OnCall is called when a router sends a request to an engine, after the
	// engine has it.
	OnCall func(router protocol.RouterID, call node.CallUpstream)

	random    *rand.Rand
	queue     schedule
	order     uint64
	revision  uint64
	fence     protocol.Fence
	customers map[[32]byte]*node.Customer
	routes    []node.Route
	upstreams map[protocol.UpstreamID]*node.Upstream
	cut       map[[2]protocol.RouterID]bool
	index     uint64

	recorded   protocol.RouterID
	transcript *strings.Builder
}

// Router is one node core and what happened to its process.
type Router struct {
	ID   protocol.RouterID
	Core *node.Node
	// Frozen routers handle nothing until thawed; dead ones never again.
	Frozen, Dead bool
	// NoLease stops its renewals.
	NoLease bool
	session ownership.SessionID
	held    []func()
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome protocol.RunOutcome
	Reason  string
	Chunks  []string
	// Ended says that the answer is closed, Broken that it isn't whole.
	Ended, Broken bool
	RetryAfter    time.Duration
	At            time.Duration
	FirstAt       time.Duration
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
		Routers:   map[protocol.RouterID]*Router{},
		Engines:   map[protocol.UpstreamID]*Engine{},
		Answers:   map[protocol.RequestID]*Answer{},
		Journal:   fleetstate.New(fleetstate.DefaultSettings()),
		random:    rand.New(rand.NewPCG(seed, seed)),
		customers: map[[32]byte]*node.Customer{},
		upstreams: map[protocol.UpstreamID]*node.Upstream{},
		cut:       map[[2]protocol.RouterID]bool{},
	}
	for i := range routers {
		f.addRouter(protocol.RouterID(fmt.Sprintf("r%d", i+1)))
	}
	f.Customer("a", "key", 1)
	return f
}

func (f *Fleet) addRouter(id protocol.RouterID) {
	f.index++
	open := fleetstate.Command{Open: &ownership.Open{Router: id, Incarnation: 1, DataCentre: "dc1", Address: "127.0.0.1:1", Capacity: 100}}
	result, err := fleetstate.DecodeResult(f.Journal.Apply(f.index, open.Encode()))
	if err != nil || result.Ownership == nil {
		panic("nodetest: a session could not be opened")
	}
	r := &Router{ID: id, session: result.Ownership.Session, Core: node.New(node.Config{
		Self:        id,
		DataCentre:  "dc1",
		Multiple:    1.25,
		ReuseWeight: 0.5,
		Stall:       3 * time.Second,
		Deadline:    60 * time.Second,
		Random:      rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})}
	f.Routers[id] = r
	f.renew(r)
	f.tick(r)
}

// Customer adds a customer with a bearer key and a priority class.
func (f *Fleet) Customer(id protocol.CustomerID, key string, class int) {
	f.customers[sha256.Sum256([]byte(key))] = &node.Customer{ID: id, Class: class, Weight: 100}
	f.showAll()
}

// SetCustomer puts a whole customer's row in force.
func (f *Fleet) SetCustomer(key string, row node.Customer) {
	f.customers[sha256.Sum256([]byte(key))] = &row
	f.showAll()
}

// Route adds a route to a plain service.
func (f *Fleet) Route(route node.Route) {
	f.routes = append(f.routes, route)
	f.showAll()
}

// Own makes a router the owner of an upstream under a new fencing number.
func (f *Fleet) Own(upstream protocol.UpstreamID, router protocol.RouterID) {
	f.fence++
	changed := *f.upstreams[upstream]
	changed.Owner = router
	changed.Fence = f.fence
	f.upstreams[upstream] = &changed
	f.showAll()
}

// remove takes an upstream out of the configuration.
func (f *Fleet) remove(upstream protocol.UpstreamID) {
	delete(f.upstreams, upstream)
	f.showAll()
}

// showAll puts the present configuration in force on every router at once.
func (f *Fleet) showAll() {
	f.revision++
	for _, id := range f.routerIDs() {
		r := f.Routers[id]
		f.toRouter(r, func() { f.step(r, node.ViewChanged{View: f.view(r)}) })
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

// view is the configuration as one router sees it.
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
		upstream.Mine = upstream.Owner == r.ID
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

// Submit sends a chat to a router. The prompt is one user message; tokens is
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
	f.toRouter(r, func() { f.step(r, request) })
	return answer
}

// Input gives a router any input.
func (f *Fleet) Input(router protocol.RouterID, in node.Input) {
	r := f.Routers[router]
	f.toRouter(r, func() { f.step(r, in) })
}

// Freeze stops a router's process; Thaw lets it go on with all that piled up.
func (f *Fleet) Freeze(router protocol.RouterID) { f.Routers[router].Frozen = true }

// Thaw ends a freeze.
func (f *Fleet) Thaw(router protocol.RouterID) {
	r := f.Routers[router]
	r.Frozen = false
	held := r.held
	r.held = nil
	for _, run := range held {
		run()
	}
}

// Kill ends a router's process; its calls to engines end with it.
func (f *Fleet) Kill(router protocol.RouterID) {
	r := f.Routers[router]
	r.Dead = true
	for _, engine := range f.Engines {
		engine.callerDied(router)
	}
}

// Cut parts two routers from each other.
func (f *Fleet) Cut(a, b protocol.RouterID) {
	f.cut[[2]protocol.RouterID{a, b}] = true
	f.cut[[2]protocol.RouterID{b, a}] = true
}

// Run passes time.
func (f *Fleet) Run(length time.Duration) {
	until := f.Now + length
	for len(f.queue) > 0 && f.queue[0].at <= until {
		next := heap.Pop(&f.queue).(item)
		f.Now = next.at
		next.run()
	}
	f.Now = until
}

// after schedules something.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, item{at: f.Now + delay, order: f.order, run: run})
}

// toRouter runs something on a router's process, when it can.
func (f *Fleet) toRouter(r *Router, run func()) {
	switch {
	case r.Dead:
	case r.Frozen:
		r.held = append(r.held, run)
	default:
		run()
	}
}

// tick passes time to a router's core.
func (f *Fleet) tick(r *Router) {
	f.toRouter(r, func() { f.step(r, node.Tick{}) })
	f.after(node.TickInterval, func() {
		if !r.Frozen {
			f.tick(r)
			return
		}
		// A frozen process ticks once when it thaws, not once for each tick.
		f.after(node.TickInterval, func() { f.tick(r) })
	})
}

// renew keeps a router's lease, counted from when the renewal was sent.
func (f *Fleet) renew(r *Router) {
	if !r.Frozen && !r.Dead && !r.NoLease {
		f.step(r, node.LeaseChanged{Until: f.Now + leaseLength, Session: r.session})
	}
	f.after(renewEvery, func() { f.renew(r) })
}

func (f *Fleet) step(r *Router, in node.Input) {
	outs := slices.Clone(r.Core.Step(f.Now, in))
	f.note(r, in, outs)
	for _, out := range outs {
		f.perform(r, out)
	}
}

func (f *Fleet) perform(r *Router, out node.Output) {
	switch out := out.(type) {
	case node.Send:
		f.send(r, out)
	case node.Spread:
		f.spread(r, out)
	case node.CallUpstream:
		f.call(r, out)
	case node.CancelUpstream:
		for _, engine := range f.Engines {
			engine.cancel(out.Attempt)
		}
	case node.ProbeUpstream:
		engine := f.Engines[out.Upstream]
		reachable := engine != nil && !engine.Down
		f.after(latency, func() {
			f.toRouter(r, func() { f.step(r, node.UpstreamProbed{Upstream: out.Upstream, Reachable: reachable}) })
		})
	case node.Journal:
		f.journal(r, out)
	case node.Event:
		f.Events = append(f.Events, out)
	case node.OrderEngine:
		f.orderEngine(r, out)
	case node.MoveCache:
		f.Moves = append(f.Moves, out)
		f.after(latency, func() {
			f.toRouter(r, func() { f.step(r, node.CacheMoved{Upstream: out.Upstream, Hash: out.Hash, Moved: true}) })
		})
	case node.ReplyIssuer:
		f.after(latency, func() { f.Replies = append(f.Replies, out.Reply) })
	case node.RemoveUpstream:
		if f.Removes {
			f.after(journalTime, func() { f.remove(out.Upstream) })
		}
	case node.RegisterUpstream:
	default:
		f.answer(out)
	}
}

// send delivers a message, or tells the sender later that it couldn't.
func (f *Fleet) send(from *Router, out node.Send) {
	to := f.Routers[out.To]
	if to == nil || to.Dead || f.cut[[2]protocol.RouterID{from.ID, out.To}] {
		if out.Reliable {
			f.after(lostAfter, func() { f.toRouter(from, func() { f.step(from, node.PeerLost{Peer: out.To}) }) })
		}
		return
	}
	f.after(latency, func() {
		f.toRouter(to, func() { f.step(to, inputOf(from.ID, out)) })
	})
}

// spread delivers a notice to every other router that can be reached.
func (f *Fleet) spread(from *Router, out node.Spread) {
	for _, id := range f.routerIDs() {
		if id != from.ID {
			f.send(from, node.Send{To: id, Kind: wire.KindQuarantine, Payload: out.Notice})
		}
	}
}

// journal commits an order's command.
func (f *Fleet) journal(r *Router, out node.Journal) {
	f.after(journalTime, func() {
		f.index++
		command := out.Command
		command.At = int64(f.Now / time.Millisecond)
		result, err := fleetstate.DecodeResult(f.Journal.Apply(f.index, fleetstate.Command{Order: &command}.Encode()))
		in := node.JournalResult{Caller: out.Caller, Op: command.Op, Failed: err != nil}
		if result.Order != nil {
			in.Result = *result.Order
		}
		f.after(latency, func() { f.toRouter(r, func() { f.step(r, in) }) })
	})
}

// answer notes what a caller gets.
func (f *Fleet) answer(out node.Output) {
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

// call starts a request on an engine.
func (f *Fleet) call(r *Router, call node.CallUpstream) {
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

// item is something that happens at a time; order settles ties.
type item struct {
	at    time.Duration
	order uint64
	run   func()
}

// schedule is a heap of items.
type schedule []item

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push and Pop implement heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(item)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// KeyHash is the hash of a bearer key as the core gets it.
func KeyHash(key string) [32]byte { return sha256.Sum256([]byte(key)) }
