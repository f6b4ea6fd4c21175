package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/balance"
	"endiveplank/transport/bounded"
	"endiveplank/transport/exchange"
	"endiveplank/transport/limited"
)

const (
	// streamBufferBytes is how much of a stream is read at once: a few dozen events.
	streamBufferBytes = 4 << 10
	// smallEventBytes is the size up to which an event is held without a part of the memory for answers.
	smallEventBytes = 4 << 10
)

// errPartialEvent means that a stream ended in the middle of an event.
var errPartialEvent = errors.New("forward: the stream ended in the middle of an event")

// errNoEvent means that a stream with neither a length nor chunks ended without an event, which is
// how a crash of the upstream looks.
var errNoEvent = errors.New("forward: the stream ended without an event")

// errEventTooLong means that an event is longer than bounded.MaxEventBytes.
var errEventTooLong = eris.Wrapf(bounded.ErrTooLong, "forward: an event of the stream has more than %d bytes", bounded.MaxEventBytes)

// errNoEventRoom means that there is no memory for the rest of an event.
var errNoEventRoom = eris.Wrap(limited.ErrNoRoom, "forward: an event of the stream finds no memory")

// errEventOrder means that the ids of a stream's events don't increase.
var errEventOrder = errors.New("forward: an event's id isn't greater than that of the event before it")

// streamState is what the caller has received of a stream, over all attempts.
type streamState struct {
	// started means that the head was sent.
	started bool
	// lastID is the id of the last event sent, "" if none had one.
	lastID string
}

// event is one server-sent event, including the blank line that ends it.
type event struct {
	raw []byte
	id  string
	// held is how many bytes of the memory for answers it holds.
	held int
}

// relayStream relays a stream event by event.
//
// The head goes to the caller together with the first event. If the upstream fails
// before that, the caller has received nothing, and another upstream may be tried if
// the route allows it. It returns whether the caller has its answer.
func (f *forwarding) relayStream(answer *exchange.Answer, choice balance.Choice, outcome *AttemptOutcome) bool {
	reader := bufio.NewReaderSize(readerOf(answer), streamBufferBytes)
	defer limited.ReleaseAnswer(f.request.Context())
	for {
		next, err := f.readEvent(reader)
		switch {
		case err == nil:
			f.progress()
			if err := f.checkOrder(next); err != nil {
				f.streamBroken(err, choice, outcome)
				return false
			}
			f.noteBegan(choice)
			f.relayEvent(answer, next)
			next.release(f.request.Context())
			if reader.Buffered() == 0 {
				f.flush()
			}
		case errors.Is(err, io.EOF) && answer.Unframed && f.answeringSince.IsZero():
			f.streamBroken(errNoEvent, choice, outcome)
			return false
		case errors.Is(err, io.EOF):
			f.startStream(answer)
			f.flush()
			outcome.Result = balance.Served
			f.noteCompleted(answer)
			return true
		default:
			f.streamBroken(err, choice, outcome)
			return false
		}
	}
}

// streamBroken records a stream that broke off. If the caller has part of it and the
// route allows no other attempt, it ends the caller's connection.
func (f *forwarding) streamBroken(err error, choice balance.Choice, outcome *AttemptOutcome) {
	f.answerBroken(err, choice, outcome)
	if f.stream.started && !f.job.Route.MayRepeat() && f.context.Err() == nil {
		f.abort("stream-broke-off")
	}
}

// checkOrder returns an error if an event's id isn't greater than that of the event
// before: the bytes are damaged, or the upstream didn't resume where it was told to.
func (f *forwarding) checkOrder(e event) error {
	if f.stream.lastID == "" || e.id == "" {
		return nil
	}
	last, lastErr := strconv.ParseUint(f.stream.lastID, 10, 64)
	id, idErr := strconv.ParseUint(e.id, 10, 64)
	if lastErr == nil && idErr == nil && id <= last {
		return fmt.Errorf("%w: %d after %d", errEventOrder, id, last)
	}
	return nil
}

// startStream sends the head unless it was sent before.
func (f *forwarding) startStream(answer *exchange.Answer) {
	if f.stream.started {
		return
	}
	f.copyHeader(answer)
	f.writeHead(answer.Status)
	f.stream.started = true
}

// relayEvent sends one event.
func (f *forwarding) relayEvent(answer *exchange.Answer, e event) {
	f.startStream(answer)
	if f.answeringSince.IsZero() {
		f.answeringSince = time.Now()
	}
	f.write(e.raw)
	f.outcome.Events++
	if e.id != "" {
		f.stream.lastID = e.id
	}
}

// flush sends the buffered bytes. A failure means that the caller has disconnected.
func (f *forwarding) flush() {
	if err := f.controller.Flush(); err != nil {
		f.outcome.CallerGone = true
		f.abort("caller-gone")
	}
}

// readEvent reads up to and including the next blank line. io.EOF means that the
// stream ended between two events.
func (f *forwarding) readEvent(reader *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := reader.ReadSlice('\n')
		if appendErr := e.append(f.request.Context(), line); appendErr != nil {
			return e, appendErr
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			return e, errPartialEvent
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

// append adds a part of the event. Large events share the memory for answers: many of them that never end
// would take all of it. Errors: errEventTooLong, errNoEventRoom.
func (e *event) append(ctx context.Context, part []byte) error {
	e.raw = append(e.raw, part...)
	if len(e.raw) > bounded.MaxEventBytes {
		return errEventTooLong
	}
	if size := cap(e.raw); size > max(smallEventBytes, e.held) {
		if !limited.HoldAnswer(ctx, size-e.held) {
			return errNoEventRoom
		}
		e.held = size
	}
	return nil
}

// release gives back the memory that the event holds.
func (e *event) release(ctx context.Context) {
	if e.held > 0 {
		limited.ReleaseAnswer(ctx)
	}
}
