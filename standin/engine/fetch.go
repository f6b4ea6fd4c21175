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

// fetchRetry is the pause before the engine requests a failed transfer again.
const fetchRetry = 500 * time.Millisecond

// fetchWeights requests a model from the weight store until it has been transferred,
// another order makes it unnecessary, or the engine ends.
func (s *Server) fetchWeights(ctx context.Context, order upstreamapi.EngineOrder) {
	for s.awaitsWeights(order) {
		if s.transferWeights(ctx, order) {
			s.mu.Lock()
			s.core.FinishTransfer(s.now(), order.Model, order.Version)
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

// awaitsWeights reports whether the engine still waits for the model in the order's
// version.
func (s *Server) awaitsWeights(order upstreamapi.EngineOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.AwaitsTransfer(order.Model, order.Version)
}

// transferWeights requests the weights from the store and reports whether the
// transfer succeeded.
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
