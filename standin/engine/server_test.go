package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/answer"
	"endiveplank/standin/weights"
)

func startTest(t *testing.T, change func(*Settings)) *Server {
	t.Helper()
	settings := DefaultSettings("e1", "m1")
	settings.Model.IterationBase = 100 * time.Microsecond
	if change != nil {
		change(&settings)
	}
	server, err := Start(settings)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

func testRequest(content string, tokens int) chat.Request {
	return chat.Request{Model: "m1", Messages: []chat.Message{{Role: "user", Content: content}}, MaxTokens: tokens}
}

// post sends a body and reads the complete reply. An error means that the
// connection or ctx ended before.
func post(ctx context.Context, server *Server, path string, body any, headers ...string) (int, []byte, error) {
	encoded, _ := json.Marshal(body)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+path, bytes.NewReader(encoded))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer reply.Body.Close()
	read, err := io.ReadAll(reply.Body)
	return reply.StatusCode, read, err
}

// complete sends a request that is not streamed and returns its completion.
func complete(t *testing.T, server *Server, request chat.Request, headers ...string) chat.Completion {
	t.Helper()
	status, body, err := post(t.Context(), server, upstreamapi.CompletionsPath, request, headers...)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, string(body))
	var completion chat.Completion
	assert.NilError(t, json.Unmarshal(body, &completion))
	return completion
}

// streamText joins the tokens of a streamed answer and checks that their event IDs
// count up from first.
func streamText(t *testing.T, body []byte, first int) string {
	t.Helper()
	var text strings.Builder
	assert.Assert(t, bytes.HasSuffix(body, []byte("data: "+chat.DoneMarker+"\n\n")))
	for _, block := range strings.Split(string(body), "\n\n") {
		id, data, found := strings.Cut(block, "\ndata: ")
		if !found {
			continue
		}
		assert.Equal(t, id, "id: "+strconv.Itoa(first))
		first++
		var chunk chat.Chunk
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

// A caller's stream breaks after any token and is resumed there, on this engine or
// another one. The two parts joined must be the complete answer, byte for byte.
func TestResumedStreamCompletesTheAnswer(t *testing.T) {
	server := startTest(t, nil)
	request := testRequest("delivery note 12", 6)
	request.Stream = true
	want := answer.For(request)
	for at := range want.Len() + 1 {
		status, body, err := post(t.Context(), server, upstreamapi.CompletionsPath, request,
			protocol.ResumeAtHeader, strconv.Itoa(at))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, streamText(t, body, at), want.From(at))
	}
	request.Stream = false
	assert.Equal(t, complete(t, server, request).Choices[0].Message.Content, want.Text())
}

// One request crashes the engine, and with it all other requests in the batch:
// their connections end. The restarted engine must have an empty cache and announce
// a higher incarnation.
func TestMarkedRequestCrashesTheEngine(t *testing.T) {
	server := startTest(t, func(s *Settings) { s.RestartAfter = time.Millisecond })
	complete(t, server, testRequest("warm", 1))
	before, _ := server.announcement()
	neighbour := make(chan error)
	go func() {
		request := testRequest("neighbour", maxAnswerTokens)
		request.Stream = true
		_, _, err := post(t.Context(), server, upstreamapi.CompletionsPath, request)
		neighbour <- err
	}()
	poll.WaitOn(t, eventually("neighbour runs", func() bool { return server.Stats().Load.Running == 1 }))
	_, _, err := post(t.Context(), server, upstreamapi.CompletionsPath, testRequest("x "+CrashMarker, 5))
	assert.Assert(t, err != nil)
	assert.Assert(t, <-neighbour != nil)
	poll.WaitOn(t, eventually("back", func() bool { _, up := server.announcement(); return up }))
	after, _ := server.announcement()
	assert.Assert(t, after.Incarnation > before.Incarnation)
	assert.Equal(t, complete(t, server, testRequest("warm", 1)).Usage.Details.CachedTokens, 0)
}

// A request is cancelled when the caller closes its connection, or when the router
// posts to CancelPath; the stream then ends without its end marker. In both cases
// the request must leave the batch.
func TestCancelFreesTheBatch(t *testing.T) {
	server := startTest(t, nil)
	request := testRequest("long", maxAnswerTokens)
	request.Stream = true
	ctx, closeConnection := context.WithCancel(t.Context())
	defer closeConnection()
	cancels := map[string]func(){
		"closed": closeConnection,
		"path": func() {
			body := upstreamapi.CancelRequest{Request: "path", Attempt: 2}
			status, _, err := post(t.Context(), server, upstreamapi.CancelPath, body)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		},
	}
	for name, cancel := range cancels {
		ended := make(chan error)
		go func() {
			_, _, err := post(ctx, server, upstreamapi.CompletionsPath, request,
				protocol.RequestIDHeader, name, protocol.AttemptHeader, "2")
			ended <- err
		}()
		poll.WaitOn(t, eventually(name, func() bool { return server.Stats().Load.Running == 1 }))
		cancel()
		assert.Assert(t, <-ended != nil, name)
		poll.WaitOn(t, eventually(name, func() bool { return server.Stats().Load.Running == 0 }))
		if name == "closed" {
			ctx = t.Context()
		}
	}
	assert.Equal(t, server.Stats().Counters.Cancelled, uint64(2))
}

// Before an engine leaves, the cached prefix of an active chat can move to another
// engine: what one engine exports and the other imports, the other serves from its
// cache.
func TestExportedCacheServesElsewhere(t *testing.T) {
	from, to := startTest(t, nil), startTest(t, nil)
	request := testRequest(strings.Repeat("history ", 100), 1)
	complete(t, from, request)
	links := chat.Chain("m1", request.Messages)
	status, blob, err := post(t.Context(), from, upstreamapi.ExportPath,
		upstreamapi.KVExport{Hash: FormatHash(links[0].Hash)})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	status, _, err = post(t.Context(), to, upstreamapi.ImportPath, json.RawMessage(blob))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, complete(t, to, request).Usage.Details.CachedTokens, links[0].Tokens-1)
	status, _, err = post(t.Context(), from, upstreamapi.ExportPath, upstreamapi.KVExport{Hash: "1"})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

// A stream stalls in its middle without being closed. After the fault ends, the
// rest of the answer must follow, without a missing or repeated token.
func TestStallInMidStream(t *testing.T) {
	server := startTest(t, func(s *Settings) { s.Faults.StallAfterTokens = 3 })
	request := testRequest("hi", 8)
	request.Stream = true
	body := make(chan []byte)
	go func() {
		_, read, _ := post(t.Context(), server, upstreamapi.CompletionsPath, request)
		body <- read
	}()
	stalled := func() bool {
		stats := server.Stats()
		return stats.Counters.GeneratedTokens == 3 && stats.Load.OutstandingTokens == 5
	}
	poll.WaitOn(t, eventually("stalled", stalled))
	server.SetFaults(Faults{SlowFactor: 1})
	assert.Equal(t, streamText(t, <-body, 0), answer.For(request).Text())
}

// Two engines get orders at the same time to load a model from a shared weight
// store. Neither may serve the model before its transfer has ended, and a load
// order that is repeated during a transfer must not request a second one.
func TestModelComesFromTheSharedStore(t *testing.T) {
	store, err := weights.Start("127.0.0.1:0", 20*time.Millisecond)
	assert.NilError(t, err)
	defer store.Close()
	load := upstreamapi.EngineOrder{Fence: 1, Action: upstreamapi.ActionLoad, Model: "m2", Version: "v1"}
	request := testRequest("hi", 1)
	request.Model = "m2"
	var engines []*Server
	for range 2 {
		server := startTest(t, func(s *Settings) { s.WeightStore = store.Address() })
		for range 2 {
			status, _, err := post(t.Context(), server, upstreamapi.OrderPath, load)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusAccepted)
		}
		engines = append(engines, server)
	}
	for _, server := range engines {
		poll.WaitOn(t, eventually("served", func() bool {
			status, _, err := post(t.Context(), server, upstreamapi.CompletionsPath, request)
			return err == nil && status == http.StatusOK
		}))
	}
	assert.Equal(t, store.Totals().Done, 2)
}

// Requests hang without an error while the engine is silent or stalled, and
// complete once the fault ends. Connections that were open at ForgetOpen hang for
// good, while new ones work.
func TestSilentOrStalledEngineHangsRequests(t *testing.T) {
	server := startTest(t, nil)
	url := "http://" + server.Address()
	for _, fault := range []string{"silent", "stall"} {
		setFault(t, url, fault, true)
		done := make(chan int, 1)
		go func() {
			status, _, _ := post(t.Context(), server, upstreamapi.CompletionsPath, testRequest("hi", 2))
			done <- status
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		_, _, err := post(ctx, server, upstreamapi.CompletionsPath, testRequest("hi", 2))
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded, fault)
		setFault(t, url, fault, false)
		assert.Equal(t, <-done, http.StatusOK, fault)
	}
	setFault(t, url, "forget_open", true)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, _, err := post(ctx, server, upstreamapi.CompletionsPath, testRequest("hi", 2))
	assert.ErrorIs(t, err, context.DeadlineExceeded, "a forgotten connection")
	http.DefaultClient.CloseIdleConnections()
	complete(t, server, testRequest("hi", 2))
}

func setFault(t *testing.T, url, name string, on bool) {
	t.Helper()
	body, _ := json.Marshal(map[string]bool{name: on})
	reply, err := http.Post(url+"/faults", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	defer reply.Body.Close()
	_, _ = io.Copy(io.Discard, reply.Body)
	assert.Equal(t, reply.StatusCode, http.StatusOK)
}

// eventually returns a check that polls until a condition holds.
func eventually(what string, holds func() bool) poll.Check {
	return func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}
}
