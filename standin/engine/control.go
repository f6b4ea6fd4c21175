package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/host"
)

// serveCancel serves CancelPath: status 200 if the request was in flight, 404 if
// not.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request upstreamapi.CancelRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	key := streamKey(request.Request, request.Attempt)
	s.mu.Lock()
	found := false
	for _, target := range s.streams {
		if target.key == key {
			target.cancel()
			found = true
		}
	}
	s.mu.Unlock()
	if !found {
		host.WriteError(w, http.StatusNotFound, "no-such-request", "the request is not in flight here")
		return
	}
	host.WriteJSON(w, http.StatusOK, struct{}{})
}

// Blob is the body of replies at ExportPath and of requests at ImportPath: a chain
// of cache entries from the start of the chat.
type Blob struct {
	Entries []CacheEntry `json:"entries"`
}

// serveExport serves ExportPath: status 404 if the prefix is not cached.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var request upstreamapi.KVExport
	if !host.ReadJSON(w, r, &request) {
		return
	}
	hash, err := strconv.ParseUint(request.Hash, 16, 64)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "bad-hash", "the hash must be 16 hexadecimal digits")
		return
	}
	s.mu.Lock()
	entries := s.core.Export(chat.ChainHash(hash))
	s.mu.Unlock()
	if entries == nil {
		host.WriteError(w, http.StatusNotFound, "not-cached", "the prefix is not in the cache")
		return
	}
	s.delayTransfer(r, entries)
	host.WriteJSON(w, http.StatusOK, Blob{Entries: entries})
}

// serveImport serves ImportPath.
func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob Blob
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, host.MaxBody)).Decode(&blob); err != nil || !formChain(blob.Entries) {
		host.WriteError(w, http.StatusBadRequest, "bad-blob", "the body is no exported cache")
		return
	}
	s.delayTransfer(r, blob.Entries)
	s.mu.Lock()
	s.core.Import(s.now(), blob.Entries)
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, struct{}{})
}

// formChain reports whether entries form one chain from the start of a chat.
func formChain(entries []CacheEntry) bool {
	parent := chat.ChainHash(0)
	for _, entry := range entries {
		if entry.Parent != parent || entry.Tokens < 0 {
			return false
		}
		parent = entry.Hash
	}
	return len(entries) > 0
}

// delayTransfer waits for the time that the transfer of the entries takes, or until
// the client disconnects.
func (s *Server) delayTransfer(r *http.Request, entries []CacheEntry) {
	tokens := 0
	for _, entry := range entries {
		tokens += entry.Tokens
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(tokens) * s.settings.Model.TransferPerToken):
	}
}

// serveOrder serves OrderPath: status 202 if the order is accepted, 409 if it is
// fenced, 400 if the action is unknown.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order upstreamapi.EngineOrder
	if !host.ReadJSON(w, r, &order) {
		return
	}
	result, state := s.applyOrder(order)
	switch result {
	case OrderFenced:
		w.Header().Set(protocol.RunOutcomeHeader, string(protocol.NotRun))
		host.WriteError(w, http.StatusConflict, "old-fence", "a higher fencing number was seen")
	case OrderUnknown:
		host.WriteError(w, http.StatusBadRequest, "unknown-action", "the action must be load, unload or role")
	default:
		host.WriteJSON(w, http.StatusAccepted, state)
	}
}

// applyOrder gives an order to the core. If the order makes the engine wait for a
// model from the weight store, applyOrder starts to fetch it.
func (s *Server) applyOrder(order upstreamapi.EngineOrder) (OrderResult, upstreamapi.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waitedBefore := s.core.AwaitsTransfer(order.Model, order.Version)
	result := s.core.Order(s.now(), order)
	if !waitedBefore && s.core.AwaitsTransfer(order.Model, order.Version) {
		go s.fetchWeights(s.ctx, order)
	}
	return result, s.core.State(s.now())
}

// serveState serves StatePath.
func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.core.State(s.now())
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, state)
}
