package answer_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol/chat"
	"endiveplank/standin/answer"
)

// The load generator and the stand-in engine each compute the answer. If they are
// built from different commits, they must still agree on it, so the text is fixed
// here.
func TestGoldenAnswer(t *testing.T) {
	request := chat.Request{
		Model:     "m1",
		Messages:  []chat.Message{{Role: "user", Content: "How much Jet A for N512GL?"}},
		MaxTokens: 4,
	}
	assert.Equal(t, answer.For(request).Text(), "memida diteze pagoki honete ")
	request.MaxTokens = 0
	assert.Equal(t, answer.For(request).Len(), 62)
}

// An engine that resumes at token i must send what the first engine would have
// sent: the first i tokens and From(i) joined are the complete answer.
func TestAnswerCanBeResumedAtAnyToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := chat.Request{
			Model:     rapid.StringN(1, 8, -1).Draw(t, "model"),
			Messages:  []chat.Message{{Role: "user", Content: rapid.String().Draw(t, "content")}},
			MaxTokens: rapid.IntRange(0, 50).Draw(t, "max"),
		}
		complete := answer.For(request)
		sent := ""
		for i := range complete.Len() {
			assert.Equal(t, sent+complete.From(i), complete.Text())
			sent += complete.Token(i)
		}
	})
}
