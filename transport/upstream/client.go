// Package upstream calls upstreams over HTTP and turns their answers into inputs of
// the node core.
//
// Client makes the calls of one router: requests of callers, probes, orders to
// engines and moves of cached prefixes. It reports everything to a Sink.
//
// Failures guarded against:
//
//   - An idle connection is dead, and a new request would hang on it. Each call
//     opens its own connection, so there are no idle ones; within a data centre
//     this costs well under a millisecond.
//   - The HTTP library resends a request by itself. It does so when a reused
//     connection breaks and the request has an Idempotency-Key, because it takes the
//     key as permission to resend; a service that ignores the key would run the
//     order twice. This package never reuses a connection and calls RoundTrip, which
//     follows no redirects, so one call is one request.
//   - A call fails, and it isn't known whether it ran. Sent is false only if no
//     connection was opened, so that no byte can have reached the upstream.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	"endiveplank/transport/bounded"
	"endiveplank/transport/strict"
	"endiveplank/transport/tracing"
)

const (
	// dialTimeout bounds a connection attempt to an upstream.
	dialTimeout = time.Second
	// bodyChunkBytes is how much of a plain answer goes into one chunk.
	bodyChunkBytes = 64 << 10
	// statusServerError is the lowest status that means that the engine failed.
	statusServerError = 500
)

// Sink receives the inputs that calls produce.
type Sink interface{ Input(node.Input) }

// Client makes the calls of one router.
type Client struct {
	sink      Sink
	tracer    *tracing.Tracer
	transport *strict.Transport

	mu      sync.Mutex
	calls   map[fleet.Attempt]context.CancelFunc
	running sync.WaitGroup
}

// New returns a client that reports to sink and makes spans with tracer, which
// may be nil.
func New(sink Sink, tracer *tracing.Tracer) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		sink:   sink,
		tracer: tracer,
		transport: strict.NewTransport(&http.Transport{
			DialContext:       dialer.DialContext,
			DisableKeepAlives: true,
			// Bodies are relayed unchanged.
			DisableCompression: true,
		}),
		calls: map[fleet.Attempt]context.CancelFunc{},
	}
}

// Call starts a call and returns at once.
func (c *Client) Call(call node.CallUpstream) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.calls[call.Attempt] = cancel
	c.mu.Unlock()
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		end := c.callTraced(ctx, call)
		c.removeCall(call.Attempt)
		c.sink.Input(end)
	}()
}

// Probe checks whether an upstream accepts connections.
func (c *Client) Probe(probe node.ProbeUpstream) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		connection, err := net.DialTimeout("tcp", probe.Address, dialTimeout)
		if err == nil {
			_ = connection.Close()
		}
		c.sink.Input(node.UpstreamProbed{Upstream: probe.Upstream, Reachable: err == nil})
	}()
}

// Cancel ends a call. This closes the call's connection, which tells the upstream to
// stop.
func (c *Client) Cancel(attempt fleet.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.calls[attempt]; cancel != nil {
		cancel()
	}
}

// Wait waits until all calls, probes, orders and moves have ended.
func (c *Client) Wait() { c.running.Wait() }

func (c *Client) removeCall(attempt fleet.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.calls[attempt]; cancel != nil {
		cancel()
		delete(c.calls, attempt)
	}
}

// callTraced makes one call within a span.
func (c *Client) callTraced(ctx context.Context, call node.CallUpstream) node.UpstreamEnd {
	span, headers := c.tracer.StartUpstream(call.Place)
	call.Place.Headers = headers
	end := c.doCall(ctx, call)
	span.End(tracing.Result{Status: end.Status, Failed: !end.Complete})
	return end
}

// doCall makes one call and returns how it ended.
func (c *Client) doCall(ctx context.Context, call node.CallUpstream) node.UpstreamEnd {
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
		end.TooLong = isHeadTooLong(err)
		return end
	}
	defer response.Body.Close()
	body := bounded.NewLimitedReader(response.Body, bounded.MaxBodyBytes, "the answer's body")
	end.Status = response.StatusCode
	end.RetryAfter = retryAfter(response)
	if call.Place.Model != "" && response.StatusCode >= statusServerError {
		return end
	}
	relay := &answerRelay{sink: c.sink, call: call, response: response, body: body, index: call.Place.ResumeAt}
	end.Complete = relay.relay()
	end.TooLong = relay.tooLong
	end.CachedTokens = relay.cachedTokens
	return end
}

// isHeadTooLong reports whether a call failed because of the length of the answer's head. net/http
// has no type for its own error.
func isHeadTooLong(err error) bool {
	return errors.Is(err, bounded.ErrTooLong) || strings.Contains(err.Error(), "response headers exceeded")
}

// retryAfter returns the Retry-After of an upstream that is too busy, 0 if it sends none. The
// other form of the header, a date, isn't used by upstreams.
func retryAfter(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// buildRequest builds the HTTP request of a call.
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

// answerRelay relays one answer to the sink in chunks.
type answerRelay struct {
	sink         Sink
	call         node.CallUpstream
	response     *http.Response
	body         io.Reader
	index        int
	headSent     bool
	cachedTokens int
	// tooLong means that the upstream sent more bytes than are accepted.
	tooLong bool
}

// relay relays the answer and reports whether it is complete.
func (a *answerRelay) relay() bool {
	if isEventStream(a.response.Header) {
		return a.relayEvents()
	}
	return a.relayBody()
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// relayEvents makes a chunk of each server-sent event. The answer is complete if its
// last event is the done marker.
func (a *answerRelay) relayEvents() bool {
	scanner := bufio.NewScanner(a.body)
	scanner.Buffer(make([]byte, 0, 4<<10), bounded.MaxEventBytes)
	scanner.Split(splitCompleteLines)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == chat.DoneMarker {
			return true
		}
		a.recordUsage(data)
		a.sendChunk(bytes.Clone(data))
	}
	a.noteTooLong(scanner.Err())
	return false
}

// noteTooLong records whether the answer couldn't be read because of its length.
func (a *answerRelay) noteTooLong(err error) {
	a.tooLong = errors.Is(err, bounded.ErrTooLong) || errors.Is(err, bufio.ErrTooLong)
}

// doneLine is the line of the done marker.
var doneLine = []byte("data: " + chat.DoneMarker)

// splitCompleteLines is bufio.ScanLines except that it drops a last line without a line
// end.
//
// An engine that dies in the middle of a write leaves a partial event. If that were
// relayed, it would count as a token that the caller has, and the engine that resumes
// the stream would skip that token. Only the done marker is accepted without a line
// end, because nothing follows it.
func splitCompleteLines(data []byte, atEnd bool) (int, []byte, error) {
	if atEnd && bytes.IndexByte(data, '\n') < 0 && !bytes.Equal(data, doneLine) {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEnd)
}

// usageMarker occurs in every event that carries usage. Searching for it first saves
// parsing the other events.
var usageMarker = []byte(`"usage":{`)

// recordUsage keeps the number of cached tokens if the data carries usage.
func (a *answerRelay) recordUsage(data []byte) {
	if !bytes.Contains(data, usageMarker) {
		return
	}
	var parsed struct {
		Usage *chat.Usage `json:"usage"`
	}
	if json.Unmarshal(data, &parsed) == nil && parsed.Usage != nil {
		a.cachedTokens = parsed.Usage.Details.CachedTokens
	}
}

// relayBody makes chunks of a plain body. The answer is complete if the body ends
// where its length or encoding says.
func (a *answerRelay) relayBody() bool {
	for {
		buffer := make([]byte, bodyChunkBytes)
		n, err := io.ReadFull(a.body, buffer)
		if n > 0 || (err == io.EOF && !a.headSent) {
			a.recordUsage(buffer[:n])
			a.sendChunk(buffer[:n])
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return a.isBodyComplete(err)
		}
		if err != nil {
			a.noteTooLong(err)
			return false
		}
	}
}

// isBodyComplete reports whether the body is complete after io.ReadFull failed with err.
// io.ReadFull returns io.ErrUnexpectedEOF both at the end of the body and where it
// breaks off, so isBodyComplete reads once more to tell them apart.
func (a *answerRelay) isBodyComplete(err error) bool {
	if err == io.EOF {
		return true
	}
	var one [1]byte
	_, again := a.body.Read(one[:])
	return again == io.EOF
}

// sendChunk passes one chunk to the sink. The first chunk carries the answer's status
// and headers.
func (a *answerRelay) sendChunk(data []byte) {
	chunk := fleet.Chunk{Attempt: a.call.Attempt, Index: a.index, Data: data}
	if !a.headSent {
		a.headSent = true
		chunk.Status = a.response.StatusCode
		chunk.Headers = answerHeaders(a.response.Header)
	}
	a.index++
	a.sink.Input(node.UpstreamChunk{Chunk: chunk})
}
