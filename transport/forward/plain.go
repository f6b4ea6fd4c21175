package forward

import (
	"errors"
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/balance"
	"endiveplank/transport/exchange"
)

const (
	// wholeBytes is the largest plain answer that is read whole before the
	// caller gets a byte of it, so that a broken one can be asked for again.
	wholeBytes = 64 << 10
	// drainBytes bounds what is read of an answer that isn't passed on, to
	// keep its connection.
	drainBytes = 16 << 10
)

// hopByHop are the headers that concern one connection alone (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes them and those that Connection names.
func removeHopByHop(header http.Header) {
	for _, named := range header.Values("Connection") {
		for name := range splitList(named) {
			header.Del(name)
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	// The length goes with the body that is sent.
	header.Del("Content-Length")
	header.Del("Expect")
}

// splitList returns the names in a comma-separated header.
func splitList(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(name)) {
				return
			}
		}
	}
}

// passPlain reads a plain answer whole, if it is small, and passes it on.
func (f *flight) passPlain(answer *exchange.Answer, choice balance.Choice, outcome *AttemptOutcome) verdict {
	start := make([]byte, 0, max(min(answer.Length, wholeBytes), 0))
	start, err := readUpTo(answer, start, wholeBytes)
	whole := errors.Is(err, io.EOF)
	if err != nil && !whole {
		return f.brokenOff(err, choice, outcome)
	}
	if next, final := f.judgeStatus(answer, outcome); !final {
		return next
	}
	f.copyHeader(answer)
	if whole && f.request.Method != http.MethodHead {
		f.writer.Header().Set("Content-Length", strconv.Itoa(len(start)))
	}
	f.begin(answer.Status)
	f.write(start)
	if !whole {
		f.passRest(answer, outcome)
	}
	return answered
}

// judgeStatus decides whether an upstream's status may be the caller's answer.
func (f *flight) judgeStatus(answer *exchange.Answer, outcome *AttemptOutcome) (verdict, bool) {
	outcome.Result = balance.Served
	if answer.Status < http.StatusInternalServerError && !isPromise(answer.Status) {
		return answered, true
	}
	outcome.Result = balance.Failed
	if isPromise(answer.Status) {
		outcome.Cause = "a refusal that doesn't attest that nothing ran"
		return unknown, false
	}
	outcome.Erred = true
	// The error is the answer unless another attempt may follow.
	if !f.job.Once() && f.handler.options.Fleet.MayRetry(f.job.Service) {
		f.retryPaid = true
		return unknown, false
	}
	return answered, true
}

// passRest passes on what is left of a large answer.
func (f *flight) passRest(answer *exchange.Answer, outcome *AttemptOutcome) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := answer.Read(buffer)
		f.write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			outcome.Result = balance.Failed
			outcome.Cause = err.Error()
			f.abort("answer-broke-off")
		}
	}
}

// brokenOff notes an answer that ended early.
func (f *flight) brokenOff(err error, choice balance.Choice, outcome *AttemptOutcome) verdict {
	outcome.Cause = err.Error()
	if f.context.Err() != nil {
		outcome.Result = balance.Abandoned
		return unknown
	}
	outcome.Result = balance.Failed
	f.handler.options.Fleet.Crashed(f.job.Digest, choice.ID)
	return unknown
}

// copyHeader takes over the upstream's headers.
func (f *flight) copyHeader(answer *exchange.Answer) {
	removeHopByHop(answer.Header)
	header := f.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		// Without it net/http guesses one.
		header["Content-Type"] = nil
	}
}

// begin sends the head of the answer.
func (f *flight) begin(status int) {
	f.outcome.Status = status
	f.outcome.FirstAfter = time.Since(f.arrived)
	if status < http.StatusMultipleChoices {
		f.timing.began()
	}
	f.writer.WriteHeader(status)
}

// write sends bytes of the answer. A caller that can't be written to has gone.
func (f *flight) write(data []byte) {
	if len(data) == 0 {
		return
	}
	if _, err := f.writer.Write(data); err != nil {
		f.outcome.CallerGone = true
		f.abort("caller-gone")
	}
}

// drain reads what is left of a short answer, so that its connection can be
// kept.
func drain(answer *exchange.Answer) {
	answer.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	// An answer that can't be read to its end costs its connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(readerOf(answer), drainBytes))
}

// readerOf makes an io.Reader that notes the end of the answer.
func readerOf(answer *exchange.Answer) io.Reader { return readFunc(answer.Read) }

type readFunc func([]byte) (int, error)

// Read implements io.Reader.
func (read readFunc) Read(buffer []byte) (int, error) { return read(buffer) }

// readUpTo reads to the end or to a limit. The error is io.EOF at the end and
// nil at the limit.
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

// hashOf is a hash of a name that is the same in every process.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
