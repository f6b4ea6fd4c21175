package forward

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/transport/limited"
)

const (
	// testMemory is the memory of a router in these tests, of which answerMemory is for answers.
	testMemory   = 32 << 20
	answerMemory = testMemory * 8 / 100
	// partBytes is how much comes of an answer that never ends, and endless how many there are.
	partBytes = 200 << 10
	endless   = 60
)

// limitMemory replaces the router's server by one whose connections share testMemory.
func (r *testRouter) limitMemory() *limited.Budgets {
	budgets := limited.New(limited.Options{MemoryBytes: testMemory, Processor: 8, Descriptors: 10_000})
	server := &http.Server{Handler: r.server.Config.Handler}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	bounded := budgets.Listen(listener, server, 0.5)
	go func() { _ = server.Serve(bounded) }()
	r.t.Cleanup(func() { _ = server.Close() })
	r.server.URL = "http://" + listener.Addr().String()
	return budgets
}

// open counts the answers that haven't ended.
type open struct{ begun, ended atomic.Int32 }

// stalls sends the first bytes of an answer and no more until the router closes.
func (o *open) stalls(head string, part []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close(); o.ended.Add(1) }()
		_, _ = io.WriteString(conn, head)
		_, _ = conn.Write(part)
		o.begun.Add(1)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Guards: events, or heads of many fields, that never end, each within its bound, fill the memory of the
// router together, and it ends with all requests of others.
func TestAnswersThatNeverEndShareTheMemoryForAnswers(t *testing.T) {
	var fields strings.Builder
	for n := 0; fields.Len() < 20<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	for name, tc := range map[string]struct {
		head string
		part []byte
		// cost is what one of them takes in memory at least.
		cost int
	}{
		"event": {streamHead + "\r\ndata: ", bytes.Repeat([]byte("x"), partBytes), partBytes},
		"head":  {plainHead, []byte(fields.String()), 3000 * 100},
	} {
		t.Run(name, func(t *testing.T) {
			var o open
			scripts := make([]http.HandlerFunc, 0, endless+1)
			for range endless {
				scripts = append(scripts, o.stalls(tc.head, tc.part))
			}
			large := "data: " + strings.Repeat("y", partBytes/2) + "\n\n"
			scripts = append(scripts, largeEvents(large))
			r := newTestRouter(t, scripts...)
			budgets := r.limitMemory()
			var callers sync.WaitGroup
			for range endless {
				callers.Go(func() { r.call("/stream/x") })
			}
			for deadline := time.Now().Add(20 * time.Second); o.begun.Load() < endless; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(deadline), "%d begun", o.begun.Load())
			}
			time.Sleep(300 * time.Millisecond)
			held := int(o.begun.Load()-o.ended.Load()) * tc.cost
			assert.Check(t, held <= answerMemory+freeOf(name), "%d KB of answers without end are held of %d", held>>10, answerMemory>>10)
			assert.Check(t, budgets.Counts().HeldBytes <= answerMemory)
			got := r.call("/stream/x")
			assert.Check(t, !got.broken && len(got.body) == largeEventCount*len(large), "%d, %d bytes", got.status, len(got.body))
			callers.Wait()
		})
	}
}

// freeOf returns what the answers take without a part of the memory.
func freeOf(name string) int {
	if name == "event" {
		return endless * smallEventBytes
	}
	return 0
}

// largeEventCount large events have more bytes than the memory for answers.
const largeEventCount = 40

// largeEvents answers with large events, one after another.
func largeEvents(event string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Signed", "1")
		for range largeEventCount {
			_, _ = io.WriteString(w, event)
		}
	}
}
