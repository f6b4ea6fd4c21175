// Package upstreamapi defines the HTTP paths and JSON messages between routers
// and upstreams.
//
// An upstream sends an Announcement to any router with POST AnnouncePath and
// repeats it every AnnounceInterval. Before it stops it sends Leave with POST
// LeavePath. A router calls the upstream at the address it announced:
// CompletionsPath for chats, any path for plain services, and for engines the
// control paths below.
//
// Incarnations and sequence numbers let a router ignore late messages, and
// fencing numbers let an engine refuse an order from a router that has been
// replaced.
package upstreamapi

import (
	"time"

	"endiveplank/protocol"
)

// Paths on routers, called by upstreams.
const (
	AnnouncePath = "/v1/upstreams/announce"
	LeavePath    = "/v1/upstreams/leave"
)

// Paths on engines, called by routers.
const (
	// CompletionsPath accepts a chat request and streams its answer. Closing
	// the connection cancels the request.
	CompletionsPath = "/v1/chat/completions"
	// CancelPath accepts a CancelRequest.
	CancelPath = "/v1/cancel"
	// ExportPath accepts a KVExport and responds with the cache blob.
	ExportPath = "/v1/kv/export"
	// ImportPath accepts a cache blob from ExportPath as its body.
	ImportPath = "/v1/kv/import"
	// OrderPath accepts an EngineOrder; 409 means that its fencing number is old.
	OrderPath = "/v1/engine/orders"
	// StatePath responds to GET with an EngineState, which shows whether an order
	// was carried out.
	StatePath = "/v1/engine/state"
)

// AnnounceInterval is the time between two announcements of an upstream. After
// three missed announcements the upstream is suspected.
const AnnounceInterval = 500 * time.Millisecond

// Kind is the kind of an upstream: a model engine or a server of a plain service.
type Kind string

const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Announcement is the body of POST AnnouncePath: the upstream's identity, what it
// serves, its load as it last counted it, and the cache events since the last
// announcement.
type Announcement struct {
	ID protocol.UpstreamID `json:"id"`
	// Incarnation increases with each start of the upstream. An announcement with
	// a lower incarnation than the last seen is late and is ignored.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Address is the IP:port at which routers reach the upstream; host names are
	// not allowed.
	Address    string              `json:"address"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Models     []protocol.Model    `json:"models,omitempty"`
	Service    protocol.Service    `json:"service,omitempty"`
	Role       string              `json:"role,omitempty"`
	// Build is the version of the upstream's software. A stream goes on only at the build
	// that began it.
	Build string `json:"build,omitempty"`
	// Capacity is the upstream's weight relative to others: for an engine, tokens
	// per second at full batch.
	Capacity float64 `json:"capacity"`
	// MaxConcurrent is the number of requests the upstream runs at once.
	MaxConcurrent int `json:"max_concurrent"`
	// ChecksFence says whether the upstream refuses an order with an old fencing
	// number.
	ChecksFence bool `json:"checks_fence"`
	// Leaving means that the upstream finishes its requests and accepts no more.
	Leaving bool        `json:"leaving,omitempty"`
	Load    Load        `json:"load"`
	Cache   *CacheBatch `json:"cache,omitempty"`
}

// Load is an upstream's own count of its requests. It is out of date by the time
// a router receives it.
type Load struct {
	Running           int `json:"running"`
	Waiting           int `json:"waiting"`
	OutstandingTokens int `json:"outstanding_tokens"`
}

// CacheOp is what happened to a prefix in an engine's cache.
type CacheOp string

const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent is one change of an engine's prompt cache.
type CacheEvent struct {
	Op CacheOp `json:"op"`
	// Hash is a chat.ChainHash in hexadecimal, 16 digits.
	Hash string `json:"hash"`
}

// CacheBatch is a sequence of consecutive cache events. The engine numbers its
// events without gaps, so a receiver that expected another First has missed
// events.
type CacheBatch struct {
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// Leave is the body of POST LeavePath.
type Leave struct {
	ID          protocol.UpstreamID `json:"id"`
	Incarnation uint64              `json:"incarnation"`
}

// CancelRequest is the body of POST CancelPath.
type CancelRequest struct {
	Request protocol.RequestID `json:"request"`
	Attempt int                `json:"attempt"`
}

// KVExport is the body of POST ExportPath.
type KVExport struct {
	Hash string `json:"hash"`
}

// EngineAction is the action that an engine order requests.
type EngineAction string

const (
	ActionLoad   EngineAction = "load"
	ActionUnload EngineAction = "unload"
	ActionRole   EngineAction = "role"
)

// EngineOrder is the body of POST OrderPath.
type EngineOrder struct {
	Fence  protocol.Fence `json:"fence"`
	Action EngineAction   `json:"action"`
	Model  protocol.Model `json:"model,omitempty"`
	// Version selects the weights or an adapter of the model.
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// EngineState is the response to GET StatePath.
type EngineState struct {
	Fence  protocol.Fence `json:"fence"`
	Models []LoadedModel  `json:"models"`
	Role   string         `json:"role"`
}

// LoadedModel is a model that an engine has loaded, or is loading if Ready is
// false.
type LoadedModel struct {
	Model   protocol.Model `json:"model"`
	Version string         `json:"version"`
	Ready   bool           `json:"ready"`
}
