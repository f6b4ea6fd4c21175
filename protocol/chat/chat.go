// Package chat defines the callers' API: the common chat completions API, its
// error bodies, and the hash chain by which a router recognises the next request
// of a chat and sends it to an engine that has the earlier messages in its cache.
package chat

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of POST /v1/chat/completions. The router sends the original
// body to the upstream, so fields that are not listed here reach it unchanged.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Delta is the text that one streamed chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is the single choice of a streamed chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens of a finished request.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          PromptDetail `json:"prompt_tokens_details"`
}

// PromptDetail says how many prompt tokens came from the engine's cache.
type PromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one server-sent event of a streamed answer. Its event ID is the index
// of its token, from 0, and tells where to resume a broken stream. The stream
// ends with the data line DoneMarker.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// DoneMarker is the data of the last event of a streamed answer.
const DoneMarker = "[DONE]"

// Choice is the single choice of an answer that is not streamed.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Completion is an answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// ErrorBody is the body of every error answer, in the shape that chat API
// clients expect.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail names the cause of an error answer.
type ErrorDetail struct {
	// Message tells a person the cause and what to do next.
	Message string `json:"message"`
	// Type groups errors as chat API clients do: invalid_request_error,
	// authentication_error, permission_error, rate_limit_error,
	// overloaded_error, server_error.
	Type string `json:"type"`
	// Code is the fleet's own reason code, listed in docs/REASONS.md.
	Code string `json:"code"`
	// Outcome is the RunOutcome of the request: not-run, ran or unknown.
	Outcome string `json:"outcome"`
}
