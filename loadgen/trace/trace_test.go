package trace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/loadgen/trace"
	"endiveplank/protocol/chat"
	"endiveplank/standin/answer"
)

const items = 5000

func draw(model trace.Model) []trace.Item {
	generator := trace.New(model, rand.New(rand.NewPCG(7, 7)))
	drawn := make([]trace.Item, items)
	for i := range drawn {
		drawn[i] = generator.Next()
	}
	return drawn
}

// Two runs with the same seed are only comparable if they send the same requests.
func TestSameSeedSameTrace(t *testing.T) {
	assert.DeepEqual(t, draw(trace.DefaultModel()), draw(trace.DefaultModel()))
}

// The trace must have the shares of large customers, orders, resent orders,
// returning chats and bursts that the model asks for, and a returning chat must
// carry its whole history.
func TestShapeOfTheTrace(t *testing.T) {
	model := trace.DefaultModel()
	customers := make([]int, model.Customers)
	last := map[uint64]chat.Request{}
	var orders, resent, returning, inBurst int
	var now time.Duration
	for _, item := range draw(model) {
		assert.Assert(t, item.At >= now)
		now = item.At
		customers[item.Customer]++
		if item.Order != nil {
			orders++
			if item.Order.Resend {
				resent++
			}
			continue
		}
		if now >= model.BurstEvery && now < model.BurstEvery+model.BurstLength && item.Customer == 1 {
			inBurst++
		}
		before, seen := last[item.Chat]
		assert.Equal(t, seen, item.Turn > 0)
		if seen {
			returning++
			history := append(before.Messages, chat.Message{Role: "assistant", Content: answer.For(before).Text()})
			assert.DeepEqual(t, item.Request.Messages[:len(history)], history)
		}
		last[item.Chat] = item.Request
	}
	shape := fmt.Sprintf("largest customer %d%%, orders %d%%, resent %d%%, returning %d%%, in first burst %d",
		100*customers[0]/items, 100*orders/items, 100*resent/orders, 100*returning/items, inBurst)
	assert.Equal(t, shape, "largest customer 20%, orders 4%, resent 9%, returning 58%, in first burst 226")
}
