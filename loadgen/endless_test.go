package loadgen

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/loadgen/trace"
	"endiveplank/protocol/chat"
	"endiveplank/transport/bounded"
)

// endless reads the same text over and over.
type endless struct {
	text string
	read int
}

func (e *endless) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(buffer)
	return len(buffer), nil
}

// Guards: a target that sends bytes without end fills the memory of the load run.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	for _, text := range []string{"x", "x\n", ": comment\n\n", "data: "} {
		var got attemptResult
		body := &endless{text: text}
		got.readStream(body, chat.Request{}, time.Now())
		assert.Equal(t, got.verdict, cut, "%q", text)
		assert.Assert(t, body.read <= 2*bounded.MaxBodyBytes)
	}
	var got attemptResult
	body := &endless{text: " "}
	got.readOrder(body, &trace.Order{})
	assert.Equal(t, got.verdict, cut)
	assert.Assert(t, body.read <= 2*bounded.MaxReplyBytes)
}

// Guards: the end marker of a stream that breaks off within it counts as the end.
func TestEndMarkerWithoutLineEndIsCut(t *testing.T) {
	var got attemptResult
	got.readStream(strings.NewReader("data: [DONE]"), chat.Request{}, time.Now())
	assert.Equal(t, got.verdict, cut)
}
