// Package announce serves the HTTP listener on which upstreams register themselves
// (announcements) and deregister. Handler checks each message and passes the valid
// ones to a Sink.
//
// It guards against faulty upstreams and unknown senders: an invalid announcement
// (not JSON, too large, an impossible capacity or load, an address that isn't an
// IP:port) is refused with the reason and changes nothing.
package announce

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"

	"endiveplank/coordination/node"
	"endiveplank/protocol/upstreamapi"
)

// Limits of one announcement.
const (
	// maxBytes bounds the body. An announcement with a full batch of cache events
	// fits.
	maxBytes = 256 << 10
	// maxName is the maximum length of a name in bytes.
	maxName = 128
	// maxModels is the maximum number of models of one engine.
	maxModels = 64
	// maxConcurrent is the highest concurrency limit that an upstream can announce.
	maxConcurrent = 100_000
	// maxCapacity is the highest capacity in tokens per second.
	maxCapacity = 1e9
	// maxTokens is the highest number of outstanding tokens that an upstream can
	// report as its load.
	maxTokens = 1 << 40
)

// Sink receives the valid announcements and leave messages.
type Sink interface{ Input(node.Input) }

// Handler serves the upstreams' listener.
type Handler struct {
	sink    Sink
	refused atomic.Uint64
	mux     *http.ServeMux
}

// New returns a handler that passes valid messages to sink.
func New(sink Sink) *Handler {
	h := &Handler{sink: sink, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+upstreamapi.AnnouncePath, h.announce)
	h.mux.HandleFunc("POST "+upstreamapi.LeavePath, h.leave)
	return h
}

// ServeHTTP routes one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Refused returns how many messages were refused.
func (h *Handler) Refused() uint64 { return h.refused.Load() }

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var announcement upstreamapi.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(&announcement); err != nil {
		h.refuse(w, "the body isn't an announcement: "+err.Error())
		return
	}
	if problem := Check(announcement); problem != "" {
		h.refuse(w, problem)
		return
	}
	h.sink.Input(node.UpstreamAnnounced{Announcement: announcement})
	reply(w, http.StatusOK, upstreamapi.AnnounceReply{Accepted: true})
}

func (h *Handler) leave(w http.ResponseWriter, r *http.Request) {
	var leave upstreamapi.Leave
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(&leave); err != nil || !isName(string(leave.ID)) {
		h.refuse(w, "the body names no upstream")
		return
	}
	h.sink.Input(node.UpstreamLeaving{Leave: leave})
	reply(w, http.StatusOK, upstreamapi.AnnounceReply{Accepted: true})
}

func (h *Handler) refuse(w http.ResponseWriter, why string) {
	h.refused.Add(1)
	reply(w, http.StatusBadRequest, upstreamapi.AnnounceReply{Reason: why})
}

func reply(w http.ResponseWriter, status int, body upstreamapi.AnnounceReply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Check describes what is wrong with an announcement. It returns an empty string
// for a valid one.
func Check(a upstreamapi.Announcement) string {
	switch {
	case !isName(string(a.ID)):
		return "id must have 1 to 128 visible characters"
	case a.Kind != upstreamapi.KindEngine && a.Kind != upstreamapi.KindService:
		return "kind must be engine or service"
	case !isAddress(a.Address):
		return "address must be IP:port"
	case !isName(string(a.DataCentre)):
		return "data_centre must have 1 to 128 visible characters"
	case a.Kind == upstreamapi.KindService && !isName(string(a.Service)):
		return "service must be set for kind service"
	case len(a.Models) > maxModels:
		return fmt.Sprintf("models may have %d entries", maxModels)
	case !(a.Capacity > 0 && a.Capacity <= maxCapacity):
		return "capacity must be above 0 and at most 1e9 tokens a second"
	case a.MaxConcurrent < 1 || a.MaxConcurrent > maxConcurrent:
		return fmt.Sprintf("max_concurrent must be from 1 to %d", maxConcurrent)
	}
	return checkDetails(a)
}

func checkDetails(a upstreamapi.Announcement) string {
	for _, model := range a.Models {
		if !isName(string(model)) {
			return "each model must have 1 to 128 visible characters"
		}
	}
	load := a.Load
	if load.Running < 0 || load.Waiting < 0 || load.OutstandingTokens < 0 || load.OutstandingTokens > maxTokens {
		return "load must not be negative or impossible"
	}
	return ""
}

func isName(text string) bool {
	return text != "" && len(text) <= maxName && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

func isAddress(text string) bool {
	parsed, err := netip.ParseAddrPort(text)
	return err == nil && parsed.Port() != 0
}
