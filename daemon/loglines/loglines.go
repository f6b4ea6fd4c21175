// Package loglines writes log lines to a pipe. It never blocks the process and limits the
// number of lines per second.
//
// The package guards against these failures:
//   - The reader of the pipe has stopped. A Writer passes lines to one goroutine over a
//     bounded queue; when the queue is full, lines are dropped and counted.
//   - An outage makes every request write a line, and writing them takes processor time that
//     the requests need. Each second has a budget of lines; lines beyond it are dropped and
//     counted. Lines that every request writes (see Writer.PerRequest) may use half of the
//     budget, so that lines about failures and changes of state still get through.
//
// A line of its own reports how many lines were dropped, at most once a second.
package loglines

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines bounds the lines that wait to be written to the pipe.
	queueLines = 256
	// maxBatch bounds the bytes of one write to what a pipe takes at once.
	maxBatch = 32 << 10
)

// Writer is the output of a logger. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	process   string
	perSecond int
	now       func() time.Time
	queue     chan []byte
	done      chan struct{}

	mu sync.Mutex
	// second is the Unix time of the second whose budget is used, and written the number
	// of lines counted against it.
	second int64
	// reportedSecond is the second in which dropped lines were last reported.
	reportedSecond int64
	written        int
	dropped        uint64
	closed         bool
}

// New starts a Writer for the lines of a process, which the report of dropped lines names,
// with a budget of lines per second.
func New(out io.Writer, process string, perSecond int) *Writer {
	w := &Writer{out: out, process: process, perSecond: perSecond, now: time.Now, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	return w.write(line, w.perSecond)
}

// PerRequest returns a writer for lines that every request writes. Those below the level of a
// warning may use half of the budget.
func (w *Writer) PerRequest() zerolog.LevelWriter { return perRequest{w} }

// perRequest implements zerolog.LevelWriter.
type perRequest struct{ w *Writer }

// Write implements io.Writer.
func (p perRequest) Write(line []byte) (int, error) { return p.w.Write(line) }

// WriteLevel implements zerolog.LevelWriter.
func (p perRequest) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel {
		return p.w.write(line, (p.w.perSecond+1)/2)
	}
	return p.w.Write(line)
}

// write queues a line if fewer lines than budget were written in this second.
func (w *Writer) write(line []byte, budget int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.withinBudget(budget) {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 && w.reportedSecond != w.second {
		if w.enqueue(w.droppedLine()) {
			w.reportedSecond = w.second
			w.dropped = 0
		}
	}
	if !w.enqueue(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

// droppedLine returns the line that reports how many lines were dropped.
func (w *Writer) droppedLine() []byte {
	var line bytes.Buffer
	log := zerolog.New(&line)
	log.Warn().Str("node", w.process).Str("event", "log-lines-dropped").Uint64("count", w.dropped).
		Time(zerolog.TimestampFieldName, w.now()).Send()
	return line.Bytes()
}

// withinBudget counts a line against the budget of the present second and reports whether the
// budget allows it.
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

// enqueue queues a line if the queue isn't full.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// run writes queued lines, several in one write.
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
		// There is nowhere to report that the log can't be written.
		_, _ = w.out.Write(batch)
	}
}

// Close writes the lines that are still queued, and gives up after timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
