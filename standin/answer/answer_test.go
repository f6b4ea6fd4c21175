package answer_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol/chat"
	"endiveplank/standin/answer"
)

// The golden text pins the answer: a load tool and a stand-in built at
// different commits must agree on it.
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

func TestRestFollowsFromAnyToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := chat.Request{
			Model:     rapid.StringN(1, 8, -1).Draw(t, "model"),
			Messages:  []chat.Message{{Role: "user", Content: rapid.String().Draw(t, "content")}},
			MaxTokens: rapid.IntRange(0, 50).Draw(t, "max"),
		}
		whole := answer.For(request)
		begun := ""
		for i := range whole.Len() {
			assert.Equal(t, begun+whole.From(i), whole.Text())
			begun += whole.Token(i)
		}
	})
}
