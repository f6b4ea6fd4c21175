package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/transport/bounded"
	"endiveplank/transport/strict"
)

const (
	// maxInlineBody is the largest body that is written before the answer is
	// read. It fits into the kernel's buffers even if the upstream reads nothing,
	// so an upstream that answers early without reading can't block the write.
	maxInlineBody = 8 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are skipped on
	// one connection; after as many, the request fails.
	maxStrayAnswers = 3
	// maxStrayBytes bounds the body of an answer that is skipped.
	maxStrayBytes = 1 << 20
)

// Request is a request to an upstream.
type Request struct {
	ID     protocol.RequestID
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaySend is asked once a connection is open, as that may take long. False means that
	// the upstream must not get the request any more. Nil stands for true.
	MaySend func() bool
}

// ErrNotSent is the cause of a Failure where Request.MaySend returned false.
var ErrNotSent = eris.New("exchange: the upstream must not get the request any more")

// Failure is the error of Send.
type Failure struct {
	// Sent is false when no byte can have reached the upstream.
	Sent bool
	// Reused means that the connection had carried other requests before.
	Reused bool
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// errOtherRequest means that the answers on the connection belong to other requests.
var errOtherRequest = eris.New("exchange: the answer belongs to another request")

// errNotHTTP means that the upstream sent bytes that aren't an HTTP answer.
var errNotHTTP = eris.New("exchange: the upstream sent bytes that aren't an HTTP answer")

// Answer is an upstream's answer: its head, and the body through Read. Close must be
// called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// Unframed means that the body has neither a length nor chunks, and ends with its
	// connection.
	Unframed bool
	Body     io.Reader
	// Reused means that the connection had carried other requests before.
	Reused bool

	pool              *Pool
	address           string
	conn              *conn
	response          *http.Response
	stopCloseOnCancel func() bool
	written           *atomic.Bool
	complete          bool
}

// IsEventStream reports whether the answer is a stream of server-sent events.
func (a *Answer) IsEventStream() bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// Send sends a request to an address and returns the head of the answer. idOf
// returns the request ID that an answer repeats, "" for none. When the context ends,
// the connection is closed, which tells the upstream to stop its work. The error is a
// *Failure.
func (p *Pool) Send(ctx context.Context, address string, r Request, idOf func(http.Header) protocol.RequestID) (*Answer, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		_ = c.Close()
		return nil, &Failure{Reused: c.reused, Cause: ErrNotSent}
	}
	// Closing the connection interrupts blocked reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.meter.begin(ctx)
	answer, err := p.send(c, address, r, idOf)
	c.meter.end(err != nil)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Failure{Sent: true, Reused: c.reused, Cause: err}
	}
	answer.stopCloseOnCancel = stop
	return answer, nil
}

// send writes the request and reads the head of its answer.
func (p *Pool) send(c *conn, address string, r Request, idOf func(http.Header) protocol.RequestID) (*Answer, error) {
	request := r.build()
	written, err := write(c, request, len(r.Body))
	if err != nil {
		return nil, err
	}
	response, err := p.readHead(c, request, r.ID, idOf)
	if err != nil {
		return nil, err
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Body:     bounded.NewLimitedReader(response.Body, bounded.MaxBodyBytes, "the answer's body"),
		Unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		Reused:   c.reused, pool: p, address: address, conn: c, response: response, written: written,
	}, nil
}

// build returns the request in the form that net/http writes.
func (r Request) build() *http.Request {
	request := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Opaque: r.Target},
		Host:   r.Host,
		Header: r.Header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	if _, present := r.Header["User-Agent"]; !present {
		// Otherwise net/http would send a User-Agent of its own.
		request.Header["User-Agent"] = nil
	}
	return request
}

// write sends the request. A separate goroutine writes a long body, because the
// upstream may answer before it has read the body. The returned flag becomes true
// once the complete request is written.
func write(c *conn, request *http.Request, bodyBytes int) (*atomic.Bool, error) {
	written := &atomic.Bool{}
	if bodyBytes <= maxInlineBody {
		if err := writeAndFlush(c, request); err != nil {
			return nil, err
		}
		written.Store(true)
		return written, nil
	}
	go func() {
		if err := writeAndFlush(c, request); err == nil {
			written.Store(true)
		}
	}()
	return written, nil
}

func writeAndFlush(c *conn, request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads the head of the answer. It skips answers that repeat another
// request's ID, because nobody waits for them any more.
func (p *Pool) readHead(c *conn, request *http.Request, id protocol.RequestID, idOf func(http.Header) protocol.RequestID) (*http.Response, error) {
	for range maxStrayAnswers {
		c.source.Limit(p.options.MaxHeadBytes, "the answer's head")
		response, err := readResponse(c, request)
		c.source.Unlimit()
		if err != nil {
			return nil, err
		}
		if answered := idOf(response.Header); answered == "" || answered == id {
			return response, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil || n == maxStrayBytes || response.Close {
			return nil, errOtherRequest
		}
	}
	return nil, errOtherRequest
}

// readResponse reads the next head and skips interim (1xx) answers.
func readResponse(c *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, classifyReadError(err)
		}
		interim := response.StatusCode >= 100 && response.StatusCode < 200
		if err := checkHead(response, interim); err != nil {
			return nil, fmt.Errorf("%w: %w", errNotHTTP, err)
		}
		if !interim {
			return response, nil
		}
	}
}

// checkHead checks the head of an answer or of an interim answer.
func checkHead(response *http.Response, interim bool) error {
	if interim {
		return strict.CheckInterimHead(response.StatusCode, textproto.MIMEHeader(response.Header))
	}
	return strict.CheckHead(response)
}

// classifyReadError returns errNotHTTP if the bytes read aren't an HTTP answer, and
// the error itself if the connection broke.
func classifyReadError(err error) error {
	var protocolError textproto.ProtocolError
	if errors.As(err, &protocolError) || strings.Contains(err.Error(), "malformed") {
		return errNotHTTP
	}
	return err
}

// Read reads the body. io.EOF means that the body is complete.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.Body.Read(buffer)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// SetReadDeadline bounds the wait for the next bytes; the zero time removes the
// bound.
func (a *Answer) SetReadDeadline(at time.Time) {
	// Setting a deadline fails only on a closed connection; the next read returns
	// that error.
	_ = a.conn.SetReadDeadline(at)
}

// Close ends the exchange. If the answer was read to its end and the connection is
// reusable, the connection returns to the pool; otherwise it is closed, which stops
// the upstream's work.
func (a *Answer) Close() {
	if !a.stopCloseOnCancel() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.SetReadDeadline(time.Time{})
	a.conn.idleTimeout = idleTimeoutFrom(a.Header)
	a.pool.put(a.address, a.conn)
}

// reusable reports whether the connection may carry another request.
func (a *Answer) reusable() bool {
	return a.complete && a.written.Load() && !a.response.Close && a.conn.reader.Buffered() == 0
}

// idleTimeoutFrom returns how long an idle connection is kept, from the timeout that
// the upstream's Keep-Alive header gives.
func idleTimeoutFrom(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err != nil {
			return defaultIdleTimeout
		}
		return max(time.Duration(n)*time.Second-idleMargin, 0)
	}
	return defaultIdleTimeout
}
