// Package loglines writes log lines to a pipe without ever making the process
// wait, and within a budget.
//
// Failures guarded:
//
//   - Whoever reads the pipe has stopped. Lines are handed to one goroutine over
//     a bounded queue; when it is full they are dropped and counted.
//   - An outage makes every request a line, and writing them costs the processor
//     time that the requests need. Each second has a budget of lines; what is
//     over it is dropped and counted. Lines of the kind that every request
//     writes, see Ordinary, may use half of the budget, so that those that tell
//     of a failure or of a changed belief still have room.
//
// What was dropped is said in a line of its own, one a second at most.
package loglines

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines bounds the lines that wait for the pipe.
	queueLines = 256
	// maxBatch bounds one write, in bytes, to what a pipe takes at once.
	maxBatch = 32 << 10
)

// Writer is where a logger writes. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	node      string
	perSecond int
	now       func() time.Time
	queue     chan []byte
	done      chan struct{}

	mu     sync.Mutex
	second int64
	// noted is the second in which it was last said what was dropped.
	noted   int64
	written int
	dropped uint64
	closed  bool
}

// New starts a writer for a process's lines with a budget of lines a second.
func New(out io.Writer, node string, perSecond int) *Writer {
	w := &Writer{out: out, node: node, perSecond: perSecond, now: time.Now, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	return w.write(line, w.perSecond)
}

// Ordinary returns a writer for lines of which there is one for each request.
// Those below the level of a warning may use half of the budget.
func (w *Writer) Ordinary() zerolog.LevelWriter { return ordinary{w} }

// ordinary implements zerolog.LevelWriter.
type ordinary struct{ w *Writer }

// Write implements io.Writer.
func (o ordinary) Write(line []byte) (int, error) { return o.w.Write(line) }

// WriteLevel implements zerolog.LevelWriter.
func (o ordinary) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel {
		return o.w.write(line, (o.w.perSecond+1)/2)
	}
	return o.w.Write(line)
}

// write queues a line if fewer than budget were written in this second.
func (w *Writer) write(line []byte, budget int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.withinBudget(budget) {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 && w.noted != w.second {
		if w.offer(w.note()) {
			w.noted = w.second
			w.dropped = 0
		}
	}
	if !w.offer(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

// note returns the line that says how many lines are missing.
func (w *Writer) note() []byte {
	var line bytes.Buffer
	log := zerolog.New(&line)
	log.Warn().Str("node", w.node).Str("event", "log-lines-dropped").Uint64("count", w.dropped).
		Time(zerolog.TimestampFieldName, w.now()).Send()
	return line.Bytes()
}

// withinBudget counts a line against the budget of the second.
func (w *Writer) withinBudget(budget int) bool {
	if second := w.now().Unix(); second != w.second {
		w.second = second
		w.written = 0
	}
	if w.written >= budget {
		return false
	}
	w.written++
	return true
}

// offer queues a line if there is room.
func (w *Writer) offer(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// run writes what waits, several lines at a time.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		batch := line
	gather:
		for len(batch) < maxBatch {
			select {
			case next, open := <-w.queue:
				if !open {
					break gather
				}
				batch = append(batch, next...)
			default:
				break gather
			}
		}
		// There is nowhere to tell of a log that can't be written.
		_, _ = w.out.Write(batch)
	}
}

// Close writes what waits, for as long as patience allows.
func (w *Writer) Close(patience time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}
