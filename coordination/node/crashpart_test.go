package node_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/coordination/node/nodetest"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// Guards: chats that have one message and no content in common crash engine after engine.
func TestMessageThatCrashesEnginesIsNotSentAnyMore(t *testing.T) {
	f := nodetest.New(seed, 3)
	for i := range 12 {
		f.AddEngine(protocol.UpstreamID(fmt.Sprintf("e%02d", i)), protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), 1000, 16)
	}
	f.Run(2 * time.Second)
	crashes := func() (all int) {
		for _, engine := range f.Engines {
			all += engine.Crashes
		}
		return all
	}
	var fifthAt time.Duration
	late := 0
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		if fifthAt == 0 && crashes() >= 5 {
			fifthAt = f.Now
		}
		if fifthAt > 0 && f.Now-fifthAt > 3*time.Second && strings.Contains(string(call.Place.Body), nodetest.CrashMark) {
			late++
		}
	}
	for i := range 40 {
		messages := []chat.Message{{Role: "system", Content: nodetest.CrashMark}, {Role: "user", Content: fmt.Sprint("question ", i)}}
		f.SubmitRequest(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), node.CallerRequest{
			ID: protocol.RequestID(fmt.Sprintf("bad-%d", i)), KeyHash: sha256.Sum256([]byte("key")), HasKey: true, Method: "POST",
			Path: upstreamapi.CompletionsPath, Body: []byte(fmt.Sprintf(`{"prompt":%q,"tokens":20}`, fmt.Sprint(nodetest.CrashMark, " ", i))),
			Chat: &chat.Request{Model: "m", Stream: true, MaxTokens: 20, Messages: messages},
		})
		f.Submit(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), protocol.RequestID(fmt.Sprintf("good-%d", i)), "key", fmt.Sprint("harmless ", i), 20)
		f.Run(time.Second)
	}
	assert.Assert(t, late <= 3, "%d requests with the message reached engines more than 3 s after it had crashed five, %d crashed in all", late, crashes())
}
