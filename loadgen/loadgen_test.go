package loadgen_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/loadgen"
	"endiveplank/protocol"
	"endiveplank/standin/desk"
	"endiveplank/standin/engine"
)

// fakeFleet forwards requests to one engine and one order desk, and injects its
// fault into one request in every faultEvery.
type fakeFleet struct {
	engine, desk string
	fault        string
	requests     atomic.Int64
}

// faultEvery is how often the fleet injects its fault: into one request in this
// many.
const faultEvery = 5

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	inject := f.requests.Add(1)%faultEvery == 0
	target := "http://" + f.engine + r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/svc/orders") {
		target = "http://" + f.desk + strings.TrimPrefix(r.URL.Path, "/svc/orders")
	}
	order := strings.Contains(target, f.desk)
	switch {
	case inject && f.fault == "lose" && order:
		answer := desk.AnswerFor(r.Header.Get(protocol.IdempotencyKeyHeader), body)
		_, _ = w.Write([]byte(`{"key":"` + answer.Key + `","digest":"` + answer.Digest + `","status":"accepted"}`))
		return
	case inject && f.fault == "double" && order:
		_, _ = forward(r, target, body)
	case inject && f.fault == "deny" && order:
		_, _ = forward(r, target, body)
		w.Header().Set(protocol.RunOutcomeHeader, string(protocol.NotRun))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case inject && f.fault == "mix" && !order:
		body = bytes.Replace(body, []byte("turn"), []byte("burn"), 1)
	}
	status, answer := forward(r, target, body)
	if inject && f.fault == "cut" && !order {
		answer = answer[:len(answer)/2]
	}
	w.Header().Set(protocol.RequestIDHeader, "q1")
	w.Header().Set(protocol.RunOutcomeHeader, string(protocol.Ran))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func forward(r *http.Request, target string, body []byte) (int, []byte) {
	request, _ := http.NewRequest(r.Method, target, bytes.NewReader(body))
	request.Header = r.Header.Clone()
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer reply.Body.Close()
	answer, _ := io.ReadAll(reply.Body)
	return reply.StatusCode, answer
}

// A load run must report each kind of fault that a fleet may not have, and must
// pass a fleet without fault. The faults are: an answer to another prompt, a
// truncated answer, an order that is acknowledged but not run, an order that is
// run twice, and an order that is reported as not run after it ran.
func TestVerdictFindsEachFault(t *testing.T) {
	cases := map[string]string{
		"":       "",
		"mix":    "fleet: a caller got an answer that is not its own",
		"cut":    "fleet: an answer was cut",
		"lose":   "an accepted order did not run",
		"double": "an order ran twice",
		"deny":   "an order told as not run did run",
	}
	for fault, want := range cases {
		t.Run("fault "+fault, func(t *testing.T) {
			result := runAgainst(t, fault)
			assert.Equal(t, strings.Join(result.Broken, "; "), want)
			fleet := result.Phases[1]
			c := fleet.Counts
			assert.Equal(t, c.Sent, c.Whole+c.Wrong+c.Cut+c.Refused+c.Failed)
			assert.Equal(t, len(fleet.Slowest), 10)
			assert.Assert(t, fleet.Slowest[0].FirstTokenMs >= fleet.Slowest[9].FirstTokenMs)
			if fault == "mix" || fault == "cut" {
				assert.Equal(t, len(fleet.NotWhole), min(c.Wrong+c.Cut, 10))
			}
			if fault != "" {
				return
			}
			assert.Equal(t, c.Whole, c.Sent)
			assert.Equal(t, result.Audit.Accepted, result.Audit.Keys)
			assert.Equal(t, fleet.ByOutcome["ran"], c.Sent)
			assert.Assert(t, fleet.ReusePct > 0 && c.Orders > 0 && c.Returning > 0)
			assert.Equal(t, int(fleet.Latency.FirstToken.Count), c.Sent-c.Orders)
			assert.Equal(t, int(fleet.Latency.BetweenTokens.Count), c.Tokens-c.Sent+c.Orders)
			samples := fleet.Engines[0].Samples
			assert.Equal(t, int(samples[len(samples)-1].GeneratedTokens), c.Tokens)
		})
	}
}

func runAgainst(t *testing.T, fault string) *loadgen.Result {
	t.Helper()
	settings := engine.DefaultSettings("e1", "m1")
	settings.Model.IterationBase = 50 * time.Microsecond
	settings.Model.PrefillPerToken = time.Microsecond
	settings.Model.DecodePerSequence = time.Microsecond
	model, err := engine.Start(settings)
	assert.NilError(t, err)
	defer model.Close()
	orders, err := desk.Start(desk.Settings{ID: "desk1", Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer orders.Close()
	fleet := httptest.NewServer(&fakeFleet{engine: model.Address(), desk: orders.Address(), fault: fault})
	defer fleet.Close()

	options := loadgen.DefaultOptions()
	options.Targets = []string{strings.TrimPrefix(fleet.URL, "http://")}
	options.Direct = []string{model.Address()}
	options.Desks = []string{orders.Address()}
	options.Requests = 60
	options.Trace.Rate = 400
	options.Trace.PauseMin, options.Trace.PauseMax = time.Millisecond, 50*time.Millisecond
	options.Trace.OrderShare = 0.4
	options.Trace.ResendShare = 0
	options.AuditDelay = 0
	result, err := loadgen.Run(t.Context(), options, io.Discard)
	assert.NilError(t, err)
	return result
}
