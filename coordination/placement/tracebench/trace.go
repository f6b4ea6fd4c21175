package tracebench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/protocol/chat"
)

// TraceConfig describes a trace.
type TraceConfig struct {
	Seed         uint64
	Duration     time.Duration
	Customers    int
	ZipfExponent float64
	// RequestsPerSecond is the rate of turns that the trace reaches in the
	// long run.
	RequestsPerSecond float64
	// SurgeAt is when the third largest customer surges to ten times its rate;
	// 0 for never.
	SurgeAt time.Duration
}

// Parameters of the trace model, see the package comment.
const (
	meanTurns        = 5
	surgeFactor      = 10
	surgeTime        = 2 * time.Minute
	surgeCustomer    = 2
	answerTimeFactor = 1.5
)

// turn is one request of the trace. expected is the length of the answer that
// placement is told, output its actual length.
type turn struct {
	at       time.Duration
	chat     int32
	customer int32
	chain    []chat.Link
	expected int
	output   int
}

// prompt is the length of the turn's prompt in tokens.
func (t *turn) prompt() int { return t.chain[len(t.chain)-1].Tokens }

// rootIndex is the position of the root in the chains of the trace: after the
// system prompt.
const rootIndex = 1

// Trace is a list of requests in order of time.
type Trace struct {
	config TraceConfig
	turns  []turn
	chats  int
	// shares is each customer's share of the requests.
	shares []float64
}

// generator draws a trace.
type generator struct {
	config  TraceConfig
	rng     *rand.Rand
	shares  []float64
	prompts []chat.Link
	trace   *Trace
}

// NewTrace draws the trace of a config.
func NewTrace(config TraceConfig) *Trace {
	g := &generator{config: config, rng: rand.New(rand.NewPCG(config.Seed, 1)), trace: &Trace{config: config}}
	g.drawCustomers()
	rate := config.RequestsPerSecond / meanTurns
	for customer, share := range g.shares {
		g.drawChats(customer, rate*share, 0, config.Duration)
		if customer == surgeCustomer && config.SurgeAt > 0 {
			g.drawChats(customer, rate*share*(surgeFactor-1), config.SurgeAt, config.SurgeAt+surgeTime)
		}
	}
	slices.SortFunc(g.trace.turns, func(a, b turn) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return int(a.chat - b.chat)
	})
	return g.trace
}

// Requests is the number of requests.
func (t *Trace) Requests() int { return len(t.turns) }

// Chats is the number of chats.
func (t *Trace) Chats() int { return t.chats }

func (g *generator) drawCustomers() {
	sum := 0.0
	for i := range g.config.Customers {
		share := math.Pow(float64(i+1), -g.config.ZipfExponent)
		g.shares = append(g.shares, share)
		sum += share
		system := chat.Link{Hash: chat.ChainHash(g.rng.Uint64()), Tokens: 200 + g.rng.IntN(1800)}
		g.prompts = append(g.prompts, system)
	}
	for i := range g.shares {
		g.shares[i] /= sum
	}
	g.trace.shares = g.shares
}

// drawChats draws the chats of one customer that start between two times.
func (g *generator) drawChats(customer int, rate float64, from, until time.Duration) {
	at := from
	for {
		at += seconds(g.rng.ExpFloat64() / rate)
		if at >= until {
			return
		}
		g.drawTurns(customer, at)
	}
}

// drawTurns draws one chat.
func (g *generator) drawTurns(customer int, at time.Duration) {
	id := int32(g.trace.chats)
	g.trace.chats++
	chain := []chat.Link{g.prompts[customer]}
	for at < g.config.Duration {
		chain = g.grow(chain, g.drawMessage())
		expected := g.drawExpected()
		output := 1 + int(g.rng.ExpFloat64()*float64(expected))
		g.trace.turns = append(g.trace.turns, turn{
			at: at, chat: id, customer: int32(customer), chain: slices.Clip(chain), expected: expected, output: output,
		})
		if g.rng.IntN(meanTurns) == 0 {
			return
		}
		chain = g.grow(chain, output)
		at += answerTime(output) + g.drawGap()
	}
}

// grow adds a message to a chain.
func (g *generator) grow(chain []chat.Link, tokens int) []chat.Link {
	last := chain[len(chain)-1]
	return append(chain, chat.Link{Hash: chat.ChainHash(g.rng.Uint64()), Tokens: last.Tokens + tokens})
}

func (g *generator) drawMessage() int {
	if g.rng.IntN(10) == 0 {
		return 1000 + g.rng.IntN(5000)
	}
	return 20 + g.rng.IntN(180)
}

func (g *generator) drawExpected() int {
	if g.rng.IntN(10) < 7 {
		return 100
	}
	return 900
}

// answerTime is how long an answer takes at the usual speed, with a margin.
// The caller reads it before the next turn, at the same time for every
// strategy, so that all run on the same trace.
func answerTime(output int) time.Duration {
	return seconds(answerTimeFactor * float64(output) / streamSpeed)
}

func (g *generator) drawGap() time.Duration {
	spread := g.rng.Float64()
	switch n := g.rng.IntN(10); {
	case n < 6:
		return seconds(20 + spread*280)
	case n < 9:
		return seconds(300 + spread*3300)
	default:
		return seconds(3600 + spread*18000)
	}
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
