// Package engine is a stand-in for an engine that serves language models. It is
// used for tests, demonstrations and measurements of the router fleet.
//
// Core simulates the engine's timing. It reads no clock: its caller passes the
// time. It works in iterations, as engines with continuous batching do. At the
// start of an iteration, waiting requests join the batch, the most urgent priority
// first. An iteration takes a fixed time, plus a time for each prompt token that it
// prefills (at most PrefillChunk tokens), plus a time for each sequence that it
// decodes. At its end each decoded sequence has one more token. Prompt prefixes
// stay in a cache of limited size, which evicts the least recently used first, and
// a request prefills only the tokens that are not cached. Every change of the cache
// is a numbered event. Faults can make the engine publish events late or with gaps,
// and report its load with a lag.
//
// Server serves the core over HTTP: the chat API, cancellation, resumption, export
// and import of cache entries, engine orders with fencing, and the faults, which
// POST /faults changes at run time. It also announces the engine to the routers.
// The text of an answer comes from the package answer, so a checker can compute
// every byte in advance.
//
// docs/STANDIN.md documents the costs, the faults and the endpoints.
package engine

import (
	"time"

	"endiveplank/protocol"
)

// Settings are the settings of one engine. DefaultSettings returns usable ones.
type Settings struct {
	ID         protocol.UpstreamID
	DataCentre protocol.DataCentre
	// Listen is the host:port to serve on.
	Listen string
	// Announce holds the addresses at which routers take announcements, host:port.
	Announce []string
	// WeightStore is the address, host:port, of a weight store that the engine
	// shares with others. If it is empty, a load takes CostModel.LoadTime.
	WeightStore string
	// Models are the models that the engine has when it starts.
	Models []protocol.Model
	Role   string
	// Build is the version of the engine's software, as it announces it.
	Build string
	// Seed seeds the random source of the gaps in cache events.
	Seed  uint64
	Model CostModel
	// Faults are the faults in force when the engine starts.
	Faults Faults
	// OnCrash is called when the engine crashes, by Faults.Crash or by a request
	// with CrashMarker. If it is nil, the server closes its listener and its
	// connections instead, as when a process dies.
	OnCrash func()
	// RestartAfter is the time after which a crashed server restarts, with an empty
	// cache and a higher incarnation. Zero means that it stays down.
	RestartAfter time.Duration
}

// CostModel holds the limits of the engine and the time that its work takes. With
// the defaults, a full batch of 16 decodes about 2,000 tokens per second, and each
// of its sequences gets a token every 8 ms.
type CostModel struct {
	// MaxBatch is the largest number of requests that run at once.
	MaxBatch int
	// MaxWaiting is the largest number of requests that wait to join the batch. The
	// engine refuses further ones as not run.
	MaxWaiting int
	// IterationBase is the fixed time of one iteration.
	IterationBase time.Duration
	// DecodePerSequence is the time to decode one token of one sequence.
	DecodePerSequence time.Duration
	// PrefillPerToken is the time to prefill one prompt token that is not cached.
	PrefillPerToken time.Duration
	// PrefillChunk is the most prompt tokens that one iteration prefills, so that a
	// long prompt doesn't delay the tokens of the other requests in the batch.
	PrefillChunk int
	// CacheTokens is the size of the prefix cache, in tokens.
	CacheTokens int
	// TransferPerToken is the time to export or import one cached token.
	TransferPerToken time.Duration
	// LoadTime is how long one model takes to load without a shared weight store.
	// An engine loads one model at a time.
	LoadTime time.Duration
}

// DefaultCostModel returns the default costs, which docs/STANDIN.md documents.
func DefaultCostModel() CostModel {
	return CostModel{
		MaxBatch:          16,
		MaxWaiting:        256,
		IterationBase:     5 * time.Millisecond,
		DecodePerSequence: 200 * time.Microsecond,
		PrefillPerToken:   50 * time.Microsecond,
		PrefillChunk:      512,
		CacheTokens:       200_000,
		TransferPerToken:  2 * time.Microsecond,
		LoadTime:          5 * time.Second,
	}
}

// Capacity returns the number of tokens that a full batch decodes per second.
func (m CostModel) Capacity() float64 {
	iteration := m.IterationBase + time.Duration(m.MaxBatch)*m.DecodePerSequence
	return float64(m.MaxBatch) / iteration.Seconds()
}

// DefaultSettings returns the settings of an engine that listens on a free loopback
// port and simulates no faults.
func DefaultSettings(id protocol.UpstreamID, models ...protocol.Model) Settings {
	return Settings{
		ID:         id,
		DataCentre: "dc1",
		Listen:     "127.0.0.1:0",
		Models:     models,
		Role:       "serve",
		Seed:       1,
		Model:      DefaultCostModel(),
		Faults:     Faults{SlowFactor: 1},
	}
}

// Faults are the failures that an engine can simulate. POST /faults takes any
// subset of the fields as JSON, and GET /faults returns all of them. Durations are
// in milliseconds.
type Faults struct {
	// SlowFactor multiplies the time of iterations that start from now on. A value
	// below 1 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// Stall stops all tokens. The engine still accepts requests.
	Stall bool `json:"stall"`
	// StallAfterTokens stalls each request once it has sent this many tokens, for
	// as long as the fault is in force. Zero turns it off.
	StallAfterTokens int `json:"stall_after_tokens"`
	// Silent makes every request on every connection hang without closing it.
	Silent bool `json:"silent"`
	// ForgetOpen makes the connections that are open at this moment hang for good
	// while new ones work. It is an action, not a state, and reads back as false.
	ForgetOpen bool `json:"forget_open,omitempty"`
	// Mute stops the announcements.
	Mute bool `json:"mute"`
	// Crash crashes the engine now, as Settings.OnCrash describes. It is an action,
	// not a state, and reads back as false.
	Crash bool `json:"crash,omitempty"`
	// Leaving announces that the engine accepts no more requests.
	Leaving bool `json:"leaving"`
	// IgnoreFence makes the engine apply engine orders with an old fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// EventDelayMs is the age that a cache event must have to be published.
	EventDelayMs int `json:"event_delay_ms"`
	// EventGap is the probability that a batch of cache events is lost.
	EventGap float64 `json:"event_gap"`
	// LoadLagMs is the age of the load that announcements report.
	LoadLagMs int `json:"load_lag_ms"`
}
