// Package callers serves callers over HTTP. Handler reads a complete request,
// submits it to the router's decision code (package node, called the node core
// here), and writes the answer to the caller as the core produces it. Answer is the queue between the two.
//
// The package guards against these failures:
//
//   - A caller sends a huge or endless request: the sizes of header and body and
//     the time for each are bounded.
//   - A caller reads its answer slowly or not at all: the bytes that wait for it
//     and the time of each write are bounded. Beyond either bound the request is
//     cancelled, so that it occupies neither memory nor an engine.
package callers

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/settings"
	"endiveplank/transport/limited"
	"endiveplank/transport/tracing"
	"endiveplank/transport/upstream"
)

// retryAfterNoRoom is when a request that finds no room in memory may come again.
const retryAfterNoRoom = time.Second

// Core is the interface to the node core that a caller's connection needs.
type Core interface {
	// Submit passes a request to the node core, which writes its outputs to answer.
	Submit(request node.CallerRequest, answer *Answer)
	// CallerGone tells the node core that the caller of a request has gone away.
	CallerGone(id protocol.RequestID)
	// Ready reports whether this router accepts callers.
	Ready() bool
}

// Handler serves the callers' listener.
type Handler struct {
	core     Core
	limits   settings.Callers
	prefix   string
	tracer   *tracing.Tracer
	sequence atomic.Uint64
	mux      *http.ServeMux
}

// New returns a handler. Its request IDs start with prefix, which must differ
// between routers and between restarts of one router. tracer may be nil.
func New(core Core, limits settings.Callers, prefix string, tracer *tracing.Tracer) *Handler {
	h := &Handler{core: core, limits: limits, prefix: prefix, tracer: tracer, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /livez", h.live)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("/", h.serve)
	return h
}

// Server returns an HTTP server with the configured timeouts and header limit.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: milliseconds(h.limits.HeaderTimeoutMS),
		ReadTimeout:       milliseconds(h.limits.HeaderTimeoutMS + h.limits.BodyTimeoutMS),
		MaxHeaderBytes:    h.limits.MaxHeaderBytes,
	}
}

// ServeHTTP routes one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// live answers the platform's liveness probe.
func (h *Handler) live(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") }

// ready answers the platform's readiness probe.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.core.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serve handles one request until the end of its answer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	id := h.nextID()
	w.Header().Set(protocol.RequestIDHeader, string(id))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.MaxBodyBytes))
	if err != nil {
		writeBodyError(w, err, h.limits.MaxBodyBytes)
		return
	}
	request := buildRequest(id, r, body)
	span, headers := h.tracer.StartEntry(id, request.Headers)
	request.Headers = headers
	answer := NewAnswer()
	answer.TraceID = tracing.TraceID(headers)
	writer := &answerWriter{
		response: w,
		control:  http.NewResponseController(w),
		timeout:  milliseconds(h.limits.WriteTimeoutMS),
		chunked:  r.ProtoAtLeast(1, 1),
	}
	defer func() { span.End(writer.result) }()
	h.core.Submit(request, answer)
	if !writer.copy(r, answer) {
		writer.result = tracing.Result{Reason: "caller gone", Failed: true}
		answer.Close()
		h.core.CallerGone(id)
	}
}

func (h *Handler) nextID() protocol.RequestID {
	return protocol.RequestID(fmt.Sprintf("%s-%d", h.prefix, h.sequence.Add(1)))
}

// buildRequest converts an HTTP request to the core's input.
func buildRequest(id protocol.RequestID, r *http.Request, body []byte) node.CallerRequest {
	digest := sha256.Sum256(body)
	request := node.CallerRequest{
		ID:             id,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Headers:        upstream.RequestHeaders(r.Header),
		Body:           body,
		IdempotencyKey: r.Header.Get(protocol.IdempotencyKeyHeader),
		BodyDigest:     binary.BigEndian.Uint64(digest[:8]),
	}
	if key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); found && key != "" {
		request.HasKey = true
		request.KeyHash = sha256.Sum256([]byte(key))
	}
	if r.URL.Path == upstreamapi.CompletionsPath {
		request.Path = r.URL.Path
		request.Chat, request.ChatError = parseChat(r.Method, body)
	}
	return request
}

// parseChat parses a chat request. The string describes what is wrong with it and
// is empty for a valid request.
func parseChat(method string, body []byte) (*chat.Request, string) {
	if method != http.MethodPost {
		return nil, "use POST"
	}
	var parsed chat.Request
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, "the body isn't a chat request: " + err.Error()
	}
	if parsed.Model == "" {
		return nil, "the body names no model"
	}
	if len(parsed.Messages) == 0 {
		return nil, "the body has no messages"
	}
	return &parsed, ""
}

// writeBodyError answers a request whose body could not be read completely.
func writeBodyError(w http.ResponseWriter, err error, limit int64) {
	var tooLarge *http.MaxBytesError
	if errors.Is(err, limited.ErrNoRoom) {
		writeError(w, http.StatusServiceUnavailable, "bodies_fill_memory", "requests fill the memory that is set aside for them", protocol.NotRun, retryAfterNoRoom)
		return
	}
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", limit), protocol.NotRun, 0)
		return
	}
	writeError(w, http.StatusRequestTimeout, "body_unread", "the body did not come whole in time", protocol.NotRun, 0)
}

// answerWriter writes an answer to a caller.
type answerWriter struct {
	response http.ResponseWriter
	control  *http.ResponseController
	timeout  time.Duration
	// chunked is false for HTTP/1.0, where the end of the connection ends the body.
	chunked     bool
	eventStream bool
	// result is how the answer ended. It is recorded in the span.
	result tracing.Result
}

// copy writes the parts of an answer until it ends. It returns false when the
// caller went away or was too slow.
func (a *answerWriter) copy(r *http.Request, answer *Answer) bool {
	for {
		outputs, open := answer.take(r.Context().Done())
		if !open {
			return false
		}
		_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
		for _, output := range outputs {
			ended, err := a.write(output)
			if err != nil {
				return false
			}
			if ended {
				return true
			}
		}
		if err := a.control.Flush(); err != nil {
			return false
		}
	}
}

// write writes one part of the answer and reports whether it was the last.
func (a *answerWriter) write(output node.Output) (bool, error) {
	switch output := output.(type) {
	case node.AnswerHead:
		a.result.Status = output.Status
		a.writeHead(output)
		return false, nil
	case node.AnswerChunk:
		return false, a.writeChunk(output)
	case node.AnswerEnd:
		a.result.Reason, a.result.Failed = string(output.Reason), output.Broken
		return true, a.writeEnd(output)
	case node.AnswerError:
		a.result = tracing.Result{Status: output.Status, Reason: string(output.Reason), Failed: true}
		writeError(a.response, output.Status, string(output.Reason), output.Detail, output.Outcome, output.RetryAfter)
		return true, nil
	}
	panic(fmt.Sprintf("callers: output %T is not a part of an answer", output))
}

func (a *answerWriter) writeHead(head node.AnswerHead) {
	header := a.response.Header()
	for _, item := range head.Headers {
		header.Add(item.Name, item.Value)
		if item.Name == "Content-Type" && strings.HasPrefix(item.Value, "text/event-stream") {
			a.eventStream = true
		}
	}
	header.Set(protocol.RunOutcomeHeader, string(head.Outcome))
	a.response.WriteHeader(head.Status)
}

func (a *answerWriter) writeChunk(chunk node.AnswerChunk) error {
	if !a.eventStream {
		_, err := a.response.Write(chunk.Data)
		return err
	}
	line := make([]byte, 0, len(chunk.Data)+32)
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(chunk.Index), 10)
	line = append(line, "\ndata: "...)
	line = append(line, chunk.Data...)
	line = append(line, "\n\n"...)
	_, err := a.response.Write(line)
	return err
}

// writeEnd ends the answer. A broken answer must not look complete: an event stream
// ends with an error event and no done marker, and the connection of a plain body is
// broken off.
func (a *answerWriter) writeEnd(end node.AnswerEnd) error {
	if !end.Broken {
		if a.eventStream {
			_, err := io.WriteString(a.response, "data: "+chat.DoneMarker+"\n\n")
			return err
		}
		return nil
	}
	if !a.eventStream {
		a.breakOff()
	}
	body := errorBody("server_error", string(end.Reason), "the answer could not be finished", protocol.UnknownRun)
	_, err := fmt.Fprintf(a.response, "event: error\ndata: %s\n\n", body)
	return err
}

// breakOff ends a plain answer so that it can't look complete. It doesn't return.
//
// An HTTP/1.1 client notices that the last chunk is missing. For an HTTP/1.0 client,
// which some proxies are by default, the end of the connection is the end of the
// body, so its connection is reset.
func (a *answerWriter) breakOff() {
	if !a.chunked {
		if connection, _, err := a.control.Hijack(); err == nil {
			resetAndClose(connection)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetAndClose closes a TCP connection with a reset (RST) instead of a FIN.
func resetAndClose(connection net.Conn) {
	if tcp, ok := connection.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// writeError answers with an error in the format that chat API clients expect.
func writeError(w http.ResponseWriter, status int, code, detail string, outcome protocol.RunOutcome, retryAfter time.Duration) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(protocol.RunOutcomeHeader, string(outcome))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(errorBody(errorType(status), code, detail, outcome))
}

func errorBody(kind, code, detail string, outcome protocol.RunOutcome) []byte {
	body, err := json.Marshal(chat.ErrorBody{Error: chat.ErrorDetail{Message: detail, Type: kind, Code: code, Outcome: string(outcome)}})
	if err != nil {
		panic("callers: can't encode the error body: " + err.Error())
	}
	return body
}

// errorType returns the error type that chat API clients expect for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusServiceUnavailable:
		return "overloaded_error"
	case status >= 500:
		return "server_error"
	}
	return "invalid_request_error"
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
