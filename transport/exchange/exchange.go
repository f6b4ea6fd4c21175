package exchange

import (
	"bytes"
	"context"
	"errors"
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
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read: it fits into the kernel's buffers even if the upstream reads
	// nothing, so the writer can't be held up by an early answer.
	inlineBody = 8 << 10
	// strayAnswers bounds the answers to earlier requests that are skipped on
	// one connection.
	strayAnswers = 3
	// strayBytes bounds the body of an answer that is skipped.
	strayBytes = 1 << 20
)

// Request is what is sent.
type Request struct {
	ID     protocol.RequestID
	Method string
	// Target is path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Failure is the error of an exchange.
type Failure struct {
	// Sent is false when no byte can have reached the upstream.
	Sent bool
	// Reused says that the connection had carried other requests before.
	Reused bool
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// errForeign means that the answers on the connection belong to other requests.
var errForeign = eris.New("exchange: the answer belongs to another request")

// errNoAnswer means that the upstream answered with bytes that are no answer.
var errNoAnswer = eris.New("exchange: the upstream's bytes are no HTTP answer")

// Answer is the head of an answer; Body reads the rest. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if it isn't known.
	Length int64
	Body   io.Reader

	pool     *Pool
	address  string
	conn     *conn
	response *http.Response
	release  func() bool
	written  *atomic.Bool
	whole    bool
}

// Send sends a request to an address and returns the head of the answer. nameOf
// reads the name that an answer repeats, "" for none. When the context ends, the
// connection is closed, which tells the upstream to stop. The error is a
// *Failure.
func (p *Pool) Send(ctx context.Context, address string, r Request, nameOf func(http.Header) protocol.RequestID) (*Answer, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	// Closing is what interrupts reads and writes that wait.
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.send(c, address, r, nameOf)
	if err != nil {
		release()
		_ = c.Close()
		return nil, &Failure{Sent: true, Reused: c.reused, Cause: err}
	}
	answer.release = release
	return answer, nil
}

// send writes the request and reads the head of its answer.
func (p *Pool) send(c *conn, address string, r Request, nameOf func(http.Header) protocol.RequestID) (*Answer, error) {
	request := r.build()
	written, err := write(c, request, len(r.Body))
	if err != nil {
		return nil, err
	}
	response, err := readHead(c, request, r.ID, nameOf)
	if err != nil {
		return nil, err
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: response.Body,
		pool: p, address: address, conn: c, response: response, written: written,
	}, nil
}

// build returns the request as net/http writes it.
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
	if _, named := r.Header["User-Agent"]; !named {
		// Without it net/http names itself.
		request.Header["User-Agent"] = nil
	}
	return request
}

// write sends the request. A long body is written by a goroutine of its own,
// because the upstream may answer before it has read it; written says when all
// of it has left.
func write(c *conn, request *http.Request, bodyBytes int) (*atomic.Bool, error) {
	written := &atomic.Bool{}
	if bodyBytes <= inlineBody {
		if err := writeWhole(c, request); err != nil {
			return nil, err
		}
		written.Store(true)
		return written, nil
	}
	go func() {
		if err := writeWhole(c, request); err == nil {
			written.Store(true)
		}
	}()
	return written, nil
}

func writeWhole(c *conn, request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads the head of the answer. Answers that repeat another request's
// name belong to nobody any more and are skipped.
func readHead(c *conn, request *http.Request, id protocol.RequestID, nameOf func(http.Header) protocol.RequestID) (*http.Response, error) {
	for range strayAnswers {
		response, err := readResponse(c, request)
		if err != nil {
			return nil, err
		}
		if name := nameOf(response.Header); name == "" || name == id {
			return response, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes)); err != nil || n == strayBytes || response.Close {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// readResponse reads one head that isn't an interim one.
func readResponse(c *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, asNoAnswer(err)
		}
		interim := response.StatusCode >= 100 && response.StatusCode < 200
		if !interim {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errNoAnswer
		}
	}
}

// asNoAnswer tells bytes that are no answer from a broken connection.
func asNoAnswer(err error) error {
	var protocolError textproto.ProtocolError
	if errors.As(err, &protocolError) || strings.Contains(err.Error(), "malformed") {
		return errNoAnswer
	}
	return err
}

// Read reads the body. io.EOF means that it came whole.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.Body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// ReadByDeadline bounds the wait for the next bytes; the zero time lifts the
// bound.
func (a *Answer) ReadByDeadline(at time.Time) {
	// A connection that takes no deadline is closed; the next read says so.
	_ = a.conn.SetReadDeadline(at)
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing speaks against it; else it is closed, which stops the
// upstream's work.
func (a *Answer) Close() {
	if !a.release() || !a.mayKeep() {
		_ = a.conn.Close()
		return
	}
	a.ReadByDeadline(time.Time{})
	a.conn.keep = keepFor(a.Header)
	a.pool.put(a.address, a.conn)
}

// mayKeep reports whether another request may follow on the connection.
func (a *Answer) mayKeep() bool {
	return a.whole && a.written.Load() && !a.response.Close && a.conn.reader.Buffered() == 0
}

// keepFor reads how long the upstream keeps an unused connection.
func keepFor(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err != nil {
			return keepIdle
		}
		return max(time.Duration(n)*time.Second-idleMargin, 0)
	}
	return keepIdle
}
