package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// recordingSink is a Sink that records what a call produces.
type recordingSink struct {
	chunks []fleet.Chunk
	ended  chan node.UpstreamEnd
}

func (r *recordingSink) Input(in node.Input) {
	switch in := in.(type) {
	case node.UpstreamChunk:
		r.chunks = append(r.chunks, in.Chunk)
	case node.UpstreamEnd:
		r.ended <- in
	}
}

// serveRaw starts a server that lets a function answer each connection's request, and
// counts the requests.
func serveRaw(t *testing.T, answer func(net.Conn, *http.Request)) (address string, requests *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int32{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				requests.Add(1)
				answer(connection, request)
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// call sends one order and returns how the call ended, and its chunks.
func call(t *testing.T, address string, headers ...fleet.Header) (node.UpstreamEnd, *recordingSink) {
	t.Helper()
	sink := &recordingSink{ended: make(chan node.UpstreamEnd, 1)}
	client := New(sink, nil)
	attempt := fleet.Attempt{Request: "r1-1", Number: 1}
	client.Call(node.CallUpstream{Attempt: attempt, Address: address, Place: fleet.Place{
		Attempt: attempt, Method: http.MethodPost, Path: "/orders", Body: []byte(`{"gallons":900}`), Headers: headers,
	}})
	client.Wait()
	return <-sink.ended, sink
}

func text(raw string) func(net.Conn, *http.Request) {
	return func(connection net.Conn, _ *http.Request) { _, _ = io.WriteString(connection, raw) }
}

// A desk accepts an order, and its connection closes before the answer. If the
// connection had been used before, the HTTP library would take the Idempotency-Key as
// permission to resend the order, and a service that ignores the key would run it twice.
func TestLibraryRepeatsNoOrderByItself(t *testing.T) {
	var again atomic.Int32
	address, requests := serveRaw(t, func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		// A second order on this connection is read and never answered.
		if n, _ := connection.Read(make([]byte, 1<<10)); n > 0 {
			again.Add(1)
		}
	})
	sink := &recordingSink{ended: make(chan node.UpstreamEnd, 1)}
	client := New(sink, nil)
	key := []fleet.Header{{Name: protocol.IdempotencyKeyHeader, Value: "o-1"}}
	for n := range uint32(3) {
		attempt := fleet.Attempt{Request: "r1-1", Number: n}
		client.Call(node.CallUpstream{Attempt: attempt, Address: address, Place: fleet.Place{Attempt: attempt, Method: http.MethodPost, Path: "/orders", Headers: key}})
		client.Wait()
		assert.Assert(t, (<-sink.ended).Complete, "each order has a connection of its own")
	}
	assert.Equal(t, requests.Load()+again.Load(), int32(3))

	address, requests = serveRaw(t, text(""))
	end, _ := call(t, address, key...)
	assert.Assert(t, end.Sent && !end.Complete)
	assert.Equal(t, requests.Load(), int32(1))
}

// A caller that is told that its order was not run sends it again elsewhere. So Sent
// may be false only if no byte can have reached the upstream.
func TestOnlyACallWithoutConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := listener.Addr().String()
	assert.NilError(t, listener.Close())
	end, _ := call(t, refused)
	assert.Assert(t, !end.Sent && !end.Complete)

	closing, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closing.Close()
	go func() {
		if connection, err := closing.Accept(); err == nil {
			_ = connection.Close()
		}
	}()
	end, _ = call(t, closing.Addr().String())
	assert.Assert(t, end.Sent && !end.Complete)
}

// The router must never take a part of an answer for the whole. Each answer here breaks
// off in a different way, or looks as if it did but is complete.
func TestOnlyAWholeAnswerIsComplete(t *testing.T) {
	const ok, events = "HTTP/1.1 200 OK\r\n", "Content-Type: text/event-stream\r\n\r\n"
	long := strings.Repeat("x", bodyChunkBytes)
	for name, tc := range map[string]struct {
		raw      string
		complete bool
		body     int
	}{
		"length kept":                        {ok + "Content-Length: 4\r\n\r\nfuel", true, 4},
		"empty":                              {ok + "Content-Length: 0\r\n\r\n", true, 0},
		"length not reached":                 {ok + "Content-Length: 9\r\n\r\nfuel", false, 4},
		"torn after a full buffer":           {ok + "Content-Length: 65537\r\n\r\n" + long, false, bodyChunkBytes},
		"nothing of the body":                {ok + "Content-Length: 9\r\n\r\n", false, 0},
		"neither length nor chunks":          {ok + "\r\nfuel", true, 4},
		"chunked":                            {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nfuel\r\n0\r\n\r\n", true, 4},
		"chunked, torn":                      {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nfuel\r\n", false, 4},
		"chunked, torn in a chunk":           {ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nfuel", false, 4},
		"torn header":                        {ok + "Content-Le", false, 0},
		"events":                             {ok + events + "data: a\n\ndata: [DONE]\n\n", true, 1},
		"events without the end":             {ok + events + "data: a\n\n", false, 1},
		"events, torn":                       {ok + events + "data: a\n\ndata: [DO", false, 1},
		"events, torn in an event":           {ok + events + "data: a\n\ndata: {\"cho", false, 1},
		"events, torn before the blank line": {ok + events + "data: a\n\ndata: b\n", false, 2},
		"events, none at all":                {ok + events, false, 0},
		"events, end unterminated":           {ok + events + "data: a\n\ndata: [DONE]", true, 1},
		"redirect":                           {"HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			address, requests := serveRaw(t, text(tc.raw))
			end, sink := call(t, address)
			assert.Equal(t, end.Complete, tc.complete)
			assert.Assert(t, end.Sent)
			assert.Equal(t, requests.Load(), int32(1))
			bytes := 0
			for i, chunk := range sink.chunks {
				assert.Equal(t, chunk.Index, i)
				bytes += len(chunk.Data)
			}
			assert.Equal(t, bytes, tc.body)
		})
	}
}

// Headers about one connection, the caller's key, and headers with the fleet's prefix
// must not pass through the router in either direction.
func TestHopByHopHeadersAreNotRelayed(t *testing.T) {
	header := http.Header{
		"Authorization": {"Bearer key-a"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"},
		"Upgrade": {"h2c"}, "Expect": {"100-continue"}, "Proxy-Authorization": {"Basic x"}, "Transfer-Encoding": {"chunked"},
		"X-Endiveplank-Priority": {"0"}, "X-Endiveplank-Outcome": {"ran"}, "X-Endiveplank-Anything": {"1"},
		"Idempotency-Key": {"o-1"}, "Traceparent": {"00-1-2-01"}, "Accept": {"a", "b"},
	}
	for _, kept := range [][]fleet.Header{RequestHeaders(header), answerHeaders(header)} {
		names := map[string]int{}
		for _, item := range kept {
			names[item.Name]++
		}
		delete(names, "Authorization")
		assert.DeepEqual(t, names, map[string]int{"Idempotency-Key": 1, "Traceparent": 1, "Accept": 2})
	}
	for _, item := range RequestHeaders(header) {
		assert.Assert(t, item.Name != "Authorization")
	}
}

// A caller disconnects. Its call must end at once, or the engine would go on working
// for nobody while other requests wait for it.
func TestCancelledCallEnds(t *testing.T) {
	gone := make(chan struct{})
	address, _ := serveRaw(t, func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
		_, _ = io.Copy(io.Discard, connection)
		close(gone)
	})
	sink := &recordingSink{ended: make(chan node.UpstreamEnd, 1)}
	client := New(sink, nil)
	attempt := fleet.Attempt{Request: "r1-1", Number: 1}
	client.Call(node.CallUpstream{Attempt: attempt, Address: address, Place: fleet.Place{Attempt: attempt, Method: http.MethodPost, Path: "/orders"}})
	time.Sleep(20 * time.Millisecond)
	client.Cancel(attempt)
	assert.Assert(t, !(<-sink.ended).Complete)
	<-gone
}

func TestRetryAfterOfABusyUpstreamIsReported(t *testing.T) {
	// Guards: the owner doesn't learn for how long an upstream that refuses wants no requests.
	for status, want := range map[int]time.Duration{503: 3 * time.Second, 500: 0} {
		address, _ := serveRaw(t, func(connection net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d x\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", status)
		})
		sink := &recordingSink{ended: make(chan node.UpstreamEnd, 1)}
		client := New(sink, nil)
		client.Call(node.CallUpstream{Address: address, Place: fleet.Place{Method: "POST", Path: "/x", Model: "m"}})
		assert.Equal(t, (<-sink.ended).RetryAfter, want)
	}
}
