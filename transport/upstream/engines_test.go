package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/engine"
)

// channelSink is a Sink that passes inputs to a test.
type channelSink chan node.Input

// Input implements Sink.
func (s channelSink) Input(in node.Input) { s <- in }

func startEngine(t *testing.T, id string) string {
	t.Helper()
	s := engine.DefaultSettings(protocol.UpstreamID(id))
	s.Models = []protocol.Model{"m1"}
	s.Listen = "127.0.0.1:0"
	server, err := engine.Start(s)
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	return server.Address()
}

// sendChat sends a chat to an engine and returns the complete answer.
func sendChat(t *testing.T, address string) string {
	t.Helper()
	body := `{"model":"m1","max_tokens":2,"messages":[{"role":"user","content":"` + question + `"}]}`
	response, err := http.Post("http://"+address+upstreamapi.CompletionsPath, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(raw)
}

const question = "which pumps at the east gate hold diesel today"

// An engine drains, and the chat's next turn goes to the engine to which its cache was
// moved. It must find its prompt's prefix in that cache. The move of a prefix that is no
// longer cached must fail without affecting others.
func TestMovedCacheIsFoundAtTheOtherEngine(t *testing.T) {
	from, to := startEngine(t, "e1"), startEngine(t, "e2")
	sendChat(t, from)
	sink := make(channelSink, 1)
	client := New(sink, nil)
	chain := chat.Chain("m1", []chat.Message{{Role: "user", Content: question}})
	client.Move(node.MoveCache{Upstream: "e1", From: from, To: to, Hash: chain[0].Hash})
	assert.DeepEqual(t, <-sink, node.CacheMoved{Upstream: "e1", Hash: chain[0].Hash, Moved: true})
	answer := sendChat(t, to)
	assert.Assert(t, !strings.Contains(answer, `"cached_tokens":0`), answer)
	client.Move(node.MoveCache{Upstream: "e1", From: from, To: to, Hash: 1})
	assert.DeepEqual(t, <-sink, node.CacheMoved{Upstream: "e1", Hash: 1})
	client.Wait()
}

// An owner's process was frozen before it sent an order, and its lease has ended. The
// order must not reach the engine. Within the lease it must reach the engine, and the
// state that is read back must show it.
func TestOrderIsSentWithinTheLeaseOnly(t *testing.T) {
	address := startEngine(t, "e1")
	sink := make(channelSink, 1)
	client := New(sink, nil)
	order := node.OrderEngine{Address: address, Request: engineorders.Request{
		Upstream: "e1", Fence: 7, Intent: engineorders.Intent{Action: upstreamapi.ActionRole, Role: "prefill"},
	}}
	client.Order(order, -time.Second)
	late := (<-sink).(node.EngineAnswered)
	assert.Equal(t, late.Status, 0)
	assert.Assert(t, late.State == nil)
	assert.Equal(t, client.readState(context.Background(), address).Fence, protocol.Fence(0))
	client.Order(order, 5*time.Second)
	taken := (<-sink).(node.EngineAnswered)
	assert.Equal(t, taken.Status, http.StatusAccepted)
	assert.Equal(t, taken.State.Fence, protocol.Fence(7))
	assert.Equal(t, taken.State.Role, "prefill")
	client.Wait()
}
