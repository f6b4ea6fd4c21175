// Package upstream calls upstreams over HTTP and turns their answers into the
// node core's inputs.
//
// Failures guarded:
//
//   - An idle connection has gone silent, and new work would wait on it. Each
//     call opens its own connection, so there is no idle one; within a data
//     centre that costs well under a millisecond.
//   - The HTTP library repeats a request by itself. It does so when a reused
//     connection breaks and the request carries an Idempotency-Key, because it
//     takes the key as leave to repeat; a service that doesn't know the key
//     would run the order twice. Connections are never reused here and calls go
//     through RoundTrip, which follows no redirect, so one call is one request.
//   - A call failed, and nobody knows whether it ran. Sent is false only when
//     no connection was made, so that no byte can have left.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
	"endiveplank/transport/tracing"
)

const (
	// dialTimeout bounds a connection attempt to an upstream.
	dialTimeout = time.Second
	// maxEventBytes is the largest server-sent event taken.
	maxEventBytes = 1 << 20
	// bodyPiece is how much of a plain answer goes into one chunk.
	bodyPiece = 64 << 10
	// statusServerError is the first of the statuses by which an engine says
	// that it failed.
	statusServerError = 500
)

// Sink takes the inputs that calls produce.
type Sink interface{ Input(node.Input) }

// Client makes the calls of one router.
type Client struct {
	sink      Sink
	tracer    *tracing.Tracer
	transport *http.Transport

	mu    sync.Mutex
	calls map[fleet.Attempt]context.CancelFunc
	done  sync.WaitGroup
}

// New returns a client that reports to sink and makes spans with tracer, which
// may be nil.
func New(sink Sink, tracer *tracing.Tracer) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		sink:   sink,
		tracer: tracer,
		transport: &http.Transport{
			DialContext:       dialer.DialContext,
			DisableKeepAlives: true,
			// Bodies are relayed as they are.
			DisableCompression: true,
		},
		calls: map[fleet.Attempt]context.CancelFunc{},
	}
}

// Call starts a call and returns at once.
func (c *Client) Call(call node.CallUpstream) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.calls[call.Attempt] = cancel
	c.mu.Unlock()
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		end := c.traced(ctx, call)
		c.forget(call.Attempt)
		c.sink.Input(end)
	}()
}

// Probe finds out whether an upstream takes connections.
func (c *Client) Probe(probe node.ProbeUpstream) {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		connection, err := net.DialTimeout("tcp", probe.Address, dialTimeout)
		if err == nil {
			_ = connection.Close()
		}
		c.sink.Input(node.UpstreamProbed{Upstream: probe.Upstream, Reachable: err == nil})
	}()
}

// Cancel ends a call by closing its connection.
func (c *Client) Cancel(attempt fleet.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.calls[attempt]; cancel != nil {
		cancel()
	}
}

// Wait returns when all calls have ended.
func (c *Client) Wait() { c.done.Wait() }

func (c *Client) forget(attempt fleet.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.calls[attempt]; cancel != nil {
		cancel()
		delete(c.calls, attempt)
	}
}

// traced makes one call within a span.
func (c *Client) traced(ctx context.Context, call node.CallUpstream) node.UpstreamEnd {
	span, headers := c.tracer.StartUpstream(call.Place)
	call.Place.Headers = headers
	end := c.run(ctx, call)
	span.End(tracing.Result{Status: end.Status, Failed: !end.Complete})
	return end
}

// run makes one call and returns how it ended.
func (c *Client) run(ctx context.Context, call node.CallUpstream) node.UpstreamEnd {
	end := node.UpstreamEnd{Attempt: call.Attempt}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := buildRequest(ctx, call)
	if err != nil {
		return end
	}
	response, err := c.transport.RoundTrip(request)
	end.Sent = connected.Load()
	if err != nil {
		return end
	}
	defer response.Body.Close()
	end.Status = response.StatusCode
	if call.Place.Model != "" && response.StatusCode >= statusServerError {
		return end
	}
	reader := &answerReader{sink: c.sink, call: call, response: response, index: call.Place.ResumeAt}
	end.Complete = reader.relay()
	end.CachedTokens = reader.cachedTokens
	return end
}

// buildRequest makes the HTTP request of a call.
func buildRequest(ctx context.Context, call node.CallUpstream) (*http.Request, error) {
	place := call.Place
	url := "http://" + call.Address + place.Path
	request, err := http.NewRequestWithContext(ctx, place.Method, url, bytes.NewReader(place.Body))
	if err != nil {
		return nil, err
	}
	for _, header := range place.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	request.Header.Set(protocol.RequestIDHeader, string(place.Attempt.Request))
	request.Header.Set(protocol.AttemptHeader, strconv.FormatUint(uint64(place.Attempt.Number), 10))
	request.Header.Set(protocol.PriorityHeader, strconv.Itoa(place.Class))
	if place.Model != "" {
		request.Header.Set(protocol.ResumeAtHeader, strconv.Itoa(place.ResumeAt))
	}
	return request, nil
}

// answerReader relays one answer in chunks.
type answerReader struct {
	sink         Sink
	call         node.CallUpstream
	response     *http.Response
	index        int
	headSent     bool
	cachedTokens int
}

// relay passes the answer on and says whether it came whole.
func (a *answerReader) relay() bool {
	if isEventStream(a.response.Header) {
		return a.relayEvents()
	}
	return a.relayBody()
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// relayEvents makes a chunk of each server-sent event. The answer is whole
// when its last event is the done marker.
func (a *answerReader) relayEvents() bool {
	scanner := bufio.NewScanner(a.response.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	scanner.Split(splitWholeLines)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == chat.DoneMarker {
			return true
		}
		a.noteUsage(data)
		a.chunk(bytes.Clone(data))
	}
	return false
}

// doneLine is the line of the done marker.
var doneLine = []byte("data: " + chat.DoneMarker)

// splitWholeLines is bufio.ScanLines but for a last line without its end.
//
// An engine that dies in mid-write leaves half an event behind. Passed on, it
// would count as a token that the caller has, and the engine that resumes
// would leave that token out. Only the done marker is taken without line end:
// nothing can be missing behind it.
func splitWholeLines(data []byte, atEnd bool) (int, []byte, error) {
	if atEnd && bytes.IndexByte(data, '\n') < 0 && !bytes.Equal(data, doneLine) {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEnd)
}

// usageMark is in every event that carries usage; looking for it first saves
// parsing the others.
var usageMark = []byte(`"usage":{`)

func (a *answerReader) noteUsage(data []byte) {
	if !bytes.Contains(data, usageMark) {
		return
	}
	var parsed struct {
		Usage *chat.Usage `json:"usage"`
	}
	if json.Unmarshal(data, &parsed) == nil && parsed.Usage != nil {
		a.cachedTokens = parsed.Usage.Details.CachedTokens
	}
}

// relayBody makes chunks of a plain body. The answer is whole when the body
// ends as its length or encoding says.
func (a *answerReader) relayBody() bool {
	for {
		piece := make([]byte, bodyPiece)
		n, err := io.ReadFull(a.response.Body, piece)
		if n > 0 || (err == io.EOF && !a.headSent) {
			a.noteUsage(piece[:n])
			a.chunk(piece[:n])
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return a.wholeBody(err)
		}
		if err != nil {
			return false
		}
	}
}

// wholeBody tells an end of the body from a torn one: io.ReadFull gives
// io.ErrUnexpectedEOF for both, so the body is asked once more.
func (a *answerReader) wholeBody(err error) bool {
	if err == io.EOF {
		return true
	}
	var one [1]byte
	_, again := a.response.Body.Read(one[:])
	return again == io.EOF
}

// chunk hands one piece to the core.
func (a *answerReader) chunk(data []byte) {
	piece := fleet.Chunk{Attempt: a.call.Attempt, Index: a.index, Data: data}
	if !a.headSent {
		a.headSent = true
		piece.Status = a.response.StatusCode
		piece.Headers = answerHeaders(a.response.Header)
	}
	a.index++
	a.sink.Input(node.UpstreamChunk{Chunk: piece})
}
