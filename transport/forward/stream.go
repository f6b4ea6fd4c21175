package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"endiveplank/coordination/balance"
	"endiveplank/transport/exchange"
)

// maxEventBytes is the largest event taken from an upstream.
const maxEventBytes = 1 << 20

// eventBuffer is how much of a stream is read at once: some dozens of events.
const eventBuffer = 4 << 10

// errHalfEvent means that a stream ended in the middle of an event.
var errHalfEvent = errors.New("forward: the stream ended within an event")

// errLongEvent means that an event is longer than maxEventBytes.
var errLongEvent = errors.New("forward: an event is too long")

// errDisorder means that a stream's event ids don't grow.
var errDisorder = errors.New("forward: an event's id is not above the one before")

// streamState is what the caller has of a stream, over all attempts.
type streamState struct {
	// started says that the head was sent.
	started bool
	// lastID is the id of the last event sent, "" if none had one.
	lastID string
}

// event is one server-sent event with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// isEventStream reports whether an answer is a series of events.
func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// passStream passes a stream on, event by event.
//
// The head goes to the caller with the first event. Until then nothing is lost
// if the upstream fails, and another one may be asked where the route allows.
func (f *flight) passStream(answer *exchange.Answer, choice balance.Choice, outcome *AttemptOutcome) verdict {
	reader := bufio.NewReaderSize(readerOf(answer), eventBuffer)
	for {
		next, err := readEvent(reader)
		switch {
		case err == nil:
			f.progress()
			if err := f.checkOrder(next); err != nil {
				return f.streamBroke(err, choice, outcome)
			}
			f.passEvent(answer, next)
			if reader.Buffered() == 0 {
				f.flush()
			}
		case errors.Is(err, io.EOF):
			f.startStream(answer)
			f.flush()
			outcome.Result = balance.Served
			return answered
		default:
			return f.streamBroke(err, choice, outcome)
		}
	}
}

// streamBroke decides about a stream that ended early.
func (f *flight) streamBroke(err error, choice balance.Choice, outcome *AttemptOutcome) verdict {
	next := f.brokenOff(err, choice, outcome)
	if f.stream.started && !f.job.Route.MayRepeat() && f.context.Err() == nil {
		f.abort("stream-broke-off")
	}
	return next
}

// checkOrder refuses an event that doesn't follow the one before: the bytes are
// damaged, or the upstream didn't resume where it was asked to.
func (f *flight) checkOrder(e event) error {
	if f.stream.lastID == "" || e.id == "" {
		return nil
	}
	last, lastErr := strconv.ParseUint(f.stream.lastID, 10, 64)
	id, idErr := strconv.ParseUint(e.id, 10, 64)
	if lastErr == nil && idErr == nil && id <= last {
		return errDisorder
	}
	return nil
}

// startStream sends the head, once.
func (f *flight) startStream(answer *exchange.Answer) {
	if f.stream.started {
		return
	}
	f.copyHeader(answer)
	f.begin(answer.Status)
	f.stream.started = true
}

// passEvent sends one event.
func (f *flight) passEvent(answer *exchange.Answer, e event) {
	f.startStream(answer)
	f.write(e.raw)
	f.outcome.Events++
	if e.id != "" {
		f.stream.lastID = e.id
	}
}

// flush sends what is buffered. A caller that can't be written to has gone.
func (f *flight) flush() {
	if err := f.control.Flush(); err != nil {
		f.outcome.CallerGone = true
		f.abort("caller-gone")
	}
}

// readEvent reads up to and with the next blank line. io.EOF means that the
// stream ended between two events.
func readEvent(reader *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errLongEvent
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			return e, errHalfEvent
		case err != nil:
			return e, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if id, found := bytes.CutPrefix(trimmed, []byte("id:")); found {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(trimmed) == 0 {
			return e, nil
		}
	}
}
