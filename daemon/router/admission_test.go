package router

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/demand"
	"endiveplank/coordination/loadlimit"
	"endiveplank/coordination/ratelimit"
	"endiveplank/protocol"
	"endiveplank/settings/direct"
	"endiveplank/transport/admissionview"
	"endiveplank/transport/forward"
)

// settling is how long a surge lasts before answers are counted: time to find that the service is
// short, and to drain the queues.
const settling = 3 * time.Second

func TestUrgentRequestsAreServedInAnOverloadAndOthersKeepTheirFloor(t *testing.T) {
	// Guards: while callers send twice what a service can do, urgent requests are refused or late
	// like all others; or the less urgent ones get nothing.
	f := startLimitedFleet(t, newSlotServer(2, 40*time.Millisecond), newSlotServer(2, 40*time.Millisecond))
	var running sync.WaitGroup
	var results map[string][]result
	running.Go(func() { results = f.flows(settling+5*time.Second, map[string]int{"rank0": 40, "rank2": 160}) })
	// What upstreams report is known for some seconds, so it is looked at while requests are answered.
	f.routers[0].eventually("the reports of both upstreams are known", func() bool {
		view := f.view(0)
		return len(view.Services) > 0 && view.Services[0].Reported != nil && view.Services[0].Reported.Known == 2
	})
	running.Wait()
	urgent, other := servedShare(results["rank0"], settling), servedShare(results["rank2"], settling)
	all := servedShare(append(results["rank0"], results["rank2"]...), settling)
	t.Logf("served in time: rank 0 %.2f (%s), rank 2 %.2f (%s), all %.2f", urgent, outcomes(results["rank0"], settling),
		other, outcomes(results["rank2"], settling), all)
	assert.Check(t, urgent >= 0.9, "%.2f", urgent)
	assert.Check(t, other >= all/4, "%.2f of rank 2, %.2f of all", other, all)
	assert.Check(t, all >= 0.4, "%.2f", all)
	var view admissionview.View
	assert.NilError(t, json.Unmarshal(f.metrics(t, 0, admissionview.Path), &view))
	service := view.Services[0]
	assert.Check(t, service.Limit > 0 && service.Routers == len(f.callers) && service.Slots == 4, "%+v", service)
	assert.Check(t, service.Reported != nil, "%+v", service)
	assert.Check(t, service.Ranks[2].Refused > service.Ranks[0].Refused, "%+v", service.Ranks)
	assert.Check(t, strings.Contains(string(f.metrics(t, 0, "/any")), `admission_refused_total{rank="2"}`))
	for _, lines := range f.lines {
		assert.Check(t, lines.count(`"event":"rate-limited"`) >= 1)
		assert.Check(t, lines.count(`"event":"rate-limit`) <= 8, "few lines for one surge")
	}
	f.stop(t)
}

func TestRouterStartedInASurgeTakesTheLimitOfTheOthers(t *testing.T) {
	// Guards: the limit is lost with a killed router, and the one that starts in its place admits all
	// requests until it has learned a limit of its own.
	f := startLimitedFleet(t, newSlotServer(2, 40*time.Millisecond), newSlotServer(2, 40*time.Millisecond))
	var surge sync.WaitGroup
	surge.Go(func() { f.flows(settling+4*time.Second, map[string]int{"rank0": 40, "rank2": 160}) })
	f.routers[1].eventually("a limit is in force", func() bool { return f.limit(0) > 0 && f.limit(1) > 0 })
	time.Sleep(settling)
	f.routers[2].stopTicking()
	f.routers[2].kill()
	f.restart(2)
	r := f.routers[2]
	r.eventually("the router is ready", r.ready)
	began := time.Now()
	r.eventually("it has a limit", func() bool { return f.limit(2) > 0 })
	assert.Check(t, time.Since(began) < 2*time.Second, "after %s", time.Since(began))
	assert.Check(t, f.lines[2].count(`"adopted":true`) >= 1)
	own, others := f.limit(2), f.limit(0)
	assert.Check(t, own > others/2 && own < 2*others, "%.0f, the others' is %.0f", own, others)
	surge.Wait()
	f.stop(t)
}

func TestRefusedCallersThatComeBackInTimeAreServedAtAnotherRouter(t *testing.T) {
	// Guards: a caller that was told when to come back is refused again, as the router that it comes
	// to knows nothing of that; or coming back early gains something.
	f := startLimitedFleet(t, newSlotServer(2, 40*time.Millisecond), newSlotServer(2, 40*time.Millisecond))
	var reserved, served, hurried, early atomic.Int64
	var waiting sync.WaitGroup
	f.flow("rank2", 160, settling+4*time.Second, func(got result) {
		if got.status != http.StatusServiceUnavailable || !got.reserved || got.at < settling {
			return
		}
		reserved.Add(1)
		waiting.Go(func() {
			other := (got.router + 1) % len(f.callers)
			if got.after > time.Second {
				hurried.Add(1)
				if f.ask(got.router, got.target).status == http.StatusOK {
					early.Add(1)
					return
				}
			}
			time.Sleep(got.after)
			if f.ask(other, got.target).status == http.StatusOK {
				served.Add(1)
			}
		})
	})
	waiting.Wait()
	t.Logf("reserved %d, served %d; of %d that also came early %d served",
		reserved.Load(), served.Load(), hurried.Load(), early.Load())
	assert.Assert(t, reserved.Load() >= 20, "%d", reserved.Load())
	assert.Check(t, served.Load() >= reserved.Load()*8/10, "%d of %d", served.Load(), reserved.Load())
	assert.Check(t, hurried.Load() > 0 && early.Load() == 0, "%d of %d", early.Load(), hurried.Load())
	f.stop(t)
}

func TestRequestsThatMayHaveRunAreNotAnsweredAsNotRun(t *testing.T) {
	// Guards: in an overload, a request that may run only once and whose upstream broke it off is
	// answered 429 or 503, and its caller sends it again.
	servers := []*slotServer{newSlotServer(2, 40*time.Millisecond), newSlotServer(2, 40*time.Millisecond)}
	for _, server := range servers {
		server.breaks = 10
	}
	f := startLimitedFleet(t, servers...)
	results := f.flows(settling+3*time.Second, map[string]int{"once": 160})
	broken, refused := 0, 0
	for _, got := range results["once"] {
		ran := false
		for _, server := range servers {
			server.mu.Lock()
			ran = ran || server.broken[got.target]
			server.mu.Unlock()
		}
		promised := got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable
		assert.Check(t, !ran || !promised, "%s was answered %d", got.target, got.status)
		if ran {
			broken++
		}
		if promised {
			refused++
		}
	}
	t.Logf("%d broken off, %d refused", broken, refused)
	assert.Check(t, broken > 10 && refused > 100, "%d, %d", broken, refused)
	f.stop(t)
}

// limit returns the rate limit that a router has.
func (f *limitedFleet) limit(router int) float64 {
	view := f.view(router)
	if len(view.Services) == 0 {
		return 0
	}
	return view.Services[0].Limit
}

// view returns what a router shows to operators.
func (f *limitedFleet) view(router int) admissionview.View {
	return f.routers[router].router.admissionView()
}

// metrics reads a path of a router's metrics listener.
func (f *limitedFleet) metrics(t *testing.T, router int, path string) []byte {
	t.Helper()
	response, err := http.Get("http://" + f.routers[router].settings.Listen.Metrics + path)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return body
}

// restart starts a router anew that was killed.
func (f *limitedFleet) restart(router int) {
	f.lines[router].reset()
	f.routers[router] = f.starts[router]()
}

// stopTicking ends what the router does by itself.
func (r *rig) stopTicking() {
	close(r.router.quit)
	r.router.done.Wait()
}

// kill ends a router that doesn't tick any more without notice to the others.
func (r *rig) kill() {
	r.router.fabric.Close()
	r.router.closeServers()
	_ = r.router.servers.callers.Close()
	r.router.pool.Close()
}

func TestOnlyFirstAttemptsAreRefusedForARateLimit(t *testing.T) {
	// Guards: a rate limit refuses a stream that is taken up again, or a request that was sent before,
	// and the work that was done for it is lost.
	r := startChoosing(t, direct.Admission{Enabled: true, Floor: 0.3})
	r.stopTicking()
	totals := demand.Totals{Routers: 1, Arrived: [demand.Ranks]float64{0, 0, 1000, 0}}
	limiter := r.router.admission.service("s").limiter
	_, changed := limiter.Observe(stoppedAt+time.Minute, totals, ratelimit.Capacity{Slots: 72, InFlight: 72}, 1)
	assert.Assert(t, changed)
	first := forward.Job{Service: "s", Route: &r.router.Table().Table().Routes[1], Priority: 2, Remaining: 3 * time.Second}
	tried, resumed, unsent := first, first, first
	tried.Tried, tried.Attempts = []protocol.UpstreamID{"u3"}, 1
	resumed.TakenUp = true
	unsent.Attempts = 1
	refused := 0
	for n := range 200 {
		job := first
		job.Digest = uint64(n)
		choice := r.router.Choose(t.Context(), job)
		if choice.ID != "" {
			r.router.AttemptEnded(job, choice, balance.Served)
			continue
		}
		refused++
		assert.Equal(t, choice.Reason, balance.ReasonNoCapacity)
		assert.Equal(t, choice.RateLimited.Rank, 2)
		assert.Assert(t, choice.RateLimited.Share < choice.RateLimited.Demand)
		for name, job := range map[string]forward.Job{"tried": tried, "resumed": resumed, "unsent": unsent} {
			choice := r.router.Choose(t.Context(), job)
			assert.Assert(t, choice.ID != "", name)
			r.router.AttemptEnded(job, choice, balance.Served)
		}
	}
	assert.Assert(t, refused > 100, "%d", refused)
	r.kill()
}

func TestARouterWithALowLoadLimitOfItsOwnGetsItsPartOfARateLimit(t *testing.T) {
	// Guards: a router has seen late answers at a low load, the others keep the upstreams above it while
	// a rate limit is in force, and it refuses all requests for seconds.
	r := startChoosing(t, direct.Admission{Enabled: true, Floor: 0.3})
	r.stopTicking()
	limited := demand.Totals{Routers: 3, Arrived: [demand.Ranks]float64{1000, 0, 0, 0}}
	const reported = 900.0
	limiter := r.router.admission.service("s").limiter
	_, changed := limiter.Observe(stoppedAt-time.Minute, limited, ratelimit.Capacity{Slots: 72, InFlight: 72}, reported)
	assert.Assert(t, changed)
	own := r.router.limiter("s")
	for range 500 {
		own.Record(stoppedAt, 4, false)
		own.Record(stoppedAt, 1, true)
	}
	assert.Assert(t, own.Limit(stoppedAt) <= 4, "%d", own.Limit(stoppedAt))
	r.router.mu.Lock()
	r.router.observeService(stoppedAt, "s")
	assert.Assert(t, limiter.Limit() > 0)
	for _, id := range []protocol.UpstreamID{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9", "u10", "u11"} {
		for range 8 {
			r.router.balancer.Started(id)
		}
	}
	job := forward.Job{Service: "s", Route: &r.router.Table().Table().Routes[1], Remaining: 3 * time.Second}
	drawn, served := map[int]bool{}, 0
	const draws = 100
	for range draws {
		limit := r.router.loadLimit(stoppedAt, job, true)
		drawn[limit] = true
		if choice := r.router.balancer.Pick(stoppedAt, r.router.random, balance.Request{Service: "s", LoadLimit: limit}); choice.ID != "" {
			served++
		}
	}
	r.router.mu.Unlock()
	assert.Check(t, served >= draws/2, "%d of %d, limits %v", served, draws, drawn)
	assert.Check(t, len(drawn) > 1, "all requests have the limit %v", drawn)
	r.kill()
}

func TestLoadLimitsOfRequestsAreSpread(t *testing.T) {
	// Guards: the others' limit is a little higher, they keep the upstreams' load there, and a router gets
	// no request through; or the spread changes the mean of the limits.
	random, sum, aboveOthers := rand.New(rand.NewPCG(1, 2)), 0, 0
	const limit, othersLimit, draws = 15, 17, 10_000
	for range draws {
		drawn := spread(limit, random.Float64())
		sum += drawn
		if drawn > othersLimit {
			aboveOthers++
		}
	}
	assert.Assert(t, aboveOthers > draws/10, "%d", aboveOthers)
	assert.Assert(t, math.Abs(float64(sum)/draws-limit) < 0.1)
	assert.Equal(t, spread(loadlimit.Unlimited, 0.5), loadlimit.Unlimited)
	assert.Equal(t, spread(1, 0), 1)
}

func TestCallersThatComeBackWithoutAReservationAreTheLeastUrgent(t *testing.T) {
	// Guards: a refused caller comes back too late to be answered in time, and takes the place of a
	// new request that could be; or a request without a body is taken for another caller's.
	r := startChoosing(t, direct.Admission{Enabled: true, Floor: 0.3})
	r.stopTicking()
	totals := demand.Totals{Routers: 1, Arrived: [demand.Ranks]float64{0, 0, 1000, 1000}}
	_, changed := r.router.admission.service("s").limiter.Observe(stoppedAt+time.Minute, totals, ratelimit.Capacity{Slots: 72, InFlight: 72}, 1)
	assert.Assert(t, changed)
	refusedAs := func(digest uint64, hasBody bool) int {
		job := forward.Job{
			Service: "s", Route: &r.router.Table().Table().Routes[1], Priority: 2, Remaining: 3 * time.Second, Digest: digest, HasBody: hasBody,
		}
		choice := r.router.Choose(t.Context(), job)
		for ; choice.ID != ""; choice = r.router.Choose(t.Context(), job) {
			r.router.AttemptEnded(job, choice, balance.Served)
		}
		offer, _ := r.router.ScheduleRetry(job)
		assert.Assert(t, !offer.Reserved)
		return choice.RateLimited.Rank
	}
	assert.Equal(t, refusedAs(1, true), 2)
	assert.Equal(t, refusedAs(1, true), demand.Ranks-1)
	assert.Equal(t, refusedAs(2, false), 2)
	assert.Equal(t, refusedAs(2, false), 2)
	r.kill()
}

func TestACustomerThatSendsTooMuchIsRefusedAlone(t *testing.T) {
	// Guards: one customer sends six times its usual rate, and others, which would fit without it, are
	// refused or late because of it.
	f := startLimitedFleet(t, newSlotServer(2, 40*time.Millisecond), newSlotServer(2, 40*time.Millisecond))
	results := f.flows(settling+4*time.Second, map[string]int{
		"rank1/large": 120, "rank1/small-1": 20, "rank1/small-2": 20, "rank1/small-3": 20,
	})
	large := servedShare(results["rank1/large"], settling)
	t.Logf("served in time: the large customer %.2f", large)
	for name, got := range results {
		if name == "rank1/large" {
			continue
		}
		small := servedShare(got, settling)
		t.Logf("%s %.2f", name, small)
		assert.Check(t, small >= 0.85, "%s %.2f", name, small)
	}
	assert.Check(t, large < 0.5, "%.2f", large)
	f.stop(t)
}
