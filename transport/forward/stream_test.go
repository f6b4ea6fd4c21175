package forward

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
)

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
