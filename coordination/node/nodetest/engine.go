package nodetest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/node"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

// CrashMark in a prompt crashes an engine that starts it.
const CrashMark = "CRASH"

// Engine is a simulated model engine or server of a plain service.
type Engine struct {
	ID protocol.UpstreamID
	// TokenTime is the time that the engine takes for one token. CrashAfter is
	// the time from the start of a request with CrashMark to the crash.
	TokenTime  time.Duration
	CrashAfter time.Duration
	// A Down engine accepts no connections. A Silent one accepts them and sends
	// nothing, also for the answers in flight.
	Down, Silent bool
	// NoAnnouncements stops the announcements of an engine that works otherwise.
	NoAnnouncements bool
	// NoConnect refuses connections while announcements continue.
	NoConnect bool
	// RetryAfter, if set, is sent with the refusal of every request.
	RetryAfter time.Duration
	Crashes    int
	// State is the engine's state, which orders change. The engine refuses older
	// fencing numbers only with ChecksFence. OrderDelay is the additional time
	// that an order takes to reach it.
	State       upstreamapi.EngineState
	ChecksFence bool
	OrderDelay  time.Duration
	// Runs counts the calls for each request body.
	Runs map[string]int

	fleet       *Fleet
	calls       map[fleet.Attempt]*engineCall
	incarnation uint64
	sequence    uint64
	service     protocol.Service
}

// engineCall is one call in flight.
type engineCall struct {
	owner     *Router
	call      node.CallUpstream
	nextToken int
	ended     bool
}

// AddEngine adds an engine of the model "m" owned by a router.
func (f *Fleet) AddEngine(id protocol.UpstreamID, owner protocol.RouterID, capacity float64, slots int) *Engine {
	f.upstreams[id] = &node.Upstream{
		ID: id, Kind: upstreamapi.KindEngine, Address: "127.0.0.1:1", DataCentre: "dc1", Models: []protocol.Model{"m"},
		AnnouncedCapacity: capacity, AnnouncedMaxConcurrent: slots, Capacity: capacity, MaxConcurrent: slots,
	}
	return f.addUpstream(id, owner)
}

// AddServer adds a server of a plain service owned by a router.
func (f *Fleet) AddServer(id protocol.UpstreamID, service protocol.Service, owner protocol.RouterID, slots int) *Engine {
	f.upstreams[id] = &node.Upstream{
		ID: id, Kind: upstreamapi.KindService, Address: "127.0.0.1:1", DataCentre: "dc1", Service: service,
		AnnouncedCapacity: 1, AnnouncedMaxConcurrent: slots, Capacity: 1, MaxConcurrent: slots,
	}
	engine := f.addUpstream(id, owner)
	engine.service = service
	return engine
}

// SetBuild sets the version of an upstream's software.
func (f *Fleet) SetBuild(id protocol.UpstreamID, build string) {
	changed := *f.upstreams[id]
	changed.Build = build
	f.upstreams[id] = &changed
	f.pushViews()
}

// BuildOf returns the version of an upstream's software.
func (f *Fleet) BuildOf(id protocol.UpstreamID) string { return f.upstreams[id].Build }

func (f *Fleet) addUpstream(id protocol.UpstreamID, owner protocol.RouterID) *Engine {
	engine := &Engine{
		ID: id, TokenTime: 20 * time.Millisecond, CrashAfter: 100 * time.Millisecond,
		Runs: map[string]int{}, fleet: f, calls: map[fleet.Attempt]*engineCall{}, incarnation: 1,
	}
	f.Engines[id] = engine
	f.SetOwner(id, owner)
	engine.announce()
	return engine
}

// Running returns the number of calls in flight.
func (e *Engine) Running() int { return len(e.calls) }

// announce sends an announcement to a random router, and repeats it twice a
// second.
func (e *Engine) announce() {
	f := e.fleet
	if !e.Down && !e.NoAnnouncements && f.upstreams[e.ID] != nil {
		e.sequence++
		ids := f.routerIDs()
		r := f.Routers[ids[f.random.IntN(len(ids))]]
		announcement := e.announcement()
		f.runOn(r, func() { f.step(r, node.UpstreamAnnounced{Announcement: announcement}) })
	}
	f.after(upstreamapi.AnnounceInterval, e.announce)
}

func (e *Engine) announcement() upstreamapi.Announcement {
	row := e.fleet.upstreams[e.ID]
	return upstreamapi.Announcement{
		ID: e.ID, Incarnation: e.incarnation, Sequence: e.sequence, Kind: row.Kind, Address: row.Address,
		DataCentre: row.DataCentre, Models: row.Models, Service: row.Service, Build: row.Build, Capacity: row.AnnouncedCapacity,
		MaxConcurrent: row.AnnouncedMaxConcurrent, Load: upstreamapi.Load{Running: len(e.calls), OutstandingTokens: e.outstanding()},
	}
}

func (e *Engine) outstanding() int {
	sum := 0
	for _, c := range e.calls {
		sum += max(0, c.call.Place.OutputTokens-c.nextToken)
	}
	return sum
}

// start starts a call.
func (e *Engine) start(r *Router, call node.CallUpstream) {
	f := e.fleet
	if e.Down || e.NoConnect || r.NoPath {
		f.after(latency, func() { e.end(&engineCall{owner: r, call: call}, node.UpstreamEnd{}) })
		return
	}
	if e.RetryAfter > 0 {
		refused := node.UpstreamEnd{Sent: true, Status: 503, RetryAfter: e.RetryAfter}
		f.after(latency, func() { e.end(&engineCall{owner: r, call: call}, refused) })
		return
	}
	e.Runs[string(call.Place.Body)]++
	c := &engineCall{owner: r, call: call, nextToken: call.Place.ResumeAt}
	e.calls[call.Attempt] = c
	if strings.Contains(string(call.Place.Body), CrashMark) {
		f.after(e.CrashAfter, func() {
			if !c.ended {
				e.Crash(5 * time.Second)
			}
		})
	}
	f.after(e.TokenTime, func() { e.produce(c) })
}

// produce sends the next token, or the complete answer of a plain service.
func (e *Engine) produce(c *engineCall) {
	if c.ended || e.Silent {
		return
	}
	if e.service != "" {
		e.chunk(c, 0, fmt.Sprintf("ran %s", c.call.Place.Body))
		e.finish(c)
		return
	}
	if c.nextToken >= c.call.Place.OutputTokens {
		e.finish(c)
		return
	}
	e.chunk(c, c.nextToken, Token(string(c.call.Place.Body), c.nextToken))
	c.nextToken++
	e.fleet.after(e.TokenTime, func() { e.produce(c) })
}

// Token returns the token at an index of the answer to a request body.
func Token(body string, index int) string {
	return fmt.Sprintf("%d-%d ", len(body), index)
}

// ExpectedAnswer returns the answer that a caller of Submit must get.
func ExpectedAnswer(prompt string, tokens int) string {
	body := fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens)
	text := ""
	for i := range tokens {
		text += Token(body, i)
	}
	return text
}

func (e *Engine) chunk(c *engineCall, index int, text string) {
	f := e.fleet
	chunk := fleet.Chunk{Attempt: c.call.Attempt, Index: index, Data: []byte(text)}
	if index == c.call.Place.ResumeAt {
		chunk.Status = 200
	}
	f.runOn(c.owner, func() { f.step(c.owner, node.UpstreamChunk{Chunk: chunk}) })
}

func (e *Engine) finish(c *engineCall) {
	e.end(c, node.UpstreamEnd{Complete: true, Sent: true, Status: 200})
}

func (e *Engine) end(c *engineCall, end node.UpstreamEnd) {
	f := e.fleet
	c.ended = true
	delete(e.calls, c.call.Attempt)
	end.Attempt = c.call.Attempt
	f.runOn(c.owner, func() { f.step(c.owner, end) })
}

func (e *Engine) cancel(attempt fleet.Attempt) {
	if c := e.calls[attempt]; c != nil {
		c.ended = true
		delete(e.calls, attempt)
	}
}

func (e *Engine) cancelCallsOf(router protocol.RouterID) {
	for attempt, c := range e.calls {
		if c.owner.ID == router {
			e.cancel(attempt)
		}
	}
}

// Crash ends the engine's process, and starts a new one after downFor.
func (e *Engine) Crash(downFor time.Duration) {
	e.Crashes++
	e.Down = true
	attempts := make([]fleet.Attempt, 0, len(e.calls))
	for attempt := range e.calls {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b fleet.Attempt) int {
		return strings.Compare(string(a.Request), string(b.Request))
	})
	for _, attempt := range attempts {
		e.end(e.calls[attempt], node.UpstreamEnd{Sent: true})
	}
	e.fleet.after(downFor, func() {
		e.Down = false
		e.incarnation++
		e.sequence = 0
	})
}

// messageInput converts a message into the receiver's input.
func messageInput(from protocol.RouterID, out node.Send) node.Input {
	switch out.Kind {
	case wire.KindLoadTotals:
		return node.PeerLoadTotals{From: from, Summary: out.Payload.(loadbound.Summary)}
	case wire.KindQuarantine:
		return node.PeerQuarantineNotice{Notice: out.Payload.(quarantine.Notice)}
	case wire.KindAnnounce:
		return node.UpstreamAnnounced{Announcement: out.Payload.(upstreamapi.Announcement), Forwarded: true}
	case wire.KindLeave:
		return node.UpstreamLeaving{Leave: out.Payload.(upstreamapi.Leave), Forwarded: true}
	}
	return node.MessageInput(from, out.Payload)
}

// Leave tells a random router that the engine leaves.
func (e *Engine) Leave() {
	f := e.fleet
	ids := f.routerIDs()
	r := f.Routers[ids[f.random.IntN(len(ids))]]
	leave := upstreamapi.Leave{ID: e.ID, Incarnation: e.incarnation}
	f.runOn(r, func() { f.step(r, node.UpstreamLeaving{Leave: leave}) })
}
