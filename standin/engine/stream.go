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

// CrashMarker in the last message of a chat crashes the engine that runs it.
const CrashMarker = "[[crash]]"

// defaultPriority is the priority of a request without a priority header.
const defaultPriority = 1

// maxAnswerTokens limits the number of tokens that one request may ask for.
const maxAnswerTokens = 1 << 16

// stream passes a job's progress from the driver to the request's handler. It
// passes only the number of tokens, since their text follows from the request.
type stream struct {
	key    string
	ready  atomic.Int64 // the tokens of the answer before this index may be sent
	cached atomic.Int64 // prompt tokens that came from the cache
	done   atomic.Bool
	wake   chan struct{}
	cancel context.CancelFunc
}

// update records an event of the job and wakes the handler. The driver calls it.
func (s *stream) update(event Event) {
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
	prompt   int // length of the prompt in tokens
	stream   *stream
	id       JobID
}

// serveCompletions serves CompletionsPath.
func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
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
	s.wakeDriver()
	defer s.release(c)
	if c.request.Stream {
		s.sendStream(ctx, w, r, c)
		return
	}
	s.sendCompletion(ctx, w, r, c)
}

// admit submits the call to the core, or refuses it as not run and returns false.
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
	job := c.job(r)
	id, ok := s.core.Submit(s.now(), job)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "engine-full", "too many requests wait at this engine")
		return false
	}
	c.id = id
	c.prompt = tokensOf(job.Prompt)
	c.stream.key = streamKey(job.Request, job.Attempt)
	c.stream.ready.Store(int64(c.resumeAt))
	s.streams[id] = c.stream
	return true
}

// release removes a call. If it has not finished, because the caller has closed its
// connection or the router has cancelled it, release cancels its job.
func (s *Server) release(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[c.id] != c.stream {
		return // the engine has crashed and restarted since
	}
	delete(s.streams, c.id)
	if !c.stream.done.Load() {
		s.core.Cancel(s.now(), c.id)
	}
}

// job returns the call as a job for the core.
func (c *call) job(r *http.Request) Job {
	prompt := chat.Chain(c.request.Model, c.request.Messages)
	reply := chat.Message{Role: "assistant", Content: c.answer.Text()}
	messages := append(c.request.Messages[:len(c.request.Messages):len(c.request.Messages)], reply)
	return Job{
		Request:         protocol.RequestID(r.Header.Get(protocol.RequestIDHeader)),
		Attempt:         headerInt(r, protocol.AttemptHeader, 1),
		Priority:        headerInt(r, protocol.PriorityHeader, defaultPriority),
		Prompt:          prompt,
		PromptAndAnswer: chat.Chain(c.request.Model, messages),
		Tokens:          c.answer.Len(),
		ResumeAt:        c.resumeAt,
		CrashMarked:     hasCrashMarker(c.request.Messages),
	}
}

// awaitTokens waits until more tokens than sent may be sent, or the job is done. It
// returns an error if the call ends first.
func (s *Server) awaitTokens(ctx context.Context, c *call, sent int) (ready int, done bool, err error) {
	for {
		done = c.stream.done.Load()
		ready = int(c.stream.ready.Load())
		if ready > sent || done {
			return ready, done, s.host.WaitWhileSilent(ctx)
		}
		select {
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-c.stream.wake:
		}
	}
}

// sendCompletion replies with one JSON document.
func (s *Server) sendCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	sent, done := c.resumeAt, false
	for !done {
		var err error
		if sent, done, err = s.awaitTokens(ctx, c, sent); err != nil {
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

// finishStop is the finish reason of every complete answer.
const finishStop = "stop"

// sendStream replies with server-sent events, one for each token.
func (s *Server) sendStream(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	chunk := chat.Chunk{ID: completionID(r), Object: "chat.completion.chunk", Model: c.request.Model}
	sent, done := c.resumeAt, false
	for !done {
		ready, finished, err := s.awaitTokens(ctx, c, sent)
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

// usage returns the token counts of a finished call.
func (c *call) usage() chat.Usage {
	generated := c.answer.Len() - c.resumeAt
	return chat.Usage{
		PromptTokens:     c.prompt,
		CompletionTokens: generated,
		TotalTokens:      c.prompt + generated,
		Details:          chat.PromptDetail{CachedTokens: int(c.stream.cached.Load())},
	}
}

func writeEvent(w io.Writer, id int, chunk chat.Chunk) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

// abort closes the connection of a call that was cancelled or lost in a crash,
// unless the client has closed it. The client then sees that the answer is
// incomplete.
func abort(r *http.Request) {
	if r.Context().Err() == nil {
		panic(http.ErrAbortHandler)
	}
}

// refuse replies with an error and states that the request did not run.
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

func headerInt(r *http.Request, name string, fallback int) int {
	value, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return fallback
	}
	return value
}

// hasCrashMarker reports whether the last message contains the crash marker. A chat
// that continues after a crash has the marker only in earlier messages.
func hasCrashMarker(messages []chat.Message) bool {
	return strings.Contains(messages[len(messages)-1].Content, CrashMarker)
}

// streamKey returns the key by which serveCancel finds the stream of an attempt.
func streamKey(request protocol.RequestID, attempt int) string {
	return fmt.Sprintf("%s/%d", request, attempt)
}

// completionID derives the ID of an answer from the request ID, or from the time
// if the request has none.
func completionID(r *http.Request) string {
	if id := r.Header.Get(protocol.RequestIDHeader); id != "" {
		return "chatcmpl-" + id
	}
	return "chatcmpl-" + strconv.FormatInt(time.Now().UnixNano(), 36)
}
