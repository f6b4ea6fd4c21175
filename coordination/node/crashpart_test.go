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
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

// crashingFleet is a fleet whose engines crash under some messages.
type crashingFleet struct {
	*nodetest.Fleet
	t       *testing.T
	engines int
	sent    int
}

func newCrashingFleet(t *testing.T, routers, engines int) *crashingFleet {
	f := &crashingFleet{Fleet: nodetest.New(seed, routers), t: t, engines: engines}
	for i := range engines {
		f.AddEngine(protocol.UpstreamID(fmt.Sprintf("e%02d", i)), router(i%routers), 1000, 16)
	}
	f.Run(6 * time.Second)
	return f
}

func router(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprintf("r%d", i+1)) }

func (f *crashingFleet) crashes() (all int) {
	for _, engine := range f.Engines {
		all += engine.Crashes
	}
	return all
}

// bad sends a chat with these messages before its own one. It crashes engines if one of them holds
// nodetest.CrashMark, and has nothing else in common with others.
func (f *crashingFleet) bad(to protocol.RouterID, contents ...string) *nodetest.Answer {
	f.sent++
	messages := []chat.Message{}
	for _, content := range contents {
		messages = append(messages, chat.Message{Role: "user", Content: content})
	}
	own := fmt.Sprint("question ", f.sent)
	messages = append(messages, chat.Message{Role: "user", Content: own})
	return f.SubmitRequest(to, node.CallerRequest{
		ID: protocol.RequestID(fmt.Sprint("bad-", f.sent)), KeyHash: sha256.Sum256([]byte("key")), HasKey: true, Method: "POST",
		Path: upstreamapi.CompletionsPath, Body: []byte(fmt.Sprintf(`{"prompt":%q,"tokens":20}`, strings.Join(contents, " ")+own)),
		Chat: &chat.Request{Model: "m", Stream: true, MaxTokens: 20, Messages: messages},
	})
}

// good sends a sound chat that shares its first message with all others.
func (f *crashingFleet) good(to protocol.RouterID, first string) *nodetest.Answer {
	f.sent++
	own := fmt.Sprint("harmless ", f.sent)
	return f.SubmitRequest(to, node.CallerRequest{
		ID: protocol.RequestID(fmt.Sprint("good-", f.sent)), KeyHash: sha256.Sum256([]byte("key")), HasKey: true, Method: "POST",
		Path: upstreamapi.CompletionsPath, Body: []byte(fmt.Sprintf(`{"prompt":%q,"tokens":20}`, first+own)),
		Chat: &chat.Request{Model: "m", Stream: true, MaxTokens: 20, Messages: []chat.Message{{Role: "system", Content: first}, {Role: "user", Content: own}}},
	})
}

// countLate counts the requests with a message that reach engines more than 3 s after crashes
// engines have crashed.
func (f *crashingFleet) countLate(mark string, crashes int) *int {
	late := new(int)
	var since time.Duration
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		if since == 0 && f.crashes() >= crashes {
			since = f.Now
		}
		if since > 0 && f.Now-since > 3*time.Second && strings.Contains(string(call.Place.Body), mark) {
			*late++
		}
	}
	return late
}

// Guards: chats that have one message and no content in common crash engine after engine.
func TestMessageThatCrashesEnginesIsNotSentAnyMore(t *testing.T) {
	f := newCrashingFleet(t, 3, 12)
	late := f.countLate(nodetest.CrashMark, 5)
	for i := range 40 {
		f.bad(router(i%3), nodetest.CrashMark)
		f.good(router(i%3), "rules")
		f.Run(time.Second)
	}
	assert.Assert(t, *late <= 3, "%d requests with the message reached engines more than 3 s after it had crashed five, %d crashed in all", *late, f.crashes())
	assert.Assert(t, f.crashes() <= 8, "%d engines crashed", f.crashes())
}

// Guards: one of two messages that crash engines at the same time isn't found, or not where it stands
// behind others or where another router gets it; and sound chats with the same first message are
// refused with them.
func TestTwoMessagesThatCrashEnginesAreFoundWhereverTheyStand(t *testing.T) {
	f := newCrashingFleet(t, 3, 16)
	marks := []string{nodetest.CrashMark + " one", nodetest.CrashMark + " two"}
	late := f.countLate(nodetest.CrashMark, 10)
	var sound []*nodetest.Answer
	for i := range 40 {
		f.bad(router(i%3), "rules", fmt.Sprint("another ", i), marks[i%2], fmt.Sprint("one more ", i))
		f.Run(500 * time.Millisecond)
		sound = append(sound, f.good(router(i%3), "rules"))
		f.Run(500 * time.Millisecond)
	}
	f.Run(20 * time.Second)
	assert.Assert(t, *late <= 3, "%d requests with one of the messages reached engines late, %d crashed in all", *late, f.crashes())
	for i, answer := range sound {
		assert.Assert(t, answer.Ended && !answer.Broken && answer.Status == 200, "sound chat %d: status %d, %s", i, answer.Status, answer.Reason)
	}
}

// Guards: engines crash for reasons of their own, and chats are refused for a message that they have in
// common.
func TestEnginesThatCrashByThemselvesQuarantineNoMessage(t *testing.T) {
	f := newCrashingFleet(t, 3, 12)
	var sound []*nodetest.Answer
	for i := range 60 {
		for range 4 {
			sound = append(sound, f.good(router(i%3), "rules"))
		}
		f.Run(10 * time.Millisecond)
		if i%5 == 0 {
			f.Engines[protocol.UpstreamID(fmt.Sprintf("e%02d", i%12))].Crash(5 * time.Second)
		}
		f.Run(490 * time.Millisecond)
	}
	f.Run(30 * time.Second)
	for i, answer := range sound {
		assert.Assert(t, answer.Ended && answer.Reason != string(reason.Quarantined), "sound chat %d: status %d, %s", i, answer.Status, answer.Reason)
	}
}

// Guards: routers that start, one after the other, don't know which messages and contents crash
// engines.
func TestRoutersThatStartKnowWhatIsQuarantined(t *testing.T) {
	f := newCrashingFleet(t, 3, 12)
	content := nodetest.CrashMark + " alone"
	for i := range 10 {
		f.bad(router(i%3), nodetest.CrashMark)
		f.Run(time.Second)
		f.Submit(router(i%3), protocol.RequestID(fmt.Sprint("content-", i)), "key", content, 20)
		f.Run(time.Second)
	}
	before := f.crashes()
	assert.Assert(t, before > 0 && before <= 10, "%d engines crashed", before)
	for i := range 3 {
		f.Kill(router(i))
		f.Run(time.Second)
		f.Restart(router(i))
		f.Run(2 * time.Second)
		message := f.bad(router(i), nodetest.CrashMark)
		same := f.Submit(router(i), protocol.RequestID(fmt.Sprint("content-again-", i)), "key", content, 20)
		f.Run(time.Second)
		assert.Equal(t, message.Reason, string(reason.Quarantined), "router %d", i)
		assert.Equal(t, same.Reason, string(reason.Quarantined), "router %d", i)
	}
	assert.Equal(t, f.crashes(), before)
}

// Guards: the messages of a crash, or of a start, grow with the number of routers.
func TestMessagesOfACrashAreBounded(t *testing.T) {
	f := newCrashingFleet(t, 984, 12)
	kinds := map[wire.Kind]int{}
	f.OnSend = func(_ protocol.RouterID, message node.Send) { kinds[message.Kind]++ }
	for i := range 4 {
		f.bad(router(i), nodetest.CrashMark)
		f.Run(time.Second)
	}
	crashes := f.crashes()
	assert.Assert(t, crashes >= 3)
	assert.Assert(t, kinds[wire.KindCrash] <= 3*crashes, "%d reports of %d crashes", kinds[wire.KindCrash], crashes)
	asked := kinds[wire.KindSuspects]
	assert.Assert(t, asked > 0 && asked <= 3*2*128*crashes, "%d routers asked after %d crashes", asked, crashes)
	assert.Assert(t, kinds[wire.KindQuarantinesRead] == 0)
	f.Kill("r7")
	f.Restart("r7")
	f.Run(10 * time.Second)
	assert.Assert(t, kinds[wire.KindQuarantinesRead] == 1, "%d", kinds[wire.KindQuarantinesRead])
}
