package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"endiveplank/coordination/node"
	"endiveplank/protocol/upstreamapi"
)

// maxStateBytes is the largest engine state accepted.
const maxStateBytes = 1 << 20

// Order sends an order to an engine and reads the engine's state back, both within
// the given time. It produces exactly one EngineAnswered.
//
// Failure guarded against: this process is frozen between the owner's decision and
// the call, and another owner has sent an order in the meantime. The given time is
// the rest of the lease on the monotonic clock, which goes on during a freeze, and
// nothing is sent on a context that has ended. Bytes that the kernel has already
// accepted can't be recalled; their effect shows when the engine's state is read.
func (c *Client) Order(order node.OrderEngine, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		defer cancel()
		answered := node.EngineAnswered{From: order.From, Request: order.Request}
		if !order.Request.ReadOnly {
			answered.Status = c.postOrder(ctx, order)
		}
		answered.State = c.readState(ctx, order.Address)
		c.sink.Input(answered)
	}()
}

// postOrder sends an order and returns the status of the answer, 0 if none came.
func (c *Client) postOrder(ctx context.Context, order node.OrderEngine) int {
	body, err := json.Marshal(upstreamapi.EngineOrder{
		Fence:   order.Request.Fence,
		Action:  order.Request.Intent.Action,
		Model:   order.Request.Intent.Model,
		Version: order.Request.Intent.Version,
		Role:    order.Request.Intent.Role,
	})
	if err != nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+upstreamapi.OrderPath, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// readState returns an engine's state, nil if it can't be read.
func (c *Client) readState(ctx context.Context, address string) *upstreamapi.EngineState {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+upstreamapi.StatePath, nil)
	if err != nil {
		return nil
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var state upstreamapi.EngineState
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes))
	if response.StatusCode != http.StatusOK || decoder.Decode(&state) != nil {
		return nil
	}
	return &state
}
