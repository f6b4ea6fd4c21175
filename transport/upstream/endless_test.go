package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/protocol/fleet"
	"endiveplank/transport/bounded"
)

// countingSink counts the bytes of a call's chunks.
type countingSink struct {
	bytes atomic.Int64
	ended chan node.UpstreamEnd
}

func (s *countingSink) Input(in node.Input) {
	switch in := in.(type) {
	case node.UpstreamChunk:
		s.bytes.Add(int64(len(in.Chunk.Data)))
	case node.UpstreamEnd:
		s.ended <- in
	}
}

// Guards: an upstream of the relay fleet sends bytes without end, in a head, an event or a body, and
// its owner reads until the caller's deadline.
func TestAnswerWithoutEndEndsTheCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const stream = head + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct{ first, more string }{
		"status line":     {"HTTP/1.1 200 O", "K"},
		"fields":          {head, "A: b\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"event":           {stream + "\r\ndata: ", "x"},
		"other lines":     {stream + "\r\n", ": no event\n"},
		"body":            {head + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveRaw(t, func(connection net.Conn, _ *http.Request) {
				block := strings.Repeat(c.more, 1+(16<<10)/len(c.more))
				for _, err := io.WriteString(connection, c.first); err == nil; {
					_, err = io.WriteString(connection, block)
				}
			})
			sink := &countingSink{ended: make(chan node.UpstreamEnd, 1)}
			client := New(sink, nil)
			client.Call(node.CallUpstream{Attempt: fleet.Attempt{Request: "r", Number: 1}, Address: address, Place: fleet.Place{Method: "POST", Path: "/"}})
			select {
			case end := <-sink.ended:
				assert.Assert(t, end.Sent && !end.Complete)
				assert.Assert(t, end.TooLong || name == "interim answers", "the cause says nothing")
				assert.Assert(t, sink.bytes.Load() <= bounded.MaxBodyBytes)
			case <-time.After(time.Minute):
				t.Fatal("the call goes on")
			}
		})
	}
}
