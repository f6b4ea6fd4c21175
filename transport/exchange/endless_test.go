package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/transport/bounded"
)

// endlessConn is a connection to an upstream that answers with the bytes in first and then with
// those in more, over and over, until it is closed.
type endlessConn struct {
	net.Conn
	first, more string
	read        int
}

func (c *endlessConn) Write(data []byte) (int, error)  { return len(data), nil }
func (c *endlessConn) Close() error                    { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error { return nil }

func (c *endlessConn) Read(buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		at := c.read - len(c.first)
		if at < 0 {
			buffer[n] = c.first[c.read]
		} else {
			buffer[n] = c.more[at%len(c.more)]
		}
		c.read++
		n++
	}
	return n, nil
}

const okHead = "HTTP/1.1 200 OK\r\n"

// maxRequestMemory is what one request to an upstream may allocate, whatever is answered: a router
// has 284 MB at least, and serves some hundred requests at a time.
const maxRequestMemory = 1 << 20

// Guards: an upstream never ends a status line, a header line, its fields or its interim answers, and
// the process that reads them runs out of memory.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, c := range map[string]*endlessConn{
		"no HTTP":             {more: "x"},
		"empty lines":         {more: "\r\n"},
		"status line":         {first: "HTTP/1.1 200 O", more: "K"},
		"header name":         {first: okHead, more: "x"},
		"header line":         {first: okHead + "A: ", more: "x"},
		"folded line":         {first: okHead + "A: b\r\n", more: " c\r\n"},
		"fields":              {first: okHead, more: "A: b\r\n"},
		"many fields":         {first: okHead, more: "A:\n"},
		"interim answers":     {more: "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim fields":      {first: "HTTP/1.1 103 Early Hints\r\n", more: "Link: </a>\r\n"},
		"answers to others":   {more: okHead + idHeader + ": other\r\nContent-Length: 0\r\n\r\n"},
		"fields behind those": {first: okHead + idHeader + ": other\r\nContent-Length: 0\r\n\r\n" + okHead, more: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) { return c, nil }})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := p.Send(context.Background(), "u", request("1", ""), idOf)
			runtime.ReadMemStats(&after)
			var failure *Failure
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			assert.Assert(t, c.read <= maxStrayAnswers*(bounded.MaxHeadBytes+bufferBytes), "read %d bytes", c.read)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated <= maxRequestMemory, "allocated %d bytes", allocated)
			known := errors.Is(err, bounded.ErrTooLong) || errors.Is(err, errNotHTTP) || errors.Is(err, errOtherRequest)
			assert.Assert(t, known, "the cause says nothing: %v", err)
		})
	}
}

// Guards: an upstream never ends a body, a chunk's line or the trailers, and they are read until the
// deadline.
func TestBodyWithoutEndIsBounded(t *testing.T) {
	chunked := okHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]*endlessConn{
		"unframed":         {first: okHead + "\r\n", more: strings.Repeat("x", 1000)},
		"length":           {first: okHead + "Content-Length: 9000000000000000000\r\n\r\n", more: strings.Repeat("x", 1000)},
		"one chunk":        {first: chunked + "7fffffffffffff\r\n", more: strings.Repeat("x", 1000)},
		"chunks":           {first: chunked, more: "5\r\nhello\r\n"},
		"empty extensions": {first: chunked, more: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"chunk extension":  {first: chunked + "5;", more: "x"},
		"chunk size":       {first: chunked, more: "0"},
		"trailer line":     {first: chunked + "0\r\nA: ", more: "x"},
		"trailer fields":   {first: chunked + "0\r\n", more: "A: b\r\n"},
		"no line end":      {first: chunked + "5\r\nhello", more: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) { return c, nil }})
			answer, err := p.Send(context.Background(), "u", request("1", ""), idOf)
			assert.NilError(t, err)
			defer answer.Close()
			began := time.Now()
			n, err := io.Copy(io.Discard, readerFunc(answer.Read))
			assert.Assert(t, err != nil, "%d bytes look complete", n)
			assert.Assert(t, n <= bounded.MaxBodyBytes, "%d bytes", n)
			// Chunks of a byte have six bytes for each that counts.
			assert.Assert(t, c.read <= 8*bounded.MaxBodyBytes, "read %d bytes in %s", c.read, time.Since(began))
			assert.Assert(t, !answer.reusable())
		})
	}
}

// Guards: an answer that is just as long as is accepted, or a head of the usual size behind interim
// ones, is refused.
func TestAnswersWithinTheBoundsAreAccepted(t *testing.T) {
	field := "A: " + strings.Repeat("x", bounded.MaxHeadBytes/2) + "\r\n"
	head := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + field
	c := &endlessConn{first: head + "Content-Length: 67108864\r\n\r\n", more: strings.Repeat("x", 1<<16)}
	p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) { return c, nil }})
	answer, err := p.Send(context.Background(), "u", request("1", ""), idOf)
	assert.NilError(t, err)
	defer answer.Close()
	n, err := io.Copy(io.Discard, readerFunc(answer.Read))
	assert.NilError(t, err)
	assert.Equal(t, n, int64(bounded.MaxBodyBytes))
}
