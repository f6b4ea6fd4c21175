package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/protocol/dialect/dialecttest"
	"endiveplank/transport/exchange"
)

// fakeFleet sends attempts to its upstreams in order.
type fakeFleet struct {
	mu          sync.Mutex
	index       *routing.Index
	addresses   []string
	retries     int
	quarantined time.Duration
	warmingUp   bool
	chosen      int
	inFlight    int
	// endDelay is how long AttemptEnded takes.
	endDelay time.Duration
	results  []balance.Result
	crashed  int
	// overdueAfter is the silence after which an answer is overdue, 0 for the longest.
	overdueAfter        time.Duration
	overdueCount, begun int
	// deferred are the results that were reported after the end of their attempts.
	deferred []balance.Result
	// noChoiceReason is the reason that Choose returns if there is no upstream left.
	noChoiceReason balance.Reason
	pausedFor      time.Duration
	// attempts are the Job.Attempts of all calls of Choose.
	attempts []int
	// heads are the heads of answers, and withheld holds the upstreams that attempts must
	// not be sent to any more.
	heads    []dialect.Answer
	withheld map[protocol.UpstreamID]bool
	// proxied sends every attempt to its address as to a proxy. proxyResults are the results of
	// the proxies, and triedProxies the Job.TriedProxies of the last call of Choose.
	proxied      bool
	proxyResults []bool
	triedProxies []protocol.RouterID
	// origin is where the streams began that callers take up again, if originKnown, and began
	// where streams begin.
	origin      builds.Pair
	originKnown bool
	began       []builds.Pair
	completed   int
	// timed says of each attempt with known timing whether its answer began in time.
	timed []bool
	// offer is what refused callers are offered, nil for nothing; scheduled are the requests that
	// ScheduleRetry was called for.
	offer     *RetryOffer
	scheduled []Job
	// rateLimited are the figures of refusals.
	rateLimited *balance.RateRefusal
}

func (f *fakeFleet) Table() *routing.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

func (f *fakeFleet) WarmingUp() bool { return f.warmingUp }

func (f *fakeFleet) Choose(_ context.Context, job Job) balance.Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, job.Attempts)
	if f.chosen >= len(f.addresses) {
		return balance.Choice{Reason: f.noChoiceReason, PausedFor: f.pausedFor, RateLimited: f.rateLimited}
	}
	f.chosen++
	f.inFlight++
	f.triedProxies = job.TriedProxies
	if f.proxied {
		name := fmt.Sprint("p", f.chosen)
		return balance.Choice{ID: "u1", NeedsProxy: true, Proxy: protocol.RouterID(name), ProxyAddress: f.addresses[f.chosen-1]}
	}
	return balance.Choice{ID: protocol.UpstreamID(fmt.Sprint("u", f.chosen)), Address: f.addresses[f.chosen-1]}
}

// ScheduleRetry implements Fleet.
func (f *fakeFleet) ScheduleRetry(job Job) (RetryOffer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduled = append(f.scheduled, job)
	if f.offer == nil {
		return RetryOffer{}, false
	}
	return *f.offer, true
}

func (f *fakeFleet) StreamOrigin(context.Context, Job, protocol.RequestID) (builds.Pair, bool) {
	return f.origin, f.originKnown
}

func (f *fakeFleet) StreamBegan(job Job, _ balance.Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = append(f.began, *job.Began)
}

func (f *fakeFleet) UpstreamReached(balance.Choice, bool) {}

func (f *fakeFleet) ProxyEnded(_ protocol.RouterID, carried bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxyResults = append(f.proxyResults, carried)
}

func (f *fakeFleet) AttemptEnded(_ Job, _ balance.Choice, result balance.Result) {
	time.Sleep(f.endDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.results = append(f.results, result)
}

func (f *fakeFleet) DeferredResult(_ protocol.UpstreamID, result balance.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deferred = append(f.deferred, result)
}

func (f *fakeFleet) OverdueAfter(_ Job, _ balance.Choice, maxSilence time.Duration) time.Duration {
	if f.overdueAfter > 0 {
		return min(f.overdueAfter, maxSilence)
	}
	return maxSilence
}

func (f *fakeFleet) AnswerOverdue(Job, balance.Choice, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overdueCount++
}

func (f *fakeFleet) AnswerBegan(Job, balance.Choice, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun++
}

func (f *fakeFleet) AnswerTimed(_ Job, _ balance.Choice, inTime bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timed = append(f.timed, inTime)
}

func (f *fakeFleet) AnswerHead(_ Job, _ balance.Choice, head dialect.Answer, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads = append(f.heads, head)
}

func (f *fakeFleet) MaySend(choice balance.Choice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.withheld[choice.ID]
}

func (f *fakeFleet) RequestArrived(protocol.Service) {}

func (f *fakeFleet) TakeRetry(Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries--
	return f.retries >= 0
}

func (f *fakeFleet) QuarantinedFor(Job) time.Duration { return f.quarantined }

func (f *fakeFleet) AnswerCompleted(Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed++
}

func (f *fakeFleet) UpstreamCrashed(crashes.Broken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed++
}

// testRouter is a router in front of scripted upstreams.
type testRouter struct {
	*fakeFleet
	t      *testing.T
	server *httptest.Server
	pool   *exchange.Pool
	// dialDelay is how long a connection that can't be opened takes to fail.
	dialDelay time.Duration
}

// dial opens a connection.
func (r *testRouter) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		time.Sleep(r.dialDelay)
	}
	return connection, err
}

// newTestRouter starts a router whose nth attempt goes to the nth upstream. A nil
// script is an upstream that accepts no connection.
func newTestRouter(t *testing.T, upstreams ...http.HandlerFunc) *testRouter {
	t.Helper()
	route := func(name string, change func(*routing.Route)) routing.Route {
		r := routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Timeout: 5 * time.Second, Objective: time.Second,
			MaxAttempts: 3, Split: []routing.Share{{Service: "s", Weight: 1}},
		}
		change(&r)
		return r
	}
	table := &routing.Table{
		Services:  []routing.Service{{Name: "s"}},
		Customers: []routing.Customer{{Name: "acme", Keys: []string{"k"}}},
		Limits:    routing.Limits{MaxBodyBytes: 1000},
		Routes: []routing.Route{
			route("once", func(*routing.Route) {}),
			route("idem", func(r *routing.Route) { r.Repeat = routing.Idempotent }),
			route("quick", func(r *routing.Route) { r.Timeout, r.Objective = 100*time.Millisecond, 100*time.Millisecond }),
			route("brief", func(r *routing.Route) { r.Timeout, r.Stream = 100*time.Millisecond, true }),
			route("stream", func(r *routing.Route) { r.Stream = true }),
			route("resume", func(r *routing.Route) { r.Stream, r.Resumable = true, true }),
			route("open", func(r *routing.Route) { r.Public = true }),
			route("twice", func(r *routing.Route) { r.Repeat, r.MaxAttempts = routing.Idempotent, 2 }),
			route("single", func(r *routing.Route) { r.Repeat, r.MaxAttempts = routing.Idempotent, 1 }),
		},
	}
	assert.Assert(t, routing.Check(table) == nil)
	r := &testRouter{fakeFleet: &fakeFleet{index: routing.NewIndex(table), retries: 10, noChoiceReason: balance.ReasonNoUpstream}, t: t}
	r.pool = exchange.NewPool(exchange.Options{Dial: r.dial})
	for _, script := range upstreams {
		r.addresses = append(r.addresses, startScript(t, script))
	}
	handler := New(Options{Fleet: r, Dialect: dialecttest.Plain{}, Pool: r.pool, ProxyPool: r.pool, Self: "r1", Log: zerolog.Nop()})
	r.server = httptest.NewServer(handler)
	t.Cleanup(func() {
		r.server.Close()
		r.pool.Close()
	})
	return r
}

func startScript(t *testing.T, script http.HandlerFunc) string {
	if script == nil {
		// The port is free again, so no server may listen at the same IP: it could get
		// this port, and the upstream that accepts no connection would serve.
		listener, err := net.Listen("tcp", "127.0.0.2:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		return address
	}
	server := httptest.NewServer(script)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// answer is what the caller received.
type answer struct {
	status     int
	body       string
	retryAfter string
	// broken means that the answer broke off or none came.
	broken bool
}

func (r *testRouter) call(path string, change ...func(*http.Request)) answer {
	r.t.Helper()
	request, err := http.NewRequest("POST", r.server.URL+path, strings.NewReader("body"))
	assert.NilError(r.t, err)
	request.Host = "h"
	request.Header.Set("T-Id", "7")
	request.Header.Set("T-Key", "k")
	for _, c := range change {
		c(request)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{broken: true}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), response.Header.Get("Retry-After"), err != nil}
}

// Scripts of upstreams.

func serves(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signed", "1")
		_, _ = io.WriteString(w, body)
	}
}

// after waits, at most until the request is cancelled, and then calls the next script.
func after(wait time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
		}
		then(w, request)
	}
}

func refuses(status int, attested bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if attested {
			w.Header().Set("T-Not-Run", "1")
		} else {
			w.Header().Set("T-Signed", "1")
		}
		w.WriteHeader(status)
	}
}

// breaks ends the connection without an answer.
func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
