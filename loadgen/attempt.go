package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"endiveplank/loadgen/trace"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/standin/answer"
	"endiveplank/standin/desk"
)

// maxErrorBody bounds what is read of an error answer, in bytes.
const maxErrorBody = 64 << 10

// attempt sends a request once to one target and judges the answer.
func (r *runner) attempt(ctx context.Context, target string, item trace.Item) reply {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	request, err := r.build(ctx, target, item)
	if err != nil {
		return reply{verdict: failed}
	}
	began := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return reply{verdict: failed, retry: true}
	}
	defer response.Body.Close()
	got := reply{
		status:  response.StatusCode,
		outcome: response.Header.Get(protocol.RunOutcomeHeader),
		request: response.Header.Get(protocol.RequestIDHeader),
	}
	switch {
	case response.StatusCode != http.StatusOK:
		got.readRefusal(response)
	case item.Order != nil:
		got.readOrder(response.Body, item.Order)
	default:
		got.readStream(response.Body, item.Request, began)
	}
	got.took = time.Since(began)
	return got
}

// build makes the HTTP request of an item.
func (r *runner) build(ctx context.Context, target string, item trace.Item) (*http.Request, error) {
	url, body := "http://"+target+"/v1/chat/completions", []byte(nil)
	if item.Order != nil {
		url, body = "http://"+target+r.options.OrderPath, item.Order.Body
	} else {
		encoded, err := json.Marshal(item.Request)
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.options.key(item.Customer))
	if item.Order != nil {
		request.Header.Set(protocol.IdempotencyKeyHeader, item.Order.Key)
	}
	return request, nil
}

// readRefusal reads an error answer. Another attempt is made where the answer
// says when to come back, or where the target itself failed.
func (g *reply) readRefusal(response *http.Response) {
	g.verdict = refused
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var body chat.ErrorBody
	if json.Unmarshal(text, &body) == nil {
		g.code = body.Error.Code
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		g.retryAfter = time.Duration(seconds) * time.Second
	}
	g.retry = err == nil || response.StatusCode >= http.StatusInternalServerError
}

// readOrder compares the answer to an order with the one that the desk gives
// to this key and body.
func (g *reply) readOrder(body io.Reader, order *trace.Order) {
	text, err := io.ReadAll(body)
	if err != nil {
		g.verdict, g.retry = cut, true
		return
	}
	var told desk.Answer
	if json.Unmarshal(text, &told) != nil || told != desk.AnswerFor(order.Key, order.Body) {
		g.verdict = wrong
	}
}

// readStream reads a streamed answer to its end marker and compares it with
// the one that package answer gives.
func (g *reply) readStream(body io.Reader, request chat.Request, began time.Time) {
	var text strings.Builder
	last := began
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			g.verdict = cut
			return
		}
		data, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == chat.DoneMarker {
			break
		}
		if !g.readChunk(data, &text) {
			return
		}
		last = g.noteToken(began, last)
	}
	if text.String() != answer.For(request).Text() {
		g.verdict = wrong
	}
}

// readChunk adds one event's text. It returns false for an error in the stream.
func (g *reply) readChunk(data string, text *strings.Builder) bool {
	var chunk struct {
		chat.Chunk
		chat.ErrorBody
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Error.Message != "" {
		g.verdict = cut
		g.code = chunk.Error.Code
		return false
	}
	if chunk.Usage != nil {
		g.prompt = chunk.Usage.PromptTokens
		g.cached = chunk.Usage.Details.CachedTokens
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			text.WriteString(choice.Delta.Content)
			g.tokens++
		}
	}
	return true
}

// noteToken times a token that has just been counted. The event that ends the
// answer brings none.
func (g *reply) noteToken(began, last time.Time) time.Time {
	now := time.Now()
	switch {
	case g.tokens == 1 && g.firstToken == 0:
		g.firstToken = now.Sub(began)
	case g.tokens == len(g.between)+2:
		g.between = append(g.between, now.Sub(last))
	}
	return now
}
