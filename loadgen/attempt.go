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
	"endiveplank/transport/bounded"
)

// maxErrorBody is the most that is read of an error response, in bytes.
const maxErrorBody = 64 << 10

// attempt sends a request once to one target and checks the answer.
func (r *runner) attempt(ctx context.Context, target string, item trace.Item) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	request, err := r.buildRequest(ctx, target, item)
	if err != nil {
		return attemptResult{verdict: failed}
	}
	began := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return attemptResult{verdict: failed, retry: true}
	}
	defer response.Body.Close()
	got := attemptResult{
		status:    response.StatusCode,
		outcome:   response.Header.Get(protocol.RunOutcomeHeader),
		requestID: response.Header.Get(protocol.RequestIDHeader),
	}
	switch {
	case response.StatusCode != http.StatusOK:
		got.readRefusal(response)
	case item.Order != nil:
		got.readOrder(response.Body, item.Order)
	default:
		got.readStream(response.Body, item.Request, began)
	}
	got.duration = time.Since(began)
	return got
}

// buildRequest returns the HTTP request of an item.
func (r *runner) buildRequest(ctx context.Context, target string, item trace.Item) (*http.Request, error) {
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

// readRefusal reads an error response. Another attempt is allowed if the response
// has a Retry-After header or the target itself failed (status 500 or above).
func (g *attemptResult) readRefusal(response *http.Response) {
	g.verdict = refused
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var body chat.ErrorBody
	if json.Unmarshal(text, &body) == nil {
		g.reasonCode = body.Error.Code
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		g.retryAfter = time.Duration(seconds) * time.Second
	}
	g.retry = err == nil || response.StatusCode >= http.StatusInternalServerError
}

// readOrder compares the answer to an order with the one that the order desk
// gives for this key and body.
func (g *attemptResult) readOrder(body io.Reader, order *trace.Order) {
	text, err := bounded.ReadAll(body, "the answer to an order")
	if err != nil {
		g.verdict, g.retry = cut, true
		return
	}
	var answered desk.Answer
	if json.Unmarshal(text, &answered) != nil || answered != desk.AnswerFor(order.Key, order.Body) {
		g.verdict = wrong
	}
}

// readStream reads a streamed answer up to its end marker and compares it with
// the one that package answer computes for the request.
func (g *attemptResult) readStream(body io.Reader, request chat.Request, began time.Time) {
	var text strings.Builder
	last := began
	lines := bufio.NewScanner(bounded.NewLimitedReader(body, bounded.MaxBodyBytes, "the stream"))
	lines.Buffer(nil, bounded.MaxEventBytes)
	lines.Split(splitWholeLines)
	for {
		if !lines.Scan() {
			g.verdict = cut
			return
		}
		data, found := strings.CutPrefix(lines.Text(), "data:")
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
		last = g.recordToken(began, last)
	}
	if text.String() != answer.For(request).Text() {
		g.verdict = wrong
	}
}

// splitWholeLines is bufio.ScanLines except that it drops a last line without a line end, which the
// target hasn't finished.
func splitWholeLines(data []byte, atEnd bool) (int, []byte, error) {
	if atEnd && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEnd)
}

// readChunk appends the text of one event and counts its tokens. It returns false
// for an error in the stream.
func (g *attemptResult) readChunk(data string, text *strings.Builder) bool {
	var chunk struct {
		chat.Chunk
		chat.ErrorBody
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Error.Message != "" {
		g.verdict = cut
		g.reasonCode = chunk.Error.Code
		return false
	}
	if chunk.Usage != nil {
		g.promptTokens = chunk.Usage.PromptTokens
		g.cachedTokens = chunk.Usage.Details.CachedTokens
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			text.WriteString(choice.Delta.Content)
			g.tokens++
		}
	}
	return true
}

// recordToken records the time of the token that has just been counted, and
// returns the current time. It records nothing for an event without a token, such
// as the one that ends the answer.
func (g *attemptResult) recordToken(began, last time.Time) time.Time {
	now := time.Now()
	switch {
	case g.tokens == 1 && g.firstToken == 0:
		g.firstToken = now.Sub(began)
	case g.tokens == len(g.tokenGaps)+2:
		g.tokenGaps = append(g.tokenGaps, now.Sub(last))
	}
	return now
}
