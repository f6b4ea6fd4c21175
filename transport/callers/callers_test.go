package callers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
	"endiveplank/settings"
)

// waitTimeout bounds the wait for an expected event. It is long enough that it
// decides no result.
const waitTimeout = 30 * time.Second

// scriptedCore is a Core that answers every request with script.
type scriptedCore struct {
	script func(request node.CallerRequest, answer *Answer)

	mu       sync.Mutex
	requests []node.CallerRequest
	answers  []*Answer
	gone     int
}

func (s *scriptedCore) Submit(request node.CallerRequest, answer *Answer) {
	s.mu.Lock()
	s.requests = append(s.requests, request)
	s.answers = append(s.answers, answer)
	s.mu.Unlock()
	s.script(request, answer)
}

func (s *scriptedCore) CallerGone(protocol.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone++
}

func (s *scriptedCore) Ready() bool { return true }

func (s *scriptedCore) count() (taken, gone int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.gone
}

// start serves a core that answers every request with the given outputs. Its limits
// are small enough for tests to exceed.
func start(t *testing.T, outputs ...node.Output) (*scriptedCore, string) {
	t.Helper()
	core := &scriptedCore{script: func(_ node.CallerRequest, answer *Answer) {
		for _, output := range outputs {
			answer.Put(output)
		}
	}}
	limits := settings.Defaults().Callers
	limits.MaxBodyBytes = 1000
	limits.HeaderTimeoutMS, limits.BodyTimeoutMS, limits.WriteTimeoutMS = 200, 200, 200
	server := httptest.NewUnstartedServer(nil)
	server.Config = New(core, limits, "r1", nil).Server()
	server.Start()
	t.Cleanup(server.Close)
	return core, server.Listener.Addr().String()
}

func eventStream(head node.AnswerHead) node.AnswerHead {
	head.Status = http.StatusOK
	head.Headers = append(head.Headers, fleet.Header{Name: "Content-Type", Value: "text/event-stream"})
	return head
}

func post(t *testing.T, address, body string) *http.Response {
	t.Helper()
	response, err := http.Post("http://"+address+"/svc/orders", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func errorOf(t *testing.T, response *http.Response) chat.ErrorDetail {
	t.Helper()
	var body chat.ErrorBody
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&body))
	return body.Error
}

func TestBodyOverTheLimitIsRefusedAsNotRun(t *testing.T) {
	core, address := start(t, node.AnswerHead{Status: 200}, node.AnswerEnd{})
	assert.Equal(t, post(t, address, strings.Repeat("x", 1000)).StatusCode, 200)
	response := post(t, address, strings.Repeat("x", 1001))
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, response.Header.Get(protocol.RunOutcomeHeader), string(protocol.NotRun))
	assert.Equal(t, errorOf(t, response).Code, "body_too_large")
	taken, _ := core.count()
	assert.Equal(t, taken, 1)
}

// A faulty or hostile client opens connections and sends its header or body a byte
// at a time, or never. The server must close each connection after its timeout, and
// no such request may reach the core.
func TestSlowRequestsTimeOut(t *testing.T) {
	core, address := start(t, node.AnswerEnd{})
	for name, sent := range map[string]string{
		"nothing": "",
		"header":  "POST /svc/orders HTTP/1.1\r\nHost: x\r\n",
		"body":    "POST /svc/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nfue",
	} {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer connection.Close()
			_ = connection.SetDeadline(time.Now().Add(waitTimeout))
			_, err = io.WriteString(connection, sent)
			assert.NilError(t, err)
			answer, err := io.ReadAll(connection)
			assert.NilError(t, err, "the server ends the connection")
			if name == "body" {
				assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 408"), string(answer))
			}
		})
	}
	taken, _ := core.count()
	assert.Equal(t, taken, 0)
}

// A caller opens a stream and reads nothing while the engine keeps generating. The
// queued answer occupies memory that other requests need. The request must be
// cancelled and its queue freed, even while a write to the caller still blocks.
func TestSlowReaderIsDroppedAndItsMemoryFreed(t *testing.T) {
	data := make([]byte, 64<<10)
	accepted := make(chan int, 1)
	core, address := start(t)
	core.script = func(_ node.CallerRequest, answer *Answer) {
		go func() {
			answer.Put(eventStream(node.AnswerHead{}))
			n := 0
			for answer.Put(node.AnswerChunk{Data: data}) {
				n++
				// The pause lets the connection's buffers fill before the answer's
				// queue does.
				time.Sleep(time.Millisecond)
			}
			accepted <- n
		}()
	}
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST /svc/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	<-accepted
	answer := core.answers[0]
	answer.mu.Lock()
	held := len(answer.pending)
	answer.mu.Unlock()
	assert.Equal(t, held, 0)
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if _, gone := core.count(); gone == 1 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the core was not told that the caller is gone")
	}
}

// An answer breaks off after it has begun. In every format the caller must be able
// to tell: a plain body that ends normally, or a stream with a done marker, would
// make the partial answer look complete.
func TestBrokenAnswersNeverLookComplete(t *testing.T) {
	broken := node.AnswerEnd{Broken: true, Reason: "upstream_lost"}
	chunk := node.AnswerChunk{Data: []byte("fuel")}
	t.Run("plain", func(t *testing.T) {
		_, address := start(t, node.AnswerHead{Status: 200}, chunk, broken)
		response, err := http.Post("http://"+address+"/svc/orders", "", nil)
		if err == nil {
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
		}
		assert.Assert(t, err != nil, "the client must notice that the answer broke off")
	})
	t.Run("plain, to an HTTP/1.0 client", func(t *testing.T) {
		core, address := start(t)
		begun := make(chan struct{})
		core.script = func(_ node.CallerRequest, answer *Answer) {
			answer.Put(node.AnswerHead{Status: 200})
			answer.Put(chunk)
			go func() {
				<-begun
				answer.Put(broken)
			}()
		}
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer connection.Close()
		_, err = io.WriteString(connection, "POST /svc/orders HTTP/1.0\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		close(begun)
		_, err = io.ReadAll(response.Body)
		assert.Assert(t, err != nil, "a normal close would look complete to an HTTP/1.0 client")
	})
	t.Run("events", func(t *testing.T) {
		_, address := start(t, eventStream(node.AnswerHead{}), chunk, broken)
		raw, err := io.ReadAll(post(t, address, "").Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(raw), "event: error\ndata: "), string(raw))
		assert.Assert(t, strings.Contains(string(raw), `"upstream_lost"`), string(raw))
		assert.Assert(t, !strings.Contains(string(raw), chat.DoneMarker), string(raw))
	})
	t.Run("complete event stream", func(t *testing.T) {
		_, address := start(t, eventStream(node.AnswerHead{}), chunk, node.AnswerEnd{})
		raw, err := io.ReadAll(post(t, address, "").Body)
		assert.NilError(t, err)
		assert.Equal(t, string(raw), "id: 0\ndata: fuel\n\ndata: [DONE]\n\n")
	})
}

func TestErrorsNameCauseOutcomeAndRetryAfter(t *testing.T) {
	for status, kind := range map[int]string{
		400: "invalid_request_error", 401: "authentication_error", 403: "permission_error",
		429: "rate_limit_error", 500: "server_error", 503: "overloaded_error",
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			_, address := start(t, node.AnswerError{Status: status, Reason: "queue_full", Detail: "why", Outcome: protocol.NotRun, RetryAfter: 1200 * time.Millisecond})
			response := post(t, address, "")
			assert.Equal(t, response.StatusCode, status)
			assert.Equal(t, response.Header.Get("Retry-After"), "2")
			assert.Equal(t, response.Header.Get(protocol.RunOutcomeHeader), "not-run")
			assert.Assert(t, response.Header.Get(protocol.RequestIDHeader) != "")
			assert.DeepEqual(t, errorOf(t, response), chat.ErrorDetail{Message: "why", Type: kind, Code: "queue_full", Outcome: "not-run"})
		})
	}
}
