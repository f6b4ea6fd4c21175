package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/standin/answer"
	"endiveplank/standin/host"
)

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "[[crash]]"

// defaultPriority is the class of a request that names none.
const defaultPriority = 1

// maxAnswerTokens bounds what one request may ask for.
const maxAnswerTokens = 1 << 16

// stream carries a job's progress from the driver to its handler. The tokens'
// text follows from the request, so their number is all that is passed.
type stream struct {
	key    string
	ready  atomic.Int64 // tokens that may be sent, as an index into the answer
	cached atomic.Int64
	done   atomic.Bool
	wake   chan struct{}
	cancel context.CancelFunc
}

// progress is called by the driver.
func (s *stream) progress(event Event) {
	s.cached.Store(int64(event.Cached))
	if event.Kind == TokenReady {
		s.ready.Store(int64(event.Index + 1))
	} else {
		s.done.Store(true)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// call is one chat request in progress.
type call struct {
	request  chat.Request
	answer   answer.Answer
	resumeAt int
	prompt   int
	stream   *stream
	id       JobID
}

// complete serves CompletionsPath.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, host.MaxBody))
	if err != nil {
		return
	}
	c := &call{}
	if err := json.Unmarshal(body, &c.request); err != nil || len(c.request.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "bad-request", "the body must be JSON with messages")
		return
	}
	c.request.MaxTokens = min(c.request.MaxTokens, maxAnswerTokens)
	c.answer = answer.For(c.request)
	c.resumeAt, err = resumeAt(r)
	if err != nil || c.resumeAt > c.answer.Len() {
		refuse(w, http.StatusBadRequest, "bad-resume", "the token to resume at is not in the answer")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.stream = &stream{wake: make(chan struct{}, 1), cancel: cancel}
	if !s.admit(w, r, c) {
		return
	}
	s.nudge()
	defer s.release(c)
	if c.request.Stream {
		s.sendStream(ctx, w, r, c)
		return
	}
	s.sendWhole(ctx, w, r, c)
}

// admit submits the call to the core or refuses it as not run.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ready := s.core.Ready(s.now(), protocol.Model(c.request.Model))
	if !held {
		refuse(w, http.StatusNotFound, "model-not-held", "this engine does not hold the model")
		return false
	}
	if !ready {
		refuse(w, http.StatusServiceUnavailable, "model-loading", "the model is being loaded")
		return false
	}
	work := c.job(r)
	id, ok := s.core.Submit(s.now(), work)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "engine-full", "too many requests wait at this engine")
		return false
	}
	c.id = id
	c.prompt = tokensOf(work.Prompt)
	c.stream.key = streamKey(work.Request, work.Attempt)
	c.stream.ready.Store(int64(c.resumeAt))
	s.streams[id] = c.stream
	return true
}

// release forgets a call. One that has not finished is cancelled, which is
// what a caller that closes its connection asks for.
func (s *Server) release(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[c.id] != c.stream {
		return // the engine crashed in between
	}
	delete(s.streams, c.id)
	if !c.stream.done.Load() {
		s.core.Cancel(s.now(), c.id)
	}
}

// job describes the call to the core.
func (c *call) job(r *http.Request) Job {
	prompt := chat.Chain(c.request.Model, c.request.Messages)
	reply := chat.Message{Role: "assistant", Content: c.answer.Text()}
	messages := append(c.request.Messages[:len(c.request.Messages):len(c.request.Messages)], reply)
	return Job{
		Request:  protocol.RequestID(r.Header.Get(protocol.RequestIDHeader)),
		Attempt:  headerInt(r, protocol.AttemptHeader, 1),
		Priority: headerInt(r, protocol.PriorityHeader, defaultPriority),
		Prompt:   prompt,
		Whole:    chat.Chain(c.request.Model, messages),
		Tokens:   c.answer.Len(),
		ResumeAt: c.resumeAt,
		Marked:   marked(c.request.Messages),
	}
}

// next waits until more than sent tokens may be sent, or the job is done.
func (s *Server) next(ctx context.Context, c *call, sent int) (ready int, done bool, err error) {
	for {
		done = c.stream.done.Load()
		ready = int(c.stream.ready.Load())
		if ready > sent || done {
			return ready, done, s.host.Pass(ctx)
		}
		select {
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-c.stream.wake:
		}
	}
}

// sendWhole answers with one JSON document.
func (s *Server) sendWhole(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	sent, done := c.resumeAt, false
	for !done {
		var err error
		if sent, done, err = s.next(ctx, c, sent); err != nil {
			abort(r)
			return
		}
	}
	host.WriteJSON(w, http.StatusOK, chat.Completion{
		ID:     completionID(r),
		Object: "chat.completion",
		Model:  c.request.Model,
		Choices: []chat.Choice{{
			Message:      chat.Message{Role: "assistant", Content: c.answer.From(c.resumeAt)},
			FinishReason: finishStop,
		}},
		Usage: c.usage(),
	})
}

// finishStop is the finish reason of every whole answer.
const finishStop = "stop"

// sendStream answers with server-sent events, one for each token.
func (s *Server) sendStream(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	chunk := chat.Chunk{ID: completionID(r), Object: "chat.completion.chunk", Model: c.request.Model}
	sent, done := c.resumeAt, false
	for !done {
		ready, finished, err := s.next(ctx, c, sent)
		if err != nil {
			abort(r)
			return
		}
		for ; sent < ready; sent++ {
			delta := chat.Delta{Content: c.answer.Token(sent)}
			if sent == 0 {
				delta.Role = "assistant"
			}
			chunk.Choices = []chat.ChunkChoice{{Delta: delta}}
			writeEvent(w, sent, chunk)
		}
		done = finished
		if !done {
			_ = controller.Flush()
		}
	}
	reason, usage := finishStop, c.usage()
	chunk.Choices = []chat.ChunkChoice{{FinishReason: &reason}}
	chunk.Usage = &usage
	writeEvent(w, sent, chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", chat.DoneMarker)
	_ = controller.Flush()
}

// usage counts the tokens of a finished call.
func (c *call) usage() chat.Usage {
	made := c.answer.Len() - c.resumeAt
	return chat.Usage{
		PromptTokens:     c.prompt,
		CompletionTokens: made,
		TotalTokens:      c.prompt + made,
		Details:          chat.PromptDetail{CachedTokens: int(c.stream.cached.Load())},
	}
}

func writeEvent(w io.Writer, id int, chunk chat.Chunk) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

// abort drops the connection of a cancelled call, so that its reader sees a
// cut answer and not a whole one.
func abort(r *http.Request) {
	if r.Context().Err() == nil {
		panic(http.ErrAbortHandler)
	}
}

// refuse answers with an error and attests that the request did not run.
func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(protocol.RunOutcomeHeader, string(protocol.NotRun))
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	host.WriteError(w, status, code, message)
}

func resumeAt(r *http.Request) (int, error) {
	text := r.Header.Get(protocol.ResumeAtHeader)
	if text == "" {
		return 0, nil
	}
	at, err := strconv.ParseUint(text, 10, 31)
	return int(at), err
}

func headerInt(r *http.Request, name string, missing int) int {
	value, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return missing
	}
	return value
}

// marked says whether the last message carries the crash marker. A chat that
// goes on after a crash carries the marker in its past only.
func marked(messages []chat.Message) bool {
	return strings.Contains(messages[len(messages)-1].Content, CrashMarker)
}

func streamKey(request protocol.RequestID, attempt int) string {
	return fmt.Sprintf("%s/%d", request, attempt)
}

// completionID names an answer after its request, or after the time when the
// caller gave the request no name.
func completionID(r *http.Request) string {
	if id := r.Header.Get(protocol.RequestIDHeader); id != "" {
		return "chatcmpl-" + id
	}
	return "chatcmpl-" + strconv.FormatInt(time.Now().UnixNano(), 36)
}
