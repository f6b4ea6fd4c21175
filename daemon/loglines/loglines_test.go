package loglines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// sink is the reader of a log. If stopped isn't nil, it reads nothing until stopped is closed.
type sink struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stopped chan struct{}
}

func (s *sink) Write(data []byte) (int, error) {
	if s.stopped != nil {
		<-s.stopped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

// setClock gives a writer a clock that the test sets.
func setClock(w *Writer, second *int64) {
	w.now = func() time.Time { return time.Unix(*second, 0) }
}

func TestStoppedReaderCostsLinesButNeverBlocks(t *testing.T) {
	// Guards against a router that stops answering its callers because the reader of its log has
	// stopped and the pipe is full.
	s := &sink{stopped: make(chan struct{})}
	w := New(s, "r1", 1_000_000)
	done := make(chan struct{})
	go func() {
		for i := range 10 * queueLines {
			_, _ = w.Write(fmt.Appendf(nil, "line %d\n", i))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writing a line has blocked on the reader")
	}
	close(s.stopped)
	time.Sleep(10 * time.Millisecond)
	_, _ = w.Write([]byte("last\n"))
	w.Close(30 * time.Second)
	assert.Assert(t, strings.Contains(s.text.String(), "log-lines-dropped"), "dropped lines are reported")
}

func TestFailuresAreLoggedWhenRequestsExceedTheBudget(t *testing.T) {
	// Guards against lost lines of failures in a busy second: every request writes a line, and
	// the lines of the few that failed must be among those that are kept.
	s := &sink{}
	w := New(s, "r1", 100)
	second := int64(5)
	setClock(w, &second)
	requests := w.PerRequest()
	for i := range 1000 {
		_, _ = requests.WriteLevel(zerolog.InfoLevel, []byte("served\n"))
		if i%20 == 0 {
			_, _ = requests.WriteLevel(zerolog.WarnLevel, []byte("failed\n"))
		}
	}
	second++
	_, _ = requests.WriteLevel(zerolog.InfoLevel, []byte("served\n"))
	w.Close(30 * time.Second)
	count := map[string]int{}
	dropped := 0
	for _, line := range s.lines() {
		var report struct {
			Count      int
			Node, Time string
		}
		if json.Unmarshal([]byte(line), &report) == nil {
			assert.Equal(t, report.Node, "r1", "a reader of several logs must know whose lines are missing")
			assert.Assert(t, report.Time != "")
			dropped += report.Count
			line = "dropped"
		}
		count[line]++
	}
	assert.Equal(t, count["failed"], 50)
	assert.Assert(t, count["served"] <= 51, "%d", count["served"])
	assert.Assert(t, count["dropped"] <= 2, "dropped lines are reported at most once a second")
	assert.Equal(t, count["failed"]+count["served"]+dropped, 1051)
}
