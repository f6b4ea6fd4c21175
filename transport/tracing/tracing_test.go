package tracing

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync/atomic"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"endiveplank/protocol/fleet"
	"endiveplank/settings"
)

const (
	callersTrace = "0af7651916cd43dd8448eb211c80319c"
	callersSpan  = "b7ad6b7169203331"
)

func callersHeaders(flags string) []fleet.Header {
	return []fleet.Header{
		{Name: "Accept", Value: "a"},
		{Name: "Traceparent", Value: "00-" + callersTrace + "-" + callersSpan + "-" + flags},
		{Name: "Tracestate", Value: "vendor=1"},
	}
}

// newRecordingTracer returns a tracer that keeps its spans in memory.
func newRecordingTracer(ratio float64) (*Tracer, *tracetest.SpanRecorder) {
	recorder := tracetest.NewSpanRecorder()
	t := &Tracer{}
	t.setUpProvider(sdktrace.WithSpanProcessor(recorder), ratio, "r1", "dc1")
	return t, recorder
}

func TestEachHopIsAChildOfTheOneBefore(t *testing.T) {
	tracer, recorder := newRecordingTracer(1)
	place := fleet.Place{Attempt: fleet.Attempt{Request: "r1-1", Number: 1}, Upstream: "e1"}
	entry, headers := tracer.StartEntry("r1-1", callersHeaders("00"))
	place.Headers = headers
	owner, headers := tracer.StartOwner(place)
	place.Headers = headers
	upstream, headers := tracer.StartUpstream(place)
	upstream.End(Result{Status: 500, Reason: "upstream_failed", Failed: true})
	owner.End(Result{})
	entry.End(Result{Status: 200})

	assert.Equal(t, TraceID(headers), callersTrace)
	assert.Equal(t, len(headers), 3)
	spans := recorder.Ended()
	assert.Equal(t, len(spans), 3)
	parents := []string{spans[1].SpanContext().SpanID().String(), spans[2].SpanContext().SpanID().String(), callersSpan}
	for i, span := range spans {
		assert.Equal(t, span.SpanContext().TraceID().String(), callersTrace)
		assert.Equal(t, span.Parent().SpanID().String(), parents[i])
		assert.Equal(t, span.SpanContext().TraceState().String(), "vendor=1")
	}
	found := map[string]string{}
	for _, attribute := range spans[0].Attributes() {
		found[string(attribute.Key)] = attribute.Value.String()
	}
	assert.DeepEqual(t, found, map[string]string{
		"endiveplank.request": "r1-1", "endiveplank.attempt": "1", "endiveplank.upstream": "e1", "endiveplank.class": "0",
		"endiveplank.reason": "upstream_failed", "http.response.status_code": "500",
	})
}

// A caller sets the sampled flag on every request. The operators have set the sample
// ratio to 0 but left the exporter on; the fleet must not trace these requests.
func TestEntryDecidesWhatIsTraced(t *testing.T) {
	tracer, recorder := newRecordingTracer(0)
	span, headers := tracer.StartEntry("r1-1", callersHeaders("01"))
	owner, _ := tracer.StartOwner(fleet.Place{Headers: headers})
	owner.End(Result{})
	span.End(Result{})
	assert.Equal(t, len(recorder.Ended()), 0)
	assert.Equal(t, TraceID(headers), callersTrace)
}

func TestInvalidContextStartsANewTrace(t *testing.T) {
	tracer, recorder := newRecordingTracer(1)
	for _, value := range []string{"", "00-zz", "00-00000000000000000000000000000000-0000000000000000-01"} {
		span, headers := tracer.StartEntry("r1-1", []fleet.Header{{Name: "Traceparent", Value: value}})
		span.End(Result{})
		assert.Equal(t, len(TraceID(headers)), 32)
	}
	assert.Equal(t, len(recorder.Ended()), 3)
}

func TestDisabledTracerAllocatesNothing(t *testing.T) {
	tracer, err := New(settings.Traces{Exporter: "none"}, "r1", "dc1")
	assert.NilError(t, err)
	headers := callersHeaders("01")
	place := fleet.Place{Headers: headers}
	allocations := testing.AllocsPerRun(100, func() {
		entry, _ := tracer.StartEntry("r1-1", headers)
		owner, _ := tracer.StartOwner(place)
		upstream, kept := tracer.StartUpstream(place)
		upstream.End(Result{Status: 200})
		owner.End(Result{Reason: "x"})
		entry.End(Result{})
		if TraceID(kept) != callersTrace {
			t.Fatal("the caller's trace context was not passed on")
		}
	})
	assert.Equal(t, allocations, 0.0)
	assert.NilError(t, tracer.Close(context.Background()))
}

func TestExportersTakeSpans(t *testing.T) {
	var posts atomic.Int32
	collector := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { posts.Add(1) }))
	defer collector.Close()
	for _, s := range []settings.Traces{
		{Exporter: "file", File: filepath.Join(t.TempDir(), "spans.json"), SampleRatio: 1},
		{Exporter: "otlp", Endpoint: collector.URL + "/v1/traces", SampleRatio: 1},
	} {
		tracer, err := New(s, "r1", "dc1")
		assert.NilError(t, err)
		span, _ := tracer.StartEntry("r1-1", nil)
		span.End(Result{})
		assert.NilError(t, tracer.Close(context.Background()))
	}
	assert.Equal(t, posts.Load(), int32(1))
	_, err := New(settings.Traces{Exporter: "file", File: t.TempDir()}, "r1", "dc1")
	assert.Assert(t, err != nil)
}

func TestEachAttemptIsAChildOfItsRequest(t *testing.T) {
	// A caller traces its calls. The router's request span must be a child of the
	// caller's span, and the context sent to an upstream must name the span of that
	// attempt.
	tracer, recorder := newRecordingTracer(1)
	header := http.Header{}
	header.Set("Traceparent", "00-"+callersTrace+"-"+callersSpan+"-01")
	request := tracer.StartRequest("r-1", header)
	first, second := header.Clone(), header.Clone()
	lost := tracer.StartAttempt(request, 1, "u1", first)
	lost.End(Result{Reason: "reset", Failed: true})
	served := tracer.StartAttempt(request, 2, "u2", second)
	served.End(Result{Status: 200})
	request.End(Result{Status: 200})

	spans := recorder.Ended()
	assert.Equal(t, len(spans), 3)
	parent := spans[2].SpanContext().SpanID()
	assert.Equal(t, spans[2].Parent().SpanID().String(), callersSpan)
	for i, sent := range []http.Header{first, second} {
		assert.Equal(t, spans[i].Parent().SpanID(), parent)
		assert.Equal(t, sent.Get("Traceparent"), "00-"+callersTrace+"-"+spans[i].SpanContext().SpanID().String()+"-01")
	}
}

func TestDisabledTracerPassesTheCallersContextOn(t *testing.T) {
	var off *Tracer
	header := http.Header{}
	header.Set("Traceparent", "00-"+callersTrace+"-"+callersSpan+"-01")
	span := off.StartRequest("r-1", header)
	off.StartAttempt(span, 1, "u1", header).End(Result{})
	span.End(Result{})
	assert.Equal(t, header.Get("Traceparent"), "00-"+callersTrace+"-"+callersSpan+"-01")
}
