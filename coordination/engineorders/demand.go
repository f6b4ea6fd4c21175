package engineorders

import (
	"math"
	"time"
)

// ScalerConfig holds the bounds between which a model's replicas follow its
// demand.
type ScalerConfig struct {
	// Up and Down are the shares of the replicas' capacity above which one is
	// added, and below which, with one fewer, one is taken away.
	Up, Down float64
	// Target is the share that added replicas bring the load back to.
	Target float64
	// UpAfter and DownAfter are how long the demand must stay beyond.
	UpAfter, DownAfter time.Duration
	// InUse is how long after its last request a model counts as used.
	InUse time.Duration
}

// DefaultScalerConfig returns the bounds of a deployment that gives none.
//
// Load: chats that return after minutes, loads that take tens of seconds from
// a store that serves four at a time. Harm prevented: replicas that come and
// go with each wave of demand, each time with a load, an empty cache, and chats
// moved. Between Up and Down lies a factor of two, more than one replica of a
// few makes, so that adding one never is a reason to take one away. Growing
// waits 10 s, a few reports; shrinking 10 min, several returns of a chat.
func DefaultScalerConfig() ScalerConfig {
	return ScalerConfig{
		Up: 0.8, Down: 0.4, Target: 0.65,
		UpAfter: 10 * time.Second, DownAfter: 10 * time.Minute,
		InUse: time.Hour,
	}
}

// Demand is a model's demand at a moment.
type Demand struct {
	// Tokens is the work that arrives, in tokens a second.
	Tokens float64
	// PerReplica is the capacity of a replica, in tokens a second.
	PerReplica float64
}

// Floor bounds a model's replicas, from the models sheet. Max 0 means none.
type Floor struct{ Min, Max int }

// Scaler decides how many replicas one model wants.
type Scaler struct {
	config ScalerConfig
	wanted int
	// above and below are since when the demand is beyond a bound; beyond
	// says that it is.
	above, below time.Duration
	isAbove      bool
	isBelow      bool
	used         bool
	usedAt       time.Duration
}

// NewScaler returns a scaler for a model that has some replicas at now, as a
// new issuer finds it. A model with replicas counts as used at that moment:
// the issuer doesn't know when its last request was.
func NewScaler(config ScalerConfig, now time.Duration, replicas int) *Scaler {
	return &Scaler{config: config, wanted: replicas, used: replicas > 0, usedAt: now}
}

// Wanted returns the replicas that the model should have.
func (s *Scaler) Wanted(now time.Duration, demand Demand, floor Floor) int {
	if demand.Tokens > 0 {
		s.used = true
		s.usedAt = now
	}
	s.follow(now, demand)
	return s.bounded(now, floor)
}

// Held returns the replicas that a model keeps while its demand isn't known.
func (s *Scaler) Held(floor Floor) int {
	if floor.Max > 0 {
		return max(min(s.wanted, floor.Max), floor.Min)
	}
	return max(s.wanted, floor.Min)
}

func (s *Scaler) follow(now time.Duration, demand Demand) {
	per := max(1, demand.PerReplica)
	s.mark(now, demand.Tokens > s.config.Up*per*float64(s.wanted), &s.isAbove, &s.above)
	fewer := max(0, s.wanted-1)
	s.mark(now, s.wanted > 0 && demand.Tokens < s.config.Down*per*float64(fewer), &s.isBelow, &s.below)
	if s.isAbove && now-s.above >= s.config.UpAfter {
		s.wanted = max(s.wanted+1, int(math.Ceil(demand.Tokens/(s.config.Target*per))))
		s.isAbove = false
	}
	if s.isBelow && now-s.below >= s.config.DownAfter {
		// One at a time: each time the others take its chats over.
		s.wanted = fewer
		s.isBelow = false
	}
}

// mark notes since when a condition has held without a break.
func (s *Scaler) mark(now time.Duration, holds bool, held *bool, since *time.Duration) {
	if holds && !*held {
		*since = now
	}
	*held = holds
}

// bounded applies the floor. A model in use keeps one replica even where
// operators want none, because without any its next caller waits for a load.
// The bounds don't change what the scaler follows, so that a lifted bound
// takes effect at once.
func (s *Scaler) bounded(now time.Duration, floor Floor) int {
	if s.used && now-s.usedAt >= s.config.InUse && s.wanted == 1 {
		s.wanted = 0
	}
	wanted := s.wanted
	if s.used && now-s.usedAt < s.config.InUse {
		wanted = max(wanted, 1)
	}
	if floor.Max > 0 {
		wanted = min(wanted, floor.Max)
	}
	return max(wanted, floor.Min)
}
