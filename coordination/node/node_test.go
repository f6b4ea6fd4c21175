package node_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/coordination/node/nodetest"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

const seed = 1

// assertComplete checks that a caller got the complete answer to its own request.
func assertComplete(t *testing.T, answer *nodetest.Answer, prompt string, tokens int) {
	t.Helper()
	assert.Assert(t, answer.Ended && !answer.Broken, "%+v", answer)
	assert.Equal(t, answer.Text(), nodetest.ExpectedAnswer(prompt, tokens))
}

func newFleet(routers int) *nodetest.Fleet {
	f := nodetest.New(seed, routers)
	f.AddEngine("e1", "r1", 1000, 8)
	f.AddEngine("e2", "r2", 1000, 8)
	f.Run(2 * time.Second)
	return f
}

// The router that owns an engine dies while it relays an answer to a caller on
// another router. Once the failure is detected, the caller must get the rest of
// the same answer, with no token missing or repeated.
func TestOwnerDiesInMidAnswerAndTheCallerGetsTheRest(t *testing.T) {
	f := newFleet(3)
	answer := f.Submit("r3", "q", "key", "fuel?", 100)
	f.Run(time.Second)
	assert.Assert(t, len(answer.Chunks) > 0 && !answer.Ended)
	running := protocol.RouterID("r1")
	if f.Engines["e2"].Running() > 0 {
		running = "r2"
	}
	f.Kill(running)
	before := len(answer.Chunks)
	f.Run(3 * time.Second)
	assert.Assert(t, len(answer.Chunks) > before, "nothing came within 3 s of the loss")
	f.Run(12 * time.Second)
	assertComplete(t, answer, "fuel?", 100)
}

// An owner dies while a request waits in its queue. The request must be placed
// again and not wait until its deadline.
func TestQueuedRequestIsPlacedAgainWhenItsOwnerDies(t *testing.T) {
	f := nodetest.New(seed, 2)
	f.AddEngine("e1", "r1", 1000, 1)
	f.Run(2 * time.Second)
	first := f.Submit("r2", "first", "key", "long", 1000)
	f.Run(time.Second)
	second := f.Submit("r2", "second", "key", "short", 10)
	f.Run(time.Second)
	assert.Assert(t, !first.Ended && len(second.Chunks) == 0)
	f.Kill("r1")
	f.SetOwner("e1", "r2")
	f.Run(8 * time.Second)
	assertComplete(t, second, "short", 10)
}

// An engine dies with many long answers on it, all for callers of one router, in
// a fleet with so few other requests that the retry budget grows slowly. No
// answer may break off: a retry that the budget can't pay for at once must wait.
func TestStartedAnswersWaitForTheRetryBudget(t *testing.T) {
	f := nodetest.New(seed, 2)
	f.ApplyRemovals = true
	f.AddEngine("e1", "r1", 4000, 32)
	f.Run(2 * time.Second)
	prompt := func(i int) string { return fmt.Sprint("p", i, strings.Repeat(" long prompt", 80)) }
	for i := range 16 {
		f.Submit("r2", protocol.RequestID(fmt.Sprint(i)), "key", prompt(i), 500)
	}
	f.Run(2 * time.Second)
	for i := range 6 {
		f.AddEngine(protocol.UpstreamID(fmt.Sprint("other-", i)), "r2", 4000, 32)
	}
	f.Run(time.Second)
	f.Engines["e1"].Crash(time.Hour)
	for i := range 100 {
		f.Submit("r2", protocol.RequestID(fmt.Sprint("later-", i)), "key", fmt.Sprint("later", i), 100)
		f.Run(200 * time.Millisecond)
	}
	f.Run(30 * time.Second)
	for i := range 16 {
		assertComplete(t, f.Answers[protocol.RequestID(fmt.Sprint(i))], prompt(i), 500)
	}
}

// An engine's connections go silent in the middle of an answer: no error and no
// more data arrives. The caller must get the rest from another engine.
func TestAnswerOfASilentEngineIsResumedElsewhere(t *testing.T) {
	f := newFleet(3)
	answer := f.Submit("r3", "q", "key", "fuel?", 100)
	f.Run(time.Second)
	for _, engine := range f.Engines {
		engine.Silent = engine.Running() > 0
	}
	f.Run(9 * time.Second)
	assertComplete(t, answer, "fuel?", 100)
}

// A router is frozen for longer than its lease, another one becomes the owner of
// its engine, and the first one resumes with requests that it hasn't handled. It
// must send nothing to the engine, whose load only the new owner counts.
func TestThawedFormerOwnerAdmitsNothing(t *testing.T) {
	f := newFleet(3)
	f.Freeze("r1")
	for i := range 20 {
		f.Submit("r3", protocol.RequestID(fmt.Sprintf("early-%d", i)), "key", fmt.Sprint("p", i), 10)
	}
	f.Run(4 * time.Second)
	f.SetOwner("e1", "r3")
	f.Run(time.Second)
	var calls []protocol.RouterID
	f.OnCall = func(router protocol.RouterID, call node.CallUpstream) {
		if call.Place.Upstream == "e1" {
			calls = append(calls, router)
		}
	}
	f.Thaw("r1")
	for i := range 20 {
		f.Submit("r2", protocol.RequestID(fmt.Sprintf("late-%d", i)), "key", fmt.Sprint("q", i), 10)
	}
	f.Run(20 * time.Second)
	assert.Assert(t, len(calls) > 0)
	for _, router := range calls {
		assert.Equal(t, router, protocol.RouterID("r3"))
	}
	for id, answer := range f.Answers {
		assert.Assert(t, answer.Ended, "request %s has no answer", id)
	}
}

// A router loses its lease because it can't reach the voters. It must not serve
// callers under a configuration that may have changed. It must answer that the
// request did not run and when to send it again, and report that it isn't ready.
func TestRouterWithoutLeaseRefusesWithNotRun(t *testing.T) {
	f := newFleet(3)
	f.Routers["r3"].NoLease = true
	f.Run(6 * time.Second)
	answer := f.Submit("r3", "q", "key", "fuel?", 5)
	assert.Assert(t, answer.Ended)
	assert.Equal(t, answer.Status, 503)
	assert.Equal(t, answer.Outcome, protocol.NotRun)
	assert.Assert(t, answer.RetryAfter > 0)
	assert.Assert(t, !f.Routers["r3"].Core.Ready(f.Now))
}

// The voters' leader dies and a new one is elected within a second; the lease of
// a router expires in between. The router's callers must be served once it has a
// lease again, and not before.
func TestRequestsWaitDuringAShortLeaseGap(t *testing.T) {
	f := newFleet(3)
	f.Routers["r3"].NoLease = true
	f.Run(3100 * time.Millisecond)
	answer := f.Submit("r3", "q", "key", "fuel?", 5)
	f.Run(500 * time.Millisecond)
	assert.Assert(t, !answer.Ended && len(answer.Chunks) == 0)
	f.Routers["r3"].NoLease = false
	f.Run(2 * time.Second)
	assertComplete(t, answer, "fuel?", 5)
}

// One request crashes each engine that runs it, and its caller sends it again
// through other routers for minutes. It may crash at most two engines. The other
// callers, whose requests fail in the same crashes, must all get their answers.
func TestCrashingRequestIsQuarantinedAfterTwoEngines(t *testing.T) {
	f := nodetest.New(seed, 3)
	for i := range 6 {
		f.AddEngine(protocol.UpstreamID(fmt.Sprintf("e%d", i)), protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), 1000, 16)
	}
	f.Run(2 * time.Second)
	for i := range 24 {
		f.Submit(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), protocol.RequestID(fmt.Sprintf("good-%d", i)), "key", fmt.Sprint("innocent ", i), 100)
	}
	f.Run(200 * time.Millisecond)
	for i := range 30 {
		id := protocol.RequestID(fmt.Sprintf("bad-%d", i))
		f.Submit(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), id, "key", nodetest.CrashMark, 50)
		f.Run(4 * time.Second)
	}
	f.Run(30 * time.Second)
	crashes := 0
	for _, engine := range f.Engines {
		crashes += engine.Crashes
	}
	assert.Assert(t, crashes <= 2, "%d engines were lost", crashes)
	for i := range 24 {
		assertComplete(t, f.Answers[protocol.RequestID(fmt.Sprintf("good-%d", i))], fmt.Sprint("innocent ", i), 100)
	}
	last := f.Answers["bad-29"]
	assert.Equal(t, last.Reason, "quarantined")
	assert.Equal(t, last.Outcome, protocol.NotRun)
	// An operator finds the request in the list of any router and lifts its
	// quarantine.
	listed := f.Routers["r2"].Core.Quarantined(f.Now)
	assert.Equal(t, len(listed), 1)
	f.Input("r2", node.LiftQuarantine{Digest: listed[0].Digest})
	f.Run(2 * time.Second)
	for _, router := range f.Routers {
		assert.Equal(t, len(router.Core.Quarantined(f.Now)), 0)
	}
}

// An engine announces that it leaves. No new work may reach it, and the answers
// that it is running must complete.
func TestLeavingEngineGetsNothingNewAndFinishes(t *testing.T) {
	f := newFleet(3)
	// Both engines have work, so that the load bound alone would not keep requests
	// away from the one that leaves.
	for i := range 8 {
		f.Submit("r3", protocol.RequestID(fmt.Sprintf("before-%d", i)), "key", fmt.Sprint("b", i), 100)
		f.Run(50 * time.Millisecond)
	}
	running := f.Engines["e1"].Running()
	assert.Assert(t, running > 0 && f.Engines["e2"].Running() > 0)
	f.Engines["e1"].Leave()
	f.Run(200 * time.Millisecond)
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		assert.Assert(t, call.Place.Upstream != "e1")
	}
	for i := range 12 {
		f.Submit("r1", protocol.RequestID(fmt.Sprintf("after-%d", i)), "key", fmt.Sprint("p", i), 10)
	}
	f.Run(20 * time.Second)
	for i := range 8 {
		assertComplete(t, f.Answers[protocol.RequestID(fmt.Sprintf("before-%d", i))], fmt.Sprint("b", i), 100)
	}
	for i := range 12 {
		assertComplete(t, f.Answers[protocol.RequestID(fmt.Sprintf("after-%d", i))], fmt.Sprint("p", i), 10)
	}
}

// Guards: an engine refuses requests with a Retry-After, and gets those that follow, or those
// that wait for it, before that time has passed.
func TestEngineGetsNothingBeforeItsRetryAfterHasPassed(t *testing.T) {
	f := newFleet(3)
	for i := range 40 {
		f.Submit("r3", protocol.RequestID(fmt.Sprintf("before-%d", i)), "key", fmt.Sprint("b", i), 100)
	}
	f.Run(100 * time.Millisecond)
	const retryAfter = 3 * time.Second
	f.Engines["e1"].RetryAfter = retryAfter
	refusedAt := time.Duration(0)
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		if call.Place.Upstream != "e1" {
			return
		}
		if refusedAt == 0 {
			refusedAt = f.Now
		}
		after := f.Now - refusedAt
		assert.Assert(t, after < 500*time.Millisecond || after >= retryAfter, "sent %s after the first refusal", after)
	}
	for i := range 60 {
		f.Submit("r1", protocol.RequestID(fmt.Sprintf("after-%d", i)), "key", fmt.Sprint("p", i), 10)
		f.Run(50 * time.Millisecond)
	}
	assert.Assert(t, refusedAt > 0)
}

// An engine's announcements stop because its network or its process fails. It
// must get no requests after three missed announcements, and must be removed from
// the replicated state after ten seconds.
func TestEngineThatStopsAnnouncingGetsNothingNew(t *testing.T) {
	f := newFleet(3)
	f.Engines["e1"].NoAnnouncements = true
	f.Run(2500 * time.Millisecond)
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		assert.Assert(t, call.Place.Upstream != "e1")
	}
	for i := range 12 {
		f.Submit("r2", protocol.RequestID(fmt.Sprint(i)), "key", fmt.Sprint("p", i), 10)
	}
	f.Run(10 * time.Second)
	for i := range 12 {
		assertComplete(t, f.Answers[protocol.RequestID(fmt.Sprint(i))], fmt.Sprint("p", i), 10)
	}
	removed := slices.ContainsFunc(f.Events, func(e node.Event) bool { return e.Upstream == "e1" && e.Kind == "removed" })
	assert.Assert(t, removed)
}

// Every engine refuses connections. The caller must get an answer that says that
// its request did not run, because no byte of it was sent.
func TestUnreachableEnginesAnswerNotRun(t *testing.T) {
	f := newFleet(3)
	for _, engine := range f.Engines {
		engine.NoConnect = true
	}
	answer := f.Submit("r3", "q", "key", "fuel?", 5)
	f.Run(70 * time.Second)
	assert.Assert(t, answer.Ended)
	assert.Equal(t, answer.Outcome, protocol.NotRun, "%+v", answer)
}

// Invalid requests must get an error with a status and a reason code, and must
// not reach an engine.
func TestBadRequestsAreRefusedWithTheirReason(t *testing.T) {
	f := newFleet(1)
	f.AddRoute(node.Route{Prefix: "/svc/orders", Service: "orders"})
	f.OnCall = func(protocol.RouterID, node.CallUpstream) { t.Fatal("a bad request reached an upstream") }
	unknownKey := f.Submit("r1", "x", "no such key", "fuel?", 5)
	assert.Equal(t, unknownKey.Status, 401)
	for name, tc := range map[string]struct {
		request node.CallerRequest
		status  int
		reason  string
	}{
		"no key":        {node.CallerRequest{Path: "/v1/chat/completions"}, 401, "key_missing"},
		"no route":      {keyed(node.CallerRequest{Path: "/nowhere"}), 404, "route_unknown"},
		"bad body":      {keyed(node.CallerRequest{Path: "/v1/chat/completions", ChatError: "no model"}), 400, "body_invalid"},
		"no messages":   {keyed(node.CallerRequest{Path: "/v1/chat/completions", Chat: &chat.Request{Model: "m"}}), 400, "body_invalid"},
		"order, no key": {keyed(node.CallerRequest{Path: "/svc/orders/new"}), 400, "idempotency_key_missing"},
	} {
		t.Run(name, func(t *testing.T) {
			tc.request.ID = protocol.RequestID(name)
			answer := f.SubmitRequest("r1", tc.request)
			assert.Equal(t, answer.Status, tc.status)
			assert.Equal(t, answer.Reason, tc.reason)
			assert.Equal(t, answer.Outcome, protocol.NotRun)
		})
	}
}

func keyed(request node.CallerRequest) node.CallerRequest {
	request.HasKey = true
	request.KeyHash = nodetest.KeyHash("key")
	return request
}

// A burst arrives at one moment, before the owners know each other's share of
// it. No engine may then process a queue one by one while others are idle: the
// last caller must not wait much longer than the work takes when it is spread.
func TestBurstDoesNotQueueBehindOneEngine(t *testing.T) {
	f := nodetest.New(seed, 3)
	for i := range 6 {
		f.AddEngine(protocol.UpstreamID(fmt.Sprintf("e%d", i)), protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), 1000, 16)
	}
	f.Run(2 * time.Second)
	began := f.Now
	for i := range 24 {
		f.Submit(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), protocol.RequestID(fmt.Sprint(i)), "key", fmt.Sprint("p", i), 100)
	}
	f.Run(30 * time.Second)
	for _, answer := range f.Answers {
		assert.Equal(t, answer.Status, 200)
		// One answer takes 2 s.
		assert.Assert(t, answer.At-began < 5*time.Second, "%v", answer.At-began)
	}
}

// More requests arrive than the engines can serve in time. Every caller must get
// a complete answer, or a refusal with the outcome NotRun and a Retry-After. No
// engine may get more requests at once than its limit.
func TestOverloadIsServedOrRefusedWithRetryAfter(t *testing.T) {
	f := newFleet(3)
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		assert.Assert(t, f.Engines[call.Place.Upstream].Running() <= 8)
	}
	for i := range 2000 {
		f.Submit(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), protocol.RequestID(fmt.Sprint(i)), "key", fmt.Sprint("p", i), 100)
		f.Run(time.Millisecond)
	}
	f.Run(90 * time.Second)
	served, refused := 0, 0
	for id, answer := range f.Answers {
		assert.Assert(t, answer.Ended, "request %s has no answer", id)
		if answer.Status == 200 {
			served++
			continue
		}
		refused++
		assert.Equal(t, answer.Outcome, protocol.NotRun, "%+v", answer)
		assert.Assert(t, answer.RetryAfter > 0)
	}
	t.Logf("served %d, refused %d", served, refused)
	assert.Assert(t, served > 300)
	assert.Assert(t, refused > 0)
}

// An order is sent to the order desk, and the router that sent it dies before the
// desk's answer is recorded. The caller sends the order again through another
// router. The desk must not run it twice, and both callers must learn that the
// outcome is unknown.
func TestOrderWhoseOwnerDiesRunsAtMostOnce(t *testing.T) {
	f := newFleet(3)
	f.AddRoute(node.Route{Prefix: "/svc/orders", Service: "orders", Deadline: 10 * time.Second})
	desk := f.AddServer("desk", "orders", "r1", 8)
	desk.TokenTime = 300 * time.Millisecond
	f.Run(time.Second)
	first := f.Order("r2", "o1", "k", "900 gal")
	f.Run(200 * time.Millisecond)
	assert.Equal(t, desk.Runs["900 gal"], 1)
	f.Kill("r1")
	f.Run(time.Second)
	f.SetOwner("desk", "r3")
	second := f.Order("r3", "o2", "k", "900 gal")
	f.Run(30 * time.Second)
	assert.Equal(t, desk.Runs["900 gal"], 1)
	for _, answer := range []*nodetest.Answer{first, second} {
		assert.Assert(t, answer.Ended)
		assert.Equal(t, answer.Outcome, protocol.UnknownRun, "%+v", answer)
	}
}

// A caller sends the same order again through other routers. It must get the
// recorded answer, and the order desk must run the order once. The same key with
// another body must be refused.
func TestRepeatedOrderGetsTheRecordedAnswer(t *testing.T) {
	f := newFleet(3)
	f.AddRoute(node.Route{Prefix: "/svc/orders", Service: "orders", Deadline: 10 * time.Second})
	desk := f.AddServer("desk", "orders", "r1", 8)
	f.Run(time.Second)
	for i, router := range []protocol.RouterID{"r2", "r3", "r1"} {
		answer := f.Order(router, protocol.RequestID(fmt.Sprint(i)), "k", "900 gal")
		f.Run(time.Second)
		assert.Equal(t, answer.Status, 200)
		assert.Equal(t, answer.Text(), "ran 900 gal")
	}
	assert.Equal(t, desk.Runs["900 gal"], 1)
	other := f.Order("r1", "other", "k", "901 gal")
	f.Run(time.Second)
	assert.Equal(t, other.Status, 422)
	assert.Assert(t, strings.Contains(other.Reason, "idempotency"))
}

// A customer's limit is 10 requests a second. Its callers send 60 a second, a
// third through each router, so that each router sees only a part. Over the whole
// fleet no more may run than the limit and its burst allow. The rest must be
// refused at once with a Retry-After, and another customer must not be affected.
func TestCustomersLimitHoldsOverTheFleet(t *testing.T) {
	f := newFleet(3)
	f.SetCustomer("limited", node.Customer{ID: "b", Class: 1, Weight: 100, RequestsPerSecond: 10})
	f.Run(time.Second)
	const seconds = 20
	for i := range 60 * seconds {
		f.Submit(protocol.RouterID(fmt.Sprintf("r%d", i%3+1)), protocol.RequestID(fmt.Sprintf("b-%d", i)), "limited", fmt.Sprint("p", i), 2)
		if i%60 == 0 {
			f.Submit("r1", protocol.RequestID(fmt.Sprintf("a-%d", i)), "key", fmt.Sprint("q", i), 2)
		}
		f.Run(time.Second / 60)
	}
	f.Run(5 * time.Second)
	served := 0
	for id, answer := range f.Answers {
		if strings.HasPrefix(string(id), "a-") || answer.Status == 200 {
			assert.Equal(t, answer.Status, 200)
			served++
			continue
		}
		assert.Equal(t, answer.Status, 429)
		assert.Equal(t, answer.Outcome, protocol.NotRun)
		assert.Assert(t, answer.RetryAfter > 0)
	}
	served -= seconds
	t.Logf("served %d in %d s", served, seconds)
	assert.Assert(t, served >= 8*seconds && served <= 12*seconds, "%d", served)
}

// An attacker could search for a key whose digest has the same first eight bytes
// as that of another key. Such a key must not find the other key's customer.
func TestKeysWithTheSameFirstBytesAreDistinguished(t *testing.T) {
	var keys node.Keys
	first, second, third := [32]byte{0: 1, 31: 1}, [32]byte{0: 1, 31: 2}, [32]byte{0: 1, 31: 3}
	keys.Add(first, &node.Customer{ID: "a"})
	keys.Add(second, &node.Customer{ID: "b"})
	assert.Equal(t, keys.Find(first).ID, protocol.CustomerID("a"))
	assert.Equal(t, keys.Find(second).ID, protocol.CustomerID("b"))
	assert.Assert(t, keys.Find(third) == nil)
}
