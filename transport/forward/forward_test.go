package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect/dialecttest"
	"endiveplank/transport/exchange"
)

// fakeFleet sends attempts to its upstreams in order.
type fakeFleet struct {
	mu        sync.Mutex
	index     *routing.Index
	addresses []string
	retries   int
	condemned bool
	settling  bool
	chosen    int
	underWay  int
	results   []balance.Result
	crashed   int
}

func (f *fakeFleet) Table() *routing.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

func (f *fakeFleet) Settling() bool { return f.settling }

func (f *fakeFleet) Choose(context.Context, Job) balance.Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chosen >= len(f.addresses) {
		return balance.Choice{Reason: balance.ReasonNone}
	}
	f.chosen++
	f.underWay++
	return balance.Choice{ID: protocol.UpstreamID(fmt.Sprint("u", f.chosen)), Address: f.addresses[f.chosen-1]}
}

func (f *fakeFleet) Ended(_ Job, _ protocol.UpstreamID, result balance.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.underWay--
	f.results = append(f.results, result)
}

func (f *fakeFleet) Arrived(protocol.Service) {}

func (f *fakeFleet) MayRetry(protocol.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries--
	return f.retries >= 0
}

func (f *fakeFleet) Condemned(uint64) bool { return f.condemned }

func (f *fakeFleet) Crashed(uint64, protocol.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed++
}

// rig is a router before scripted upstreams.
type rig struct {
	*fakeFleet
	t      *testing.T
	server *httptest.Server
	pool   *exchange.Pool
}

// newRig starts a router whose nth attempt goes to the nth upstream; an empty
// script is an upstream that takes no connection.
func newRig(t *testing.T, upstreams ...http.HandlerFunc) *rig {
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
			route("quick", func(r *routing.Route) { r.Timeout = 100 * time.Millisecond }),
			route("stream", func(r *routing.Route) { r.Stream = true }),
			route("resume", func(r *routing.Route) { r.Stream, r.Resumable = true, true }),
			route("open", func(r *routing.Route) { r.Public = true }),
			route("single", func(r *routing.Route) { r.Repeat, r.MaxAttempts = routing.Idempotent, 1 }),
		},
	}
	assert.Assert(t, routing.Check(table) == nil)
	r := &rig{fakeFleet: &fakeFleet{index: routing.NewIndex(table), retries: 10}, t: t, pool: exchange.NewPool()}
	for _, script := range upstreams {
		r.addresses = append(r.addresses, startScript(t, script))
	}
	handler := New(Options{Fleet: r, Dialect: dialecttest.Plain{}, Pool: r.pool, Log: zerolog.Nop()})
	r.server = httptest.NewServer(handler)
	t.Cleanup(func() {
		r.server.Close()
		r.pool.Close()
	})
	return r
}

func startScript(t *testing.T, script http.HandlerFunc) string {
	if script == nil {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		return address
	}
	server := httptest.NewServer(script)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// answer is what the caller got.
type answer struct {
	status     int
	body       string
	retryAfter string
	// broken says that the answer ended early.
	broken bool
}

func (r *rig) call(path string, change ...func(*http.Request)) answer {
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

// streams sends events from the one after the caller's last, up to and with the
// last of the whole stream, and breaks off after so many bytes if that isn't 0.
func streams(last, breakAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Signed", "1")
		first, _ := strconv.Atoi(r.Header.Get("T-Last"))
		text := ""
		for id := first + 1; id <= last; id++ {
			text += fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)
		}
		if breakAfter > 0 {
			_, _ = io.WriteString(w, text[:breakAfter])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
	}
}

func TestOneThatMayRunOnceIsNeverSentTwice(t *testing.T) {
	// A fuel order goes out, and the connection breaks before an answer comes.
	// It may have run. Sent again it could run twice; refused as not run, the
	// caller would send it again itself.
	r := newRig(t, breaks, serves("second run"))
	got := r.call("/once/x")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.retryAfter, "")
	assert.Equal(t, r.chosen, 1)
}

func TestARefusalIsSaidToBeOneOnlyIfNothingRan(t *testing.T) {
	// Callers take 408, 421, 429 and 503 as a promise that their request
	// didn't run and never will, and send it again.
	for _, status := range []int{408, 421, 429, 503} {
		attested := newRig(t, refuses(status, true))
		got := attested.call("/once/x")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.retryAfter != "")

		bare := newRig(t, refuses(status, false))
		assert.Equal(t, bare.call("/once/x").status, http.StatusBadGateway)
	}
}

func TestARefusedRequestGoesElsewhere(t *testing.T) {
	r := newRig(t, refuses(503, true), serves("ok"))
	got := r.call("/once/x")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "ok")
	assert.DeepEqual(t, r.results, []balance.Result{balance.Refused, balance.Served})
}

func TestUpstreamsThatTakeNoConnectionCostNoRetry(t *testing.T) {
	// A third of the upstreams has just died. Nothing reaches them, so trying
	// the next one adds no load and must not be counted as a retry.
	r := newRig(t, nil, nil, serves("ok"))
	r.retries = 0
	assert.Equal(t, r.call("/once/x").body, "ok")
	assert.DeepEqual(t, r.results, []balance.Result{balance.Unreachable, balance.Unreachable, balance.Served})
}

func TestIdempotentRequestsAreRepeatedWithinTheirLimits(t *testing.T) {
	broken := newRig(t, breaks, serves("ok"))
	assert.Equal(t, broken.call("/idem/x").body, "ok")

	failed := newRig(t, refuses(500, false), serves("ok"))
	assert.Equal(t, failed.call("/idem/x").body, "ok")

	spent := newRig(t, breaks, serves("ok"))
	spent.retries = 0
	assert.Equal(t, spent.call("/idem/x").status, http.StatusBadGateway)
	assert.Equal(t, spent.chosen, 1)

	single := newRig(t, breaks, serves("ok"))
	assert.Equal(t, single.call("/single/x").status, http.StatusBadGateway)
	assert.Equal(t, single.chosen, 1)

	attempts := newRig(t, breaks, breaks, breaks, serves("ok"))
	assert.Equal(t, attempts.call("/idem/x").status, http.StatusBadGateway)
	assert.Equal(t, attempts.chosen, 3)
}

func TestAnUpstreamsOwnErrorIsPassedOn(t *testing.T) {
	r := newRig(t, refuses(500, false), serves("second run"))
	assert.Equal(t, r.call("/once/x").status, 500)
	assert.Equal(t, r.chosen, 1)
}

func TestASuccessWithoutASignatureIsNone(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "rubbish") }
	r := newRig(t, unsigned, serves("ok"))
	assert.Equal(t, r.call("/idem/x").body, "ok")
	once := newRig(t, unsigned)
	assert.Equal(t, once.call("/once/x").status, http.StatusBadGateway)
}

func TestATruncatedAnswerIsAskedForAgainOrMissing(t *testing.T) {
	// An upstream breaks off in the middle of its answer. A caller that got the
	// half with a 200 would take it for the whole.
	half := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signed", "1")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}
	r := newRig(t, half, serves("ok"))
	assert.Equal(t, r.call("/idem/x").body, "ok")
	once := newRig(t, half)
	assert.Equal(t, once.call("/once/x").status, http.StatusBadGateway)
}

func TestALargeAnswerThatBreaksOffIsCut(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signed", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", 3*wholeBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	r := newRig(t, large, serves("ok"))
	got := r.call("/idem/x")
	assert.Assert(t, got.broken)
	assert.Equal(t, r.underWay, 0, "an attempt that ends the caller's connection is counted as ended")
}

func events(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)
	}
	return text
}

func TestAStreamGoesOnAtAnotherUpstreamWithoutASeam(t *testing.T) {
	// An engine dies in the middle of an event. Passed on, the half event would
	// be followed by the next engine's, and the caller would get a stream with
	// an event torn or twice.
	for _, breakAfter := range []int{1, 23, 30, 46, 60} {
		r := newRig(t, streams(5, breakAfter), streams(5, 0))
		got := r.call("/resume/x")
		assert.Equal(t, got.body, events(1, 5), "broken after %d bytes", breakAfter)
		assert.Assert(t, !got.broken)
	}
}

func TestAStreamThatMayNotGoOnElsewhereIsCut(t *testing.T) {
	r := newRig(t, streams(5, 60), streams(5, 0))
	got := r.call("/stream/x")
	assert.Assert(t, got.broken)
	assert.Equal(t, r.chosen, 1)
	unseen := newRig(t, streams(5, 1), streams(5, 0))
	assert.Equal(t, unseen.call("/stream/x").status, http.StatusBadGateway)
}

func TestAResumedStreamHasToGoOnWhereItWasAskedTo(t *testing.T) {
	// The second engine ignores the event that it should resume behind and
	// starts anew. Its events must not be joined to the first one's.
	fromStart := func(w http.ResponseWriter, request *http.Request) {
		request.Header.Del("T-Last")
		streams(5, 0)(w, request)
	}
	r := newRig(t, streams(5, 60), fromStart, streams(5, 0))
	got := r.call("/resume/x")
	assert.Equal(t, got.body, events(1, 5))
	assert.Equal(t, r.chosen, 3)
}

func TestASilentStreamIsResumedElsewhereWithinItsBudget(t *testing.T) {
	// An engine hangs after two events. Its callers leave after some seconds;
	// before that another engine goes on, if a retry may be spent.
	stop := make(chan struct{})
	defer close(stop)
	hangs := func(w http.ResponseWriter, request *http.Request) {
		streams(2, 0)(w, request)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stop:
		case <-request.Context().Done():
		}
	}
	r := newRig(t, hangs, streams(5, 0))
	r.index.Table().Routes[4].Objective = 0
	got := r.call("/resume/x")
	assert.Equal(t, got.body, events(1, 5))
	assert.Equal(t, r.results[0], balance.Failed)
}

func TestTheCallersLeavingEndsTheAttempt(t *testing.T) {
	// A caller leaves while its request runs. Work for nobody has to stop, and
	// no other attempt may follow.
	arrived, stopped := make(chan struct{}), make(chan struct{})
	waits := func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		close(arrived)
		<-request.Context().Done()
		close(stopped)
	}
	r := newRig(t, waits, serves("second"))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	got := r.call("/idem/x", func(request *http.Request) { *request = *request.WithContext(ctx) })
	assert.Assert(t, got.broken)
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream still works")
	}
	assert.Equal(t, r.chosen, 1)
}

func TestTimeIsHandedOnAsWhatIsLeft(t *testing.T) {
	// The first attempt takes 60 of the caller's 2,000 ms. An upstream that was
	// told 2,000 again would work for a caller that has gone.
	var left [2]atomic.Int64
	slow := func(_ http.ResponseWriter, request *http.Request) {
		ms, _ := strconv.ParseInt(request.Header.Get("T-Left"), 10, 64)
		left[0].Store(ms)
		time.Sleep(60 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	second := func(w http.ResponseWriter, request *http.Request) {
		ms, _ := strconv.ParseInt(request.Header.Get("T-Left"), 10, 64)
		left[1].Store(ms)
		serves("ok")(w, request)
	}
	r := newRig(t, slow, second)
	assert.Equal(t, r.call("/idem/x", func(request *http.Request) { request.Header.Set("T-Left", "2000") }).body, "ok")
	assert.Assert(t, left[0].Load() <= 2000)
	assert.Assert(t, left[1].Load() <= left[0].Load()-60, "%d then %d", left[0].Load(), left[1].Load())
}

func TestAtTheRoutesTimeoutTheCallerHasAnAnswer(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	hangs := func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-stop:
		case <-request.Context().Done():
		}
	}
	r := newRig(t, hangs)
	began := time.Now()
	got := r.call("/quick/x")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 4*time.Second)
}

func TestRequestsThatCanNotGoOnAreRefusedAtOnce(t *testing.T) {
	r := newRig(t, serves("ok"))
	assert.Equal(t, r.call("/nowhere/x").status, 404)
	assert.Equal(t, r.call("/once/x", func(request *http.Request) { request.Header.Set("T-Key", "other") }).status, 401)
	assert.Equal(t, r.call("/once/x", func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000)))
		request.ContentLength = -1
	}).status, 413)
	assert.Equal(t, r.chosen, 0)
	assert.Equal(t, r.call("/open/x", func(request *http.Request) { request.Header.Del("T-Key") }).status, 200)
	assert.Equal(t, r.call("/once/x").status, http.StatusServiceUnavailable, "no upstream is left")

	r.index = nil
	got := r.call("/once/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "not 404: the router knows no table yet")
	assert.Assert(t, got.retryAfter != "")
}

func TestARouterThatHasJustStartedWaitsForTheTable(t *testing.T) {
	// All VMs lost power and are back. Callers arrive before the router has
	// heard of the table, which it does a moment later. Refused, most of them
	// would have used up their one retry.
	r := newRig(t, serves("ok"))
	index := r.index
	r.index, r.settling = nil, true
	time.AfterFunc(100*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.index = index
	})
	assert.Equal(t, r.call("/once/x").body, "ok")

	r.index = nil
	r.settling = false
	assert.Equal(t, r.call("/once/x").status, http.StatusServiceUnavailable)
}

func TestACondemnedRequestReachesNobody(t *testing.T) {
	r := newRig(t, serves("ok"))
	r.condemned = true
	assert.Equal(t, r.call("/idem/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, r.chosen, 0)
}

func TestABrokenAnswerIsTakenForACrash(t *testing.T) {
	r := newRig(t, breaks)
	r.call("/once/x")
	assert.Equal(t, r.crashed, 1)
}

func TestEventsArriveAsTheyAreMade(t *testing.T) {
	// Two events come at once, the next much later. A caller has to see the
	// first two before the third is made.
	proceed := make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Signed", "1")
		_, _ = io.WriteString(w, events(1, 2))
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = io.WriteString(w, events(3, 3))
	})
	request, err := http.NewRequest("POST", r.server.URL+"/stream/x", nil)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("T-Key", "k")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	got := ""
	for len(got) < len(events(1, 2)) {
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		got += line
	}
	close(proceed)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, got+string(rest), events(1, 3))
}

func TestServicesAreDrawnByWeight(t *testing.T) {
	split := []routing.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}
	drawn := map[protocol.Service]int{}
	for i := range 10_000 {
		drawn[drawService(split, fmt.Sprint("request ", i))]++
	}
	assert.Assert(t, drawn["a"] > 8800 && drawn["a"] < 9200, "%v", drawn)
	assert.Equal(t, drawn["c"], 0)
}
