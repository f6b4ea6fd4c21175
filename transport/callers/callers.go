// Package callers serves callers over HTTP: it reads a request whole, hands it
// to the node core, and writes the answer as it comes.
//
// Failures guarded:
//
//   - A caller sends a huge or endless request: header, body and the time for
//     each are bounded.
//   - A caller takes its answer slowly or not at all: what waits for it is
//     bounded in bytes, each write is bounded in time, and past either the
//     request is given up, so that it holds neither memory nor an engine.
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
	"endiveplank/transport/tracing"
	"endiveplank/transport/upstream"
)

// Core is the part of the driver that a caller's connection needs.
type Core interface {
	// Submit hands a request to the node core; its answer goes to the answer.
	Submit(request node.CallerRequest, answer *Answer)
	// Gone tells the node core that a caller went away.
	Gone(id protocol.RequestID)
	// Ready says whether callers should come here.
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

// New returns a handler whose request IDs start with prefix, which must
// differ between routers and between starts of one router. tracer may be nil.
func New(core Core, limits settings.Callers, prefix string, tracer *tracing.Tracer) *Handler {
	h := &Handler{core: core, limits: limits, prefix: prefix, tracer: tracer, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /livez", h.live)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("/", h.serve)
	return h
}

// Server returns an HTTP server with the limits applied.
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

// live answers the platform's question whether the process runs.
func (h *Handler) live(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") }

// ready answers the platform's question whether callers should come here.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.core.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serve takes one request from its first byte to the end of its answer.
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
	answer.Trace = tracing.TraceID(headers)
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
		h.core.Gone(id)
	}
}

func (h *Handler) nextID() protocol.RequestID {
	return protocol.RequestID(fmt.Sprintf("%s-%d", h.prefix, h.sequence.Add(1)))
}

// buildRequest turns an HTTP request into the core's input.
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

// parseChat reads a chat request, or says what is wrong with it.
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

// writeBodyError answers a request whose body could not be read.
func writeBodyError(w http.ResponseWriter, err error, limit int64) {
	var tooLarge *http.MaxBytesError
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
	// chunked is false for HTTP/1.0, which ends a body by closing.
	chunked bool
	events  bool
	// result is how the answer ended, for its span.
	result tracing.Result
}

// copy writes pieces until the answer ends. It returns false when the caller
// went away or was too slow.
func (a *answerWriter) copy(r *http.Request, answer *Answer) bool {
	for {
		pieces, open := answer.take(r.Context().Done())
		if !open {
			return false
		}
		_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
		for _, piece := range pieces {
			ended, err := a.write(piece)
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

// write puts one piece on the wire and says whether it was the last.
func (a *answerWriter) write(piece node.Output) (bool, error) {
	switch piece := piece.(type) {
	case node.AnswerHead:
		a.result.Status = piece.Status
		a.writeHead(piece)
		return false, nil
	case node.AnswerChunk:
		return false, a.writeChunk(piece)
	case node.AnswerEnd:
		a.result.Reason, a.result.Failed = string(piece.Reason), piece.Broken
		return true, a.writeEnd(piece)
	case node.AnswerError:
		a.result = tracing.Result{Status: piece.Status, Reason: string(piece.Reason), Failed: true}
		writeError(a.response, piece.Status, string(piece.Reason), piece.Detail, piece.Outcome, piece.RetryAfter)
		return true, nil
	}
	panic("callers: output that is no answer")
}

func (a *answerWriter) writeHead(head node.AnswerHead) {
	header := a.response.Header()
	for _, item := range head.Headers {
		header.Add(item.Name, item.Value)
		if item.Name == "Content-Type" && strings.HasPrefix(item.Value, "text/event-stream") {
			a.events = true
		}
	}
	header.Set(protocol.RunOutcomeHeader, string(head.Outcome))
	a.response.WriteHeader(head.Status)
}

func (a *answerWriter) writeChunk(chunk node.AnswerChunk) error {
	if !a.events {
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

// writeEnd closes the answer. A broken one must not look whole: an event
// stream gets an error event and no done marker, a plain body is cut.
func (a *answerWriter) writeEnd(end node.AnswerEnd) error {
	if !end.Broken {
		if a.events {
			_, err := io.WriteString(a.response, "data: "+chat.DoneMarker+"\n\n")
			return err
		}
		return nil
	}
	if !a.events {
		a.cut()
	}
	body := errorBody("server_error", string(end.Reason), "the answer could not be finished", protocol.UnknownRun)
	_, err := fmt.Fprintf(a.response, "event: error\ndata: %s\n\n", body)
	return err
}

// cut ends a plain answer so that it can't look whole. It doesn't return.
//
// A client of HTTP/1.1 misses the last chunk. One of HTTP/1.0, as some proxies
// are by default, takes the end of the connection for the end of the body; it
// gets a reset instead.
func (a *answerWriter) cut() {
	if !a.chunked {
		if connection, _, err := a.control.Hijack(); err == nil {
			resetAndClose(connection)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetAndClose drops a TCP connection with a reset.
func resetAndClose(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// writeError answers with an error in the shape that chat API clients expect.
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
		panic("callers: error body that can't be encoded: " + err.Error())
	}
	return body
}

// errorType groups a status as chat API clients do.
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
