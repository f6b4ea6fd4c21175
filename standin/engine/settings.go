// Package engine is a small model of a model engine, for tests, demonstrations
// and measurements of the router fleet.
//
// Core is the model itself, a pure step function over a passed clock. It works
// in iterations, as engines with continuous batching do. At the start of an
// iteration, waiting requests join the batch, the most urgent priority first.
// An iteration costs a fixed time, a time for each prompt token that it
// prefills (at most PrefillChunk of them) and a time for each sequence that it
// decodes; at its end each decoded sequence has one more token. Prompt prefixes
// stay in a cache of limited size, evicted least recently used first, and a
// request prefills only what the cache lacks. Every change of the cache is a
// numbered event; events are published late and, by setting, with gaps. Load
// is reported as it was some time ago.
//
// Server puts HTTP around the core: the chat API, cancellation, resumption,
// export and import of cache, engine orders with fencing, announcements, and
// faults that POST /faults switches at run time. The text of an answer comes
// from package answer, so a checker knows every byte in advance.
//
// docs/STANDIN.md documents the costs, the faults and the endpoints.
package engine

import (
	"time"

	"endiveplank/protocol"
)

// Settings describe one engine. Start from DefaultSettings.
type Settings struct {
	ID         protocol.UpstreamID
	DataCentre protocol.DataCentre
	// Listen is the host:port to serve on.
	Listen string
	// Announce holds the routers' upstream addresses, host:port.
	Announce []string
	// WeightStore is the address, host:port, of a weight store that the engine
	// shares with others. When it is empty, a load takes CostModel.LoadTime.
	WeightStore string
	// Models are loaded at the start.
	Models []protocol.Model
	Role   string
	// Seed drives the gaps in cache events.
	Seed  uint64
	Model CostModel
	// Faults in force at the start.
	Faults Faults
	// OnCrash is called when a marked request crashes the engine. When it is
	// nil the server drops everything instead, as the end of a process would.
	OnCrash func()
	// RestartAfter brings a server that dropped everything back, with an empty
	// cache and a higher incarnation. Zero leaves it down.
	RestartAfter time.Duration
}

// CostModel holds what the engine's work costs. The defaults give a full batch
// of 16 about 2,000 tokens a second and a token every 8 ms.
type CostModel struct {
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// MaxWaiting is the number of requests that may wait for the batch; more
	// are refused as not run.
	MaxWaiting int
	// IterationBase is the fixed cost of one iteration.
	IterationBase time.Duration
	// DecodePerSequence is the cost of one token of one sequence.
	DecodePerSequence time.Duration
	// PrefillPerToken is the cost of one prompt token that is not cached.
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens of one iteration, so that a long
	// prompt does not hold up the tokens of its neighbours.
	PrefillChunk int
	// CacheTokens is the size of the prefix cache, in tokens.
	CacheTokens int
	// TransferPerToken is the cost of one token of exported or imported cache.
	TransferPerToken time.Duration
	// LoadTime is what the weight store needs for one model. Loads of one
	// engine follow each other.
	LoadTime time.Duration
}

// DefaultCostModel returns the costs that docs/STANDIN.md documents.
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

// Capacity returns the tokens a second that a full batch decodes.
func (m CostModel) Capacity() float64 {
	iteration := m.IterationBase + time.Duration(m.MaxBatch)*m.DecodePerSequence
	return float64(m.MaxBatch) / iteration.Seconds()
}

// DefaultSettings returns an engine on a free loopback port.
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

// Faults are what an engine can be made to do wrong. POST /faults takes any
// subset of the fields as JSON and GET /faults returns them all. Durations are
// in milliseconds.
type Faults struct {
	// SlowFactor multiplies the cost of iterations that begin from now on.
	SlowFactor float64 `json:"slow_factor"`
	// Stall stops all tokens; requests are still taken.
	Stall bool `json:"stall"`
	// StallAfterTokens stops each stream for good once it sent this many
	// tokens. Zero switches it off.
	StallAfterTokens int `json:"stall_after_tokens"`
	// Silent hangs every request on every connection without closing.
	Silent bool `json:"silent"`
	// ForgetOpen hangs the connections open at this moment for good; new ones
	// work. It reads back as false.
	ForgetOpen bool `json:"forget_open,omitempty"`
	// Mute stops the announcements.
	Mute bool `json:"mute"`
	// Crash drops everything now, or ends the process. It reads back as false.
	Crash bool `json:"crash,omitempty"`
	// Leaving announces that the engine takes no more work.
	Leaving bool `json:"leaving"`
	// IgnoreFence runs engine orders that carry an old fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// EventDelayMs is the age at which a cache event is published.
	EventDelayMs int `json:"event_delay_ms"`
	// EventGap is the probability that a batch of cache events is lost.
	EventGap float64 `json:"event_gap"`
	// LoadLagMs is the age of the load that announcements report.
	LoadLagMs int `json:"load_lag_ms"`
}
