package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/explain"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/settings"
)

// writtenSpan holds the fields of an exported span that the test reads.
type writtenSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// spansIn reads the spans that a daemon exported to a file.
func spansIn(t *testing.T, path string) []writtenSpan {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	var spans []writtenSpan
	for decoder := json.NewDecoder(file); ; {
		var span writtenSpan
		err := decoder.Decode(&span)
		if errors.Is(err, io.EOF) {
			return spans
		}
		assert.NilError(t, err)
		spans = append(spans, span)
	}
}

// A caller sends requests with a trace context. Each router on a request's path must export its
// span, as a child of the previous hop's, and the recorded events must name the trace.
func TestTraceOfARequestHasASpanForEachHop(t *testing.T) {
	const trace, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	folder := t.TempDir()
	path := func(id protocol.RouterID) string { return filepath.Join(folder, string(id)+".json") }
	f := newTestFleetWith(t, 0, func(s *settings.Settings) {
		s.Traces = settings.Traces{Exporter: "file", File: path(s.RouterID), SampleRatio: 1}
	})
	f.setUp()
	f.engine("e1", nil)
	for i := range f.daemons {
		status, headers, _ := f.call(i, upstreamapi.CompletionsPath, chatBody, "Traceparent", "00-"+trace+"-"+parent+"-01")
		assert.Equal(t, status, 200)
		id := protocol.RequestID(headers.Get(protocol.RequestIDHeader))
		answer := f.daemons[0].Events(context.Background(), explain.Query{Request: id, Limit: 10})
		assert.Assert(t, len(answer.Events) > 0)
		assert.Equal(t, answer.Events[0].Trace, trace)
	}
	f.stop()
	f.daemons = nil
	count := map[string]int{}
	known := map[string]string{}
	var all []writtenSpan
	for _, s := range f.configs {
		all = append(all, spansIn(t, path(s.RouterID))...)
	}
	for _, span := range all {
		assert.Equal(t, span.SpanContext.TraceID, trace)
		known[span.SpanContext.SpanID] = span.Name
		count[span.Name]++
	}
	for _, span := range all {
		parents := map[string][]string{"entry": {""}, "owner": {"entry"}, "upstream": {"owner", "entry"}}[span.Name]
		assert.Assert(t, known[span.Parent.SpanID] == parents[0] || known[span.Parent.SpanID] == parents[len(parents)-1], "%+v", span)
	}
	assert.Equal(t, count["entry"], 3)
	assert.Equal(t, count["upstream"], 3)
	assert.Assert(t, count["owner"] >= 2, "two of the three entries aren't the owner: %v", count)
}
