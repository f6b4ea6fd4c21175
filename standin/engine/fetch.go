package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/weights"
)

// fetchRetry is the pause before a failed transfer is asked for again.
const fetchRetry = 500 * time.Millisecond

// fetch loads a model from the weight store until it has it, another order
// takes the model away, or the engine ends.
func (s *Server) fetch(ctx context.Context, order upstreamapi.EngineOrder) {
	for s.wanted(order) {
		if s.transferWeights(ctx, order) {
			s.mu.Lock()
			s.core.Loaded(s.now(), order.Model, order.Version)
			s.mu.Unlock()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchRetry):
		}
	}
}

// wanted says whether the engine still waits for the model in that version.
func (s *Server) wanted(order upstreamapi.EngineOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Loading(order.Model, order.Version)
}

// transferWeights asks the store for the weights and says whether they came.
func (s *Server) transferWeights(ctx context.Context, order upstreamapi.EngineOrder) bool {
	query := url.Values{"model": {string(order.Model)}, "version": {order.Version}}
	address := "http://" + s.settings.WeightStore + weights.Path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	_, err = io.Copy(io.Discard, reply.Body)
	return err == nil && reply.StatusCode == http.StatusOK
}
