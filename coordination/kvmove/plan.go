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

// Chat is a chat whose cache an engine holds.
type Chat struct {
	// Key is what placement orders engines by.
	Key placement.Key
	// Deepest is the longest prefix that is cached, Tokens its length.
	Deepest chat.ChainHash
	Tokens  int
	// UsedAt is when its last turn was.
	UsedAt time.Duration
}

// Costs is the cost model of moves.
type Costs struct {
	// Transfer is how many tokens' cache one transfer carries in a second.
	Transfer float64
	// Setup is the time of a move beside its transfer.
	Setup time.Duration
	// PrefillPerCapacity is how many prompt tokens an engine prefills in a
	// second for each token a second of its announced capacity.
	PrefillPerCapacity float64
	// HalfLife is after how long without a turn a chat is half as likely to
	// have another.
	HalfLife time.Duration
	// MaxIdle is how long ago a chat's last turn may be. A destination takes
	// an import for its most recently used cache and evicts another chat's,
	// so one that comes back late costs more reuse than it brings.
	MaxIdle time.Duration
}

// DefaultCosts returns the costs of a deployment that gives none.
//
// Load: chats of some thousands of tokens, six in ten of which return within
// five minutes. 500,000 tokens a second is 100 Gbit/s at 25 KB a token; a
// model with more cache a token, or a slower link, needs its own figure, and
// below some ten times the capacity no move is worthwhile any more. Prefill
// runs about ten times faster than generation. The half-life follows the
// pauses between turns. With MaxIdle at two minutes the fleet's reuse stays as
// it is where caches are full, and grows where they have room; see
// docs/benchmarks/engine-orders.md.
func DefaultCosts() Costs {
	return Costs{Transfer: 500_000, Setup: 5 * time.Millisecond, PrefillPerCapacity: 10, HalfLife: 10 * time.Minute, MaxIdle: 2 * time.Minute}
}

// Destination is where a chat's next turn will go.
type Destination struct {
	Upstream protocol.UpstreamID
	// Capacity is as announced, in tokens a second.
	Capacity float64
}

// Move is one cache to move.
type Move struct {
	Chat Chat
	To   protocol.UpstreamID
	// Time is what the move takes, Saved the prefill it is expected to save.
	Time, Saved time.Duration
}

// worth weighs a move. The prefill counts with the chance that the chat has
// another turn at all.
func (c Costs) worth(now time.Duration, chat Chat, to Destination) (move Move, worthwhile bool) {
	prefill := float64(chat.Tokens) / (max(1, to.Capacity) * c.PrefillPerCapacity)
	chance := math.Exp2(-(now - chat.UsedAt).Seconds() / c.HalfLife.Seconds())
	move = Move{
		Chat:  chat,
		To:    to.Upstream,
		Time:  c.Setup + seconds(float64(chat.Tokens)/c.Transfer),
		Saved: seconds(prefill * chance),
	}
	return move, move.Saved > move.Time && now-chat.UsedAt <= c.MaxIdle
}

// MakePlan returns the moves that are cheaper than the prefill they save, the
// best first, as far as they fit into span, one after the other. place says
// where a chat's next turn will go; a chat without a place stays.
//
// Load: an engine with some thousands of chats that leaves in tens of seconds.
// Harm prevented: its chats all prefill again, at the same time as the other
// engines take its work over. The limit of span is what the engine gives, and
// the order makes the most of it.
func MakePlan(now time.Duration, chats []Chat, place func(placement.Key) (Destination, bool), costs Costs, span time.Duration) []Move {
	var moves []Move
	for _, candidate := range chats {
		to, placed := place(candidate.Key)
		if !placed {
			continue
		}
		if move, worthwhile := costs.worth(now, candidate, to); worthwhile {
			moves = append(moves, move)
		}
	}
	slices.SortStableFunc(moves, func(a, b Move) int {
		return cmp.Compare(float64(b.Saved)/float64(b.Time), float64(a.Saved)/float64(a.Time))
	})
	return fitting(moves, span)
}

// fitting leaves out the moves that don't fit any more.
func fitting(moves []Move, span time.Duration) []Move {
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
