package peerproxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/protocol/dialect/dialecttest"
	"endiveplank/transport/bounded"
	"endiveplank/transport/exchange"
)

// fakeFleet sends every request to one address.
type fakeFleet struct {
	mu      sync.Mutex
	state   Refusal
	address string
	unknown bool
	// withheld says that the upstream must get no request once a connection is open.
	withheld             bool
	opened, failed, lost int
	heads                []dialect.Answer
}

func (f *fakeFleet) ProxyState() Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeFleet) ProxyAddress(Target) (string, Refusal) {
	if f.unknown {
		return "", RefusalUnwanted
	}
	return f.address, ""
}

func (f *fakeFleet) ProxyMaySend(Target) bool { return !f.withheld }

func (f *fakeFleet) ProxyConnected(_ Target, opened bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if opened {
		f.opened++
	} else {
		f.failed++
	}
}

func (f *fakeFleet) ProxyAnswered(_ Target, head dialect.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads = append(f.heads, head)
}

func (f *fakeFleet) ProxyBroke(Target, []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost++
}

// brokeCount returns how many upstreams lost requests.
func (f *fakeFleet) brokeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// proxyServer is a proxy before one upstream.
type proxyServer struct {
	*fakeFleet
	t       *testing.T
	handler *Handler
	server  *httptest.Server
}

// newProxyServer starts a proxy. A nil upstream takes no connections.
func newProxyServer(t *testing.T, upstream http.HandlerFunc) *proxyServer {
	s := &proxyServer{fakeFleet: &fakeFleet{}, t: t}
	up := httptest.NewServer(upstream)
	s.address = strings.TrimPrefix(up.URL, "http://")
	if upstream == nil {
		up.Close()
	} else {
		t.Cleanup(up.Close)
	}
	pool := exchange.NewPool(exchange.Options{})
	t.Cleanup(pool.Close)
	s.handler = New(Options{Fleet: s, Dialect: dialecttest.Plain{}, Pool: pool, Log: zerolog.Nop()})
	s.server = httptest.NewServer(s.handler)
	t.Cleanup(s.server.Close)
	return s
}

// send sends a request through the proxy as another router does.
func (s *proxyServer) send(ctx context.Context) *http.Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/a%2Fb?q=1", strings.NewReader("body"))
	assert.NilError(s.t, err)
	request.Host = "caller.example"
	request.Header.Set("T-Id", "7")
	Target{Upstream: "u1", StartedAt: 3, Digest: 9, Remaining: 2 * time.Second, From: "r1"}.Write(request.Header)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil
	}
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// refused sends a request and returns the refusal.
func (s *proxyServer) refused() Refusal {
	response := s.send(s.t.Context())
	assert.Assert(s.t, response != nil)
	return ReadRefusal(response.Header)
}

func TestUpstreamGetsTheRequestAsItsCallerSentIt(t *testing.T) {
	// Guards: an upstream runs a request that its caller didn't send, or sees the routers' own
	// headers.
	var got *http.Request
	var body []byte
	s := newProxyServer(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("T-Leaving", "1")
		_, _ = io.WriteString(w, "done")
	})
	response := s.send(t.Context())
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "done")
	assert.Equal(t, ReadRefusal(response.Header), Refusal(""))
	assert.Equal(t, response.Header.Get("T-Leaving"), "1", "the other router reads it too")
	assert.Equal(t, got.RequestURI, "/a%2Fb?q=1")
	assert.Equal(t, got.Host, "caller.example")
	assert.Equal(t, string(body), "body")
	assert.Equal(t, got.Header.Get(headerTarget), "")
	assert.Equal(t, len(s.heads), 1)
	assert.Assert(t, s.heads[0].Leaving)
}

func TestProxySaysWhatHasNotBeenSent(t *testing.T) {
	// Guards: the other router sends a request again that has run, or gives up one that hasn't.
	ran := 0
	runs := func(http.ResponseWriter, *http.Request) { ran++ }
	for refusal, arrange := range map[Refusal]func(*proxyServer){
		RefusalIsolated:    func(s *proxyServer) { s.state = RefusalIsolated },
		RefusalStopping:    func(s *proxyServer) { s.state = RefusalStopping },
		RefusalUnwanted:    func(s *proxyServer) { s.unknown = true },
		RefusalFull:        func(s *proxyServer) { s.handler.active.Add(maxRequests) },
		RefusalInvalid:     func(s *proxyServer) { s.handler.options.Dialect = dialecttest.Plain{} },
		RefusalUnreachable: func(s *proxyServer) { s.address = "127.0.0.1:1" },
	} {
		t.Run(string(refusal), func(t *testing.T) {
			s := newProxyServer(t, runs)
			arrange(s)
			if refusal == RefusalInvalid {
				request, err := http.NewRequest(http.MethodGet, s.server.URL, nil)
				assert.NilError(t, err)
				request.Header.Set(headerTarget, "born=x")
				response, err := http.DefaultTransport.RoundTrip(request)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, ReadRefusal(response.Header), refusal)
				return
			}
			assert.Equal(t, s.refused(), refusal)
		})
	}
	t.Run("withheld", func(t *testing.T) {
		s := newProxyServer(t, runs)
		s.withheld = true
		assert.Equal(t, s.refused(), RefusalUnwanted)
	})
	assert.Equal(t, ran, 0)
}

func TestBrokenAnswersBreakAtTheOtherRouterToo(t *testing.T) {
	// Guards: an answer that breaks off at the proxy looks complete, or like a request that
	// wasn't sent.
	s := newProxyServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	assert.Equal(t, s.refused(), RefusalLost)
	assert.Equal(t, s.brokeCount(), 1)

	s = newProxyServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	response := s.send(t.Context())
	answer, err := io.ReadAll(response.Body)
	assert.Equal(t, string(answer), "part")
	assert.Assert(t, err != nil)
	assert.Equal(t, s.brokeCount(), 1)
}

func TestStreamWithoutLengthChunksOrEventsBreaksAtTheOtherRouterToo(t *testing.T) {
	// Guards: an engine crashes before its first event on a stream that ends with its connection,
	// and the other router gets a complete stream in chunks.
	s := newProxyServer(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		_ = buffer.Flush()
		_ = connection.Close()
	})
	assert.Assert(t, s.send(t.Context()) == nil, "no head was passed on yet")
	assert.Equal(t, s.brokeCount(), 1)
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	// Guards: a proxy gathers the events of a stream, and the caller takes it for silent.
	next := make(chan struct{})
	s := newProxyServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(w, "event")
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	response := s.send(t.Context())
	for range 3 {
		event := make([]byte, len("event"))
		_, err := io.ReadFull(response.Body, event)
		assert.NilError(t, err)
		next <- struct{}{}
	}
}

func TestWorkEndsWhenTheOtherRouterHasGone(t *testing.T) {
	// Guards: a caller has left, or its router has died, and the upstream works on.
	started, ended := make(chan struct{}), make(chan struct{})
	s := newProxyServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go s.send(ctx)
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream still works on the request")
	}
	assert.Equal(t, s.brokeCount(), 0, "nobody's failure")
}

func TestOtherRoutersRequestsAreBounded(t *testing.T) {
	// Guards: the requests of routers without a path fill the memory of the one that has one.
	release := make(chan struct{})
	s := newProxyServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	var sending sync.WaitGroup
	var mu sync.Mutex
	full := 0
	for range maxRequests + 40 {
		sending.Go(func() {
			response := s.send(t.Context())
			mu.Lock()
			defer mu.Unlock()
			if response != nil && ReadRefusal(response.Header) == RefusalFull {
				full++
			}
		})
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		done := full == 40
		mu.Unlock()
		if done {
			break
		}
	}
	assert.Assert(t, s.handler.Active() <= maxRequests)
	close(release)
	sending.Wait()
	assert.Equal(t, full, 40)
	assert.Equal(t, s.handler.Active(), 0)
}

func TestRoutersAreToldWhetherTheyMayUseAProxy(t *testing.T) {
	// Guards: routers without a path learn only from their callers' requests which others have
	// none either.
	s := newProxyServer(t, nil)
	for state, status := range map[Refusal]int{"": http.StatusNoContent, RefusalIsolated: http.StatusServiceUnavailable, RefusalStopping: http.StatusServiceUnavailable} {
		s.state = state
		response, err := http.Get(s.server.URL)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, status)
	}
}

func TestTargetsAreReadAsWritten(t *testing.T) {
	// Guards: a request goes to another upstream, or counts as another content.
	target := Target{Upstream: protocol.UpstreamID("a b&c=d"), StartedAt: 1 << 40, Digest: 1 << 63, Remaining: 1500 * time.Millisecond, From: "10.0.0.1:7"}
	header := http.Header{}
	target.Write(header)
	read, err := takeTarget(header)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, target)
	assert.Equal(t, len(header), 0)
}

// Guards: an upstream that sends a head or a body without end counts as crashed, and the other router
// gets the part for the whole.
func TestAnswerWithoutEndIsLostAndNoCrash(t *testing.T) {
	endless := func(first, more string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer func() { _ = connection.Close() }()
			block := strings.Repeat(more, 4<<10)
			for _, err := io.WriteString(connection, first); err == nil; {
				_, err = io.WriteString(connection, block)
			}
		}
	}
	s := newProxyServer(t, endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"))
	assert.Equal(t, s.refused(), RefusalLost)
	assert.Equal(t, s.brokeCount(), 0)

	s = newProxyServer(t, endless("HTTP/1.1 200 OK\r\n\r\n", "xxxx"))
	response := s.send(t.Context())
	n, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil)
	assert.Assert(t, n <= bounded.MaxBodyBytes)
	assert.Equal(t, s.brokeCount(), 0)
}
