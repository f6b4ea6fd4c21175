package kvmove

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Chat is a chat whose KV cache an engine holds.
type Chat struct {
	// Key is the key by which placement orders the engines for the chat.
	Key placement.Key
	// Deepest identifies the longest cached prefix, and Tokens is its length.
	Deepest chat.ChainHash
	Tokens  int
	// UsedAt is the time of its last turn.
	UsedAt time.Duration
}

// Costs is the cost model of moves.
type Costs struct {
	// Transfer is the rate of one transfer, in tokens of cache per second.
	Transfer float64
	// Setup is the time that a move takes in addition to its transfer.
	Setup time.Duration
	// PrefillPerCapacity is the number of prompt tokens that an engine prefills
	// per second for each token per second of its announced capacity.
	PrefillPerCapacity float64
	// HalfLife is the time without a turn after which a chat is half as likely
	// to have another turn.
	HalfLife time.Duration
	// MaxIdle bounds the time since a chat's last turn. A destination treats an
	// import as its most recently used cache and evicts the cache of another
	// chat, so moving a chat that returns late loses more reuse than it gains.
	MaxIdle time.Duration
}

// DefaultCosts returns the costs for a deployment that sets none.
//
// They assume chats of some thousands of tokens, six in ten of which return
// within five minutes. 500,000 tokens per second is 100 Gbit/s at 25 KB per
// token. A model with more cache per token, or a slower link, needs its own
// value. Prefill runs about ten times faster than generation, so at a Transfer
// below about ten times an engine's capacity no move to it is worthwhile. The half-life follows the
// pauses between turns. With MaxIdle at two minutes the cache reuse of the
// fleet is unchanged where caches are full, and grows where they have spare
// capacity; see docs/benchmarks/engine-orders.md.
func DefaultCosts() Costs {
	return Costs{Transfer: 500_000, Setup: 5 * time.Millisecond, PrefillPerCapacity: 10, HalfLife: 10 * time.Minute, MaxIdle: 2 * time.Minute}
}

// Destination is the engine to which placement will send a chat's next turn.
type Destination struct {
	Upstream protocol.UpstreamID
	// Capacity is the announced capacity in tokens per second.
	Capacity float64
}

// Move is the move of one chat's cache.
type Move struct {
	Chat Chat
	To   protocol.UpstreamID
	// Time is the duration of the move, and Saved the prefill time that it is
	// expected to save.
	Time, Saved time.Duration
}

// evaluate estimates a move and reports whether it saves more time than it
// takes. The saved prefill is multiplied by the probability that the chat has
// another turn at all.
func (c Costs) evaluate(now time.Duration, chat Chat, to Destination) (move Move, worthwhile bool) {
	prefill := float64(chat.Tokens) / (max(1, to.Capacity) * c.PrefillPerCapacity)
	probability := math.Exp2(-(now - chat.UsedAt).Seconds() / c.HalfLife.Seconds())
	move = Move{
		Chat:  chat,
		To:    to.Upstream,
		Time:  c.Setup + seconds(float64(chat.Tokens)/c.Transfer),
		Saved: seconds(prefill * probability),
	}
	return move, move.Saved > move.Time && now-chat.UsedAt <= c.MaxIdle
}

// MakePlan returns the moves that take less time than the prefill they save,
// the best first. It keeps those that, one after the other, fit into span, the
// time before the engine stops. place returns the engine to which a chat's next
// turn will go; a chat without such an engine is not moved.
//
// It is meant for an engine with some thousands of chats that leaves within
// tens of seconds. Without moves, all its chats would prefill again while the
// other engines take over its requests. Sorting by the time saved per time
// spent makes the best use of span.
func MakePlan(now time.Duration, chats []Chat, place func(placement.Key) (Destination, bool), costs Costs, span time.Duration) []Move {
	var moves []Move
	for _, candidate := range chats {
		to, placed := place(candidate.Key)
		if !placed {
			continue
		}
		if move, worthwhile := costs.evaluate(now, candidate, to); worthwhile {
			moves = append(moves, move)
		}
	}
	slices.SortStableFunc(moves, func(a, b Move) int {
		return cmp.Compare(float64(b.Saved)/float64(b.Time), float64(a.Saved)/float64(a.Time))
	})
	return selectFitting(moves, span)
}

// selectFitting returns, in order, the moves that still fit into the remaining span.
func selectFitting(moves []Move, span time.Duration) []Move {
	var kept []Move
	for _, move := range moves {
		if move.Time <= span {
			span -= move.Time
			kept = append(kept, move)
		}
	}
	return kept
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
