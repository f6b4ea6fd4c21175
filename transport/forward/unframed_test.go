package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
)

// unframed answers with neither a length nor chunks. The answer ends with its connection, which is
// reset if reset is set and else closed.
func unframed(contentType, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nT-Signed: 1\r\nT-Id: 7\r\n\r\n%s", contentType, body)
		_ = buffer.Flush()
		if tcp, ok := connection.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// unframedStream sends the events after the caller's last one, and of the last event all but the
// last cut bytes.
func unframedStream(last, cut int, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("T-Last")) // 0 if there is none
		text := events(first+1, last)
		unframed("text/event-stream", text[:len(text)-cut], reset)(w, r)
	}
}

// Guards: an answer with neither a length nor chunks is cut, or its connection is used again.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	for name, upstream := range map[string]http.HandlerFunc{
		"stream": unframedStream(5, 0, false),
		"plain":  unframed("text/plain", "the whole answer", false),
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, upstream, upstream)
			path, body := "/once/x", "the whole answer"
			if name == "stream" {
				path, body = "/stream/x", events(1, 5)
			}
			for range 2 {
				got := r.call(path)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, body)
				assert.Assert(t, !got.broken)
			}
			assert.DeepEqual(t, r.results, []balance.Result{balance.Served, balance.Served})
		})
	}
}

// Guards: a stream that ends inside an event counts as complete, as it has neither a length nor chunks.
func TestAStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for cut := 1; cut < len(events(5, 5)); cut++ {
		for _, reset := range []bool{false, true} {
			resumed := newTestRouter(t, unframedStream(5, cut, reset), unframedStream(5, 0, false))
			got := resumed.call("/resume/x")
			assert.Equal(t, got.body, events(1, 5), "all but %d bytes, reset %t", cut, reset)
			assert.Assert(t, !got.broken)
			assert.Equal(t, resumed.crashed, 1)
		}
		once := newTestRouter(t, unframedStream(5, cut, false), unframedStream(5, 0, false))
		assert.Assert(t, once.call("/stream/x").broken, "all but %d bytes", cut)
		assert.Equal(t, once.chosen, 1)
	}
}

// Guards: an engine that crashes before its first event, on an answer with neither a length nor
// chunks, is taken for one that answered with an empty stream.
func TestAStreamWithoutAnyEventIsBrokenOff(t *testing.T) {
	empty := unframed("text/event-stream", "", false)
	resumed := newTestRouter(t, empty, unframedStream(5, 0, false))
	assert.Equal(t, resumed.call("/resume/x").body, events(1, 5))
	assert.Equal(t, resumed.crashed, 1)
	once := newTestRouter(t, empty, unframedStream(5, 0, false))
	assert.Equal(t, once.call("/stream/x").status, http.StatusBadGateway)
	assert.Equal(t, once.chosen, 1)
}

// Guards: a caller who has all events and takes the stream up again gets a failure in place of the
// stream's end.
func TestAStreamTakenUpAfterItsLastEventEndsWithoutOne(t *testing.T) {
	r := newTestRouter(t, streams(5, 0))
	r.origin, r.originKnown = builds.Pair{Service: "s"}, true
	got := r.call("/resume/x", func(request *http.Request) { request.Header.Set("T-Last", "5") })
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "")
	assert.Assert(t, !got.broken)
}

// Guards: a stream that a proxy passes on and that ends inside an event, or before its first one,
// looks complete.
func TestAStreamThatEndsInsideAnEventIsBrokenOffThroughAProxy(t *testing.T) {
	for cut := 1; cut < len(events(5, 5)); cut += 5 {
		r := newProxiedRouter(t, unframedStream(5, cut, false), unframedStream(5, 0, false))
		got := r.call("/resume/x")
		assert.Equal(t, got.body, events(1, 5))
		assert.Assert(t, !got.broken)
	}
}

// Guards: an engine crashes after its first event on a stream with neither a length nor chunks, and
// the part of the prompt that crashes it counts as answered.
func TestOnlyAnswersWithALengthOrChunksShowThatAPartIsSound(t *testing.T) {
	r := newTestRouter(t, unframedStream(5, 0, false), streams(5, 0), serves("done"))
	assert.Equal(t, r.call("/stream/x").status, http.StatusOK)
	assert.Equal(t, r.completed, 0)
	assert.Equal(t, r.call("/stream/x").status, http.StatusOK)
	assert.Equal(t, r.call("/once/x").status, http.StatusOK)
	assert.Equal(t, r.completed, 2)
}
