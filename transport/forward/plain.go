package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/balance"
	"endiveplank/transport/bounded"
	"endiveplank/transport/exchange"
	"endiveplank/transport/limited"
)

const (
	// maxBufferedAnswer is the largest plain answer that is read completely before
	// the caller gets a byte of it, so that the request can be sent again if the
	// answer breaks off.
	maxBufferedAnswer = 64 << 10
	// maxDrainBytes bounds how much of an answer that isn't relayed is read in order
	// to reuse its connection.
	maxDrainBytes = 16 << 10
)

// relayPlain relays a plain answer. An answer of less than maxBufferedAnswer bytes is
// read completely before the caller gets the head. It returns whether the caller has its answer.
func (f *forwarding) relayPlain(answer *exchange.Answer, choice balance.Choice, outcome *AttemptOutcome) bool {
	data := make([]byte, 0, max(min(answer.Length, maxBufferedAnswer), 0))
	data, err := readUpTo(answer, data, maxBufferedAnswer)
	complete := errors.Is(err, io.EOF)
	if err != nil && !complete {
		f.answerBroken(err, choice, outcome)
		return false
	}
	if !f.checkStatus(answer, outcome) {
		return false
	}
	if !limited.HoldAnswer(f.request.Context(), len(data)) {
		// The caller must not take what it gets for the end of an answer.
		f.abort("answers-fill-memory")
	}
	f.copyHeader(answer)
	if complete && f.request.Method != http.MethodHead {
		f.writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	f.writeHead(answer.Status)
	f.write(data)
	if !complete {
		f.relayRest(answer, outcome)
	}
	if answer.Status < http.StatusMultipleChoices {
		f.noteCompleted(answer)
	}
	return true
}

// noteCompleted tells the fleet that an answer has come completely. Of one that ends with its
// connection that isn't certain: the upstream may have crashed.
func (f *forwarding) noteCompleted(answer *exchange.Answer) {
	if !answer.Unframed {
		f.handler.options.Fleet.AnswerCompleted(f.job)
	}
}

// checkStatus decides whether an upstream's answer may be the caller's, by its
// status.
func (f *forwarding) checkStatus(answer *exchange.Answer, outcome *AttemptOutcome) bool {
	outcome.Result = balance.Served
	if answer.Status < http.StatusInternalServerError && !promisesNotRun(answer.Status) {
		return true
	}
	outcome.Result = balance.Failed
	if promisesNotRun(answer.Status) {
		outcome.Cause = fmt.Sprintf("status %d without the attestation that the request didn't run", answer.Status)
		return false
	}
	outcome.ServerError = true
	// The error goes to the caller unless another attempt may follow.
	if !f.job.LastAttempt() && f.handler.options.Fleet.TakeRetry(f.job) {
		f.retryTaken = true
		return false
	}
	return true
}

// relayRest relays the rest of a large answer.
func (f *forwarding) relayRest(answer *exchange.Answer, outcome *AttemptOutcome) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := answer.Read(buffer)
		f.write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			outcome.Result = brokenResult(outcome.Choice, err)
			outcome.Cause = err.Error()
			f.abort("answer-broke-off")
		}
	}
}

// answerBroken records an answer that broke off after its head. Unless the request is
// over, or this router ended it because the upstream was silent or sent too much, that counts as a
// crash of the upstream.
func (f *forwarding) answerBroken(err error, choice balance.Choice, outcome *AttemptOutcome) {
	outcome.Cause = err.Error()
	if f.context.Err() != nil {
		outcome.Result = balance.Abandoned
		return
	}
	outcome.Result = brokenResult(choice, err)
	if outcome.Result == balance.Broken && !f.watchdog.hasCancelled() {
		f.handler.options.Fleet.UpstreamCrashed(f.brokenBy(choice))
	}
}

// brokenResult returns the result of an attempt whose answer broke off. A proxy reports itself
// what that says about the upstream. An answer that this router ended, as it was too long, is a
// wrong one and tells nothing about the path. One that found no memory here tells nothing at all.
func brokenResult(choice balance.Choice, err error) balance.Result {
	switch {
	case errors.Is(err, limited.ErrNoRoom):
		return balance.Abandoned
	case errors.Is(err, bounded.ErrTooLong):
		return balance.Failed
	case choice.Proxy != "":
		return balance.Abandoned
	}
	return balance.Broken
}

// copyHeader copies the headers of the upstream's answer to the caller's.
func (f *forwarding) copyHeader(answer *exchange.Answer) {
	exchange.RemoveHopByHop(answer.Header)
	header := f.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		// Otherwise net/http would guess a type from the body.
		header["Content-Type"] = nil
	}
}

// writeHead sends the head of the answer.
func (f *forwarding) writeHead(status int) {
	f.outcome.Status = status
	f.outcome.FirstAfter = time.Since(f.arrived)
	if status < http.StatusMultipleChoices {
		f.timing.began()
	}
	f.writer.WriteHeader(status)
}

// write sends bytes of the answer. A failed write means that the caller has
// disconnected.
func (f *forwarding) write(data []byte) {
	if len(data) == 0 {
		return
	}
	if _, err := f.writer.Write(data); err != nil {
		f.outcome.CallerGone = true
		f.abort("caller-gone")
	}
}

// drain reads the rest of a short answer, so that its connection can be reused.
func drain(answer *exchange.Answer) {
	answer.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	// If the answer can't be read to its end, Close drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(readerOf(answer), maxDrainBytes))
}

// readerOf returns an io.Reader of the body that reads through Answer.Read, which
// records whether the end of the answer was reached.
func readerOf(answer *exchange.Answer) io.Reader { return readFunc(answer.Read) }

type readFunc func([]byte) (int, error)

// Read implements io.Reader.
func (read readFunc) Read(buffer []byte) (int, error) { return read(buffer) }

// readUpTo appends to data until the end of the answer or until data has limit bytes.
// The error is io.EOF at the end and nil at the limit.
func readUpTo(answer *exchange.Answer, data []byte, limit int) ([]byte, error) {
	for len(data) < limit {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := answer.Read(data[len(data):min(cap(data), limit)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// hashOf hashes a name to the same value in every process.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
