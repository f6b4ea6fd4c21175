package node_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

// Bounds on the allocations of the data path, checked in CI. They are counts and
// so the same on every machine.
const (
	// maxTokenAllocs bounds the allocations for one token, on the owner side and
	// the entry side together.
	maxTokenAllocs = 6
	// maxPlaceAllocs bounds the allocations for one chat request in one router
	// without its tokens: checks, walk, admission, start, end and events.
	maxPlaceAllocs = 60
)

// oneRouter is a Node that owns all its engines.
type oneRouter struct {
	core *node.Node
	now  time.Duration
	next int
	call node.CallUpstream
}

func newOneRouter(engines int) *oneRouter {
	r := &oneRouter{core: node.New(node.Config{
		Self: "r1", DataCentre: "dc1", Multiple: 1.25, ReuseWeight: 0.5,
		StallTimeout: 3 * time.Second, DefaultDeadline: time.Minute, Random: rand.New(rand.NewPCG(1, 1)),
	})}
	view := &node.View{
		Revision:  1,
		Upstreams: map[protocol.UpstreamID]*node.Upstream{},
		Models:    map[protocol.Model][]*node.Upstream{},
		Routers:   []protocol.RouterID{"r1"},
	}
	view.Customers.Add(sha256.Sum256([]byte("key")), &node.Customer{ID: "a", Weight: 100})
	for i := range engines {
		upstream := &node.Upstream{
			ID: protocol.UpstreamID(fmt.Sprintf("e%03d", i)), Kind: upstreamapi.KindEngine, Address: "127.0.0.1:1",
			Models: []protocol.Model{"m"}, AnnouncedCapacity: 1000, AnnouncedMaxConcurrent: 64, Capacity: 1000, MaxConcurrent: 64,
			Owner: "r1", Fence: 1, OwnedHere: true,
		}
		view.Upstreams[upstream.ID] = upstream
		view.Models["m"] = append(view.Models["m"], upstream)
	}
	r.step(node.ViewChanged{View: view})
	r.step(node.LeaseChanged{Until: 1000 * time.Hour, Session: 1})
	for _, upstream := range view.Models["m"] {
		r.step(node.UpstreamAnnounced{Announcement: upstreamapi.Announcement{
			ID: upstream.ID, Incarnation: 1, Sequence: 1, Kind: upstream.Kind, Address: upstream.Address,
			Models: upstream.Models, Capacity: 1000, MaxConcurrent: 64,
		}})
	}
	return r
}

func (r *oneRouter) step(in node.Input) {
	for _, out := range r.core.Step(r.now, in) {
		if call, ok := out.(node.CallUpstream); ok {
			r.call = call
		}
	}
}

// start submits a chat, whose CallUpstream is then in r.call.
func (r *oneRouter) start() protocol.RequestID {
	r.next++
	id := protocol.RequestID(fmt.Sprint("q", r.next))
	prompt := fmt.Sprint("prompt ", r.next%1000)
	r.step(node.CallerRequest{
		ID: id, KeyHash: sha256.Sum256([]byte("key")), HasKey: true, Method: "POST", Path: upstreamapi.CompletionsPath,
		Body: []byte(prompt),
		Chat: &chat.Request{Model: "m", Stream: true, MaxTokens: 100, Messages: []chat.Message{{Role: "user", Content: prompt}}},
	})
	return id
}

func (r *oneRouter) token(index int) {
	r.step(node.UpstreamChunk{Chunk: fleet.Chunk{Attempt: r.call.Attempt, Index: index, Data: tokenData}})
}

var tokenData = []byte(`{"id":"x","choices":[{"index":0,"delta":{"content":"word "}}]}`)

func (r *oneRouter) finish() {
	r.step(node.UpstreamEnd{Attempt: r.call.Attempt, Complete: true, Sent: true, Status: 200})
}

// BenchmarkRelayToken measures one token through the owner side and the entry
// side of one router.
func BenchmarkRelayToken(b *testing.B) {
	r := newOneRouter(12)
	r.start()
	b.ReportAllocs()
	for i := range b.N {
		r.token(i)
	}
}

// BenchmarkRequest measures a complete chat without its tokens, at two fleet
// sizes.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{12, 790} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			r := newOneRouter(engines)
			b.ReportAllocs()
			for range b.N {
				r.start()
				r.finish()
			}
		})
	}
}

// BenchmarkTick measures a tick with nothing in flight.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{3, 12} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			r := newOneRouter(engines)
			b.ReportAllocs()
			for range b.N {
				r.step(node.Tick{})
			}
		})
	}
}

// A change of the data path could add allocations for each token or each request,
// which cost time on every router. The bounds must hold with few and with many
// engines.
func TestAllocationsOfTheDataPathAreBounded(t *testing.T) {
	r := newOneRouter(12)
	r.start()
	index := 0
	perToken := testing.AllocsPerRun(1000, func() {
		r.token(index)
		index++
	})
	t.Logf("%.1f allocations a token", perToken)
	assert.Assert(t, perToken <= maxTokenAllocs)
	for _, engines := range []int{12, 790} {
		r := newOneRouter(engines)
		perRequest := testing.AllocsPerRun(200, func() {
			r.start()
			r.finish()
		})
		t.Logf("%.1f allocations a request at %d engines", perRequest, engines)
		assert.Assert(t, perRequest <= maxPlaceAllocs)
	}
}
