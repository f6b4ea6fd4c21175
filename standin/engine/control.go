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

// cancel serves CancelPath: 200 when the request was in flight, 404 when not.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
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

// Blob is the body that ExportPath answers with and ImportPath takes: a chain
// of cache entries, start of the chat first.
type Blob struct {
	Entries []CacheEntry `json:"entries"`
}

// export serves ExportPath: 404 when the prefix is not cached.
func (s *Server) export(w http.ResponseWriter, r *http.Request) {
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
	s.transfer(r, entries)
	host.WriteJSON(w, http.StatusOK, Blob{Entries: entries})
}

// importCache serves ImportPath.
func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	var blob Blob
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, host.MaxBody)).Decode(&blob); err != nil || !linked(blob.Entries) {
		host.WriteError(w, http.StatusBadRequest, "bad-blob", "the body is no exported cache")
		return
	}
	s.transfer(r, blob.Entries)
	s.mu.Lock()
	s.core.Import(s.now(), blob.Entries)
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, struct{}{})
}

// linked says whether entries form one chain from the start of a chat.
func linked(entries []CacheEntry) bool {
	parent := chat.ChainHash(0)
	for _, entry := range entries {
		if entry.Parent != parent || entry.Tokens < 0 {
			return false
		}
		parent = entry.Hash
	}
	return len(entries) > 0
}

// transfer takes the time that moving the entries' cache costs.
func (s *Server) transfer(r *http.Request, entries []CacheEntry) {
	tokens := 0
	for _, entry := range entries {
		tokens += entry.Tokens
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(tokens) * s.settings.Model.TransferPerToken):
	}
}

// order serves OrderPath: 202 when taken, 409 when fenced.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order upstreamapi.EngineOrder
	if !host.ReadJSON(w, r, &order) {
		return
	}
	result, state := s.carryOut(order)
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

// carryOut gives an order to the core, and fetches the model that a load then
// waits for.
func (s *Server) carryOut(order upstreamapi.EngineOrder) (OrderResult, upstreamapi.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := s.core.Loading(order.Model, order.Version)
	result := s.core.Order(s.now(), order)
	if !waited && s.core.Loading(order.Model, order.Version) {
		go s.fetch(s.ctx, order)
	}
	return result, s.core.State(s.now())
}

// state serves StatePath.
func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.core.State(s.now())
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, state)
}
