package engineorders

import (
	"math"
	"time"
)

// ScalerConfig configures how a model's replicas follow its demand. Loads are
// fractions of the capacity of the model's replicas.
type ScalerConfig struct {
	// A replica is added when the load is above ScaleUpAbove, and one is removed
	// when the load of one replica fewer would be below ScaleDownBelow.
	ScaleUpAbove, ScaleDownBelow float64
	// TargetLoad is the load that adding replicas brings the model back to.
	TargetLoad float64
	// ScaleUpAfter and ScaleDownAfter are how long the demand must stay beyond
	// the bound.
	ScaleUpAfter, ScaleDownAfter time.Duration
	// IdleAfter is how long after its last request a model counts as in use.
	IdleAfter time.Duration
}

// DefaultScalerConfig returns the configuration of a deployment that gives none.
//
// It is made for chats that return after minutes and for loads that take tens of
// seconds from a weight store that serves four at a time. It guards against
// replicas that are added and removed with each wave of demand, each time with a
// load, an empty cache and moved chats. ScaleUpAbove is twice ScaleDownBelow, and
// one more replica at most halves the load, so adding a replica is never a reason
// to remove one. Scaling up waits 10 s, which is a few reports, and scaling down
// 10 min, in which a chat returns several times.
func DefaultScalerConfig() ScalerConfig {
	return ScalerConfig{
		ScaleUpAbove: 0.8, ScaleDownBelow: 0.4, TargetLoad: 0.65,
		ScaleUpAfter: 10 * time.Second, ScaleDownAfter: 10 * time.Minute,
		IdleAfter: time.Hour,
	}
}

// Demand is a model's demand at one time.
type Demand struct {
	// Tokens is the arriving work in tokens a second.
	Tokens float64
	// PerReplica is the mean capacity of a replica, in tokens a second.
	PerReplica float64
}

// ReplicaLimits are the operators' limits on a model's replicas, from the models
// sheet. Max 0 means no upper limit.
type ReplicaLimits struct{ Min, Max int }

// Scaler computes the number of replicas of one model.
type Scaler struct {
	config   ScalerConfig
	replicas int
	// isAbove says that the demand is above ScaleUpAbove, and aboveSince since
	// when; isBelow and belowSince say the same of ScaleDownBelow.
	aboveSince, belowSince time.Duration
	isAbove                bool
	isBelow                bool
	everUsed               bool
	lastUsed               time.Duration
}

// NewScaler returns the scaler of a model that has the given replicas at now, as a
// new issuer finds them. If the model has replicas, it counts as used at now,
// because the issuer doesn't know when its last request was.
func NewScaler(config ScalerConfig, now time.Duration, replicas int) *Scaler {
	return &Scaler{config: config, replicas: replicas, everUsed: replicas > 0, lastUsed: now}
}

// Replicas returns how many replicas the model should have.
func (s *Scaler) Replicas(now time.Duration, demand Demand, limits ReplicaLimits) int {
	if demand.Tokens > 0 {
		s.everUsed = true
		s.lastUsed = now
	}
	s.update(now, demand)
	return s.limited(now, limits)
}

// ReplicasWithoutDemand returns how many replicas the model should have while its
// demand isn't known.
func (s *Scaler) ReplicasWithoutDemand(limits ReplicaLimits) int {
	if limits.Max > 0 {
		return max(min(s.replicas, limits.Max), limits.Min)
	}
	return max(s.replicas, limits.Min)
}

func (s *Scaler) update(now time.Duration, demand Demand) {
	perReplica := max(1, demand.PerReplica)
	s.updateSince(now, demand.Tokens > s.config.ScaleUpAbove*perReplica*float64(s.replicas), &s.isAbove, &s.aboveSince)
	fewer := max(0, s.replicas-1)
	s.updateSince(now, s.replicas > 0 && demand.Tokens < s.config.ScaleDownBelow*perReplica*float64(fewer), &s.isBelow, &s.belowSince)
	if s.isAbove && now-s.aboveSince >= s.config.ScaleUpAfter {
		s.replicas = max(s.replicas+1, int(math.Ceil(demand.Tokens/(s.config.TargetLoad*perReplica))))
		s.isAbove = false
	}
	if s.isBelow && now-s.belowSince >= s.config.ScaleDownAfter {
		// One at a time: each time the others take its chats over.
		s.replicas = fewer
		s.isBelow = false
	}
}

// updateSince records since when a condition has held without interruption.
func (s *Scaler) updateSince(now time.Duration, holds bool, held *bool, since *time.Duration) {
	if holds && !*held {
		*since = now
	}
	*held = holds
}

// limited applies the operators' limits. A model in use keeps one replica even
// where operators want none, because its next caller would otherwise wait for a
// load. The limits don't change what the scaler computes from the demand, so that
// removing a limit takes effect at once.
func (s *Scaler) limited(now time.Duration, limits ReplicaLimits) int {
	if s.everUsed && now-s.lastUsed >= s.config.IdleAfter && s.replicas == 1 {
		s.replicas = 0
	}
	wanted := s.replicas
	if s.everUsed && now-s.lastUsed < s.config.IdleAfter {
		wanted = max(wanted, 1)
	}
	if limits.Max > 0 {
		wanted = min(wanted, limits.Max)
	}
	return max(wanted, limits.Min)
}
