package loadbound

import (
	"time"

	"github.com/rotisserie/eris"
)

// ExchangePeriod is how often an owner sends its summary to each neighbour.
// Four a second keeps the drain allowance for age near 0.3 s of work; at
// SummaryBytes each it costs a mesh of nine 768 payload bytes a second.
const ExchangePeriod = 250 * time.Millisecond

// Defaults of Config.
const (
	// DefaultMultiple is the bound that users set for load over mean.
	DefaultMultiple = 1.25
	// DefaultDrainFactor says engines work off no more than their announced
	// capacity.
	DefaultDrainFactor = 1.0
	// DefaultCancelShare allows one in twenty tokens to vanish between two
	// summaries before counting of vanished work lingers.
	DefaultCancelShare = 0.05
)

// Config holds the settings of a Ledger.
type Config struct {
	// Multiple is the highest load of an upstream over the fleet's mean.
	Multiple float64
	// DrainFactor is the fastest drain assumed, as a multiple of capacity.
	DrainFactor float64
	// CancelShare is the part of a reported load that may vanish at once
	// without the sender having to keep it counted.
	CancelShare float64
}

// DefaultConfig returns the settings for a bound of DefaultMultiple.
func DefaultConfig() Config {
	return Config{
		Multiple:    DefaultMultiple,
		DrainFactor: DefaultDrainFactor,
		CancelShare: DefaultCancelShare,
	}
}

// ErrBadConfig is the cause of every error of Config.Check.
var ErrBadConfig = eris.New("load bound: bad settings")

// Check returns an error with cause ErrBadConfig when the settings cannot
// work.
func (c Config) Check() error {
	if !(c.Multiple > 1) {
		return eris.Wrapf(ErrBadConfig, "multiple %v must be above 1", c.Multiple)
	}
	if !(c.DrainFactor > 0) {
		return eris.Wrapf(ErrBadConfig, "drain factor %v must be above 0", c.DrainFactor)
	}
	if !(c.CancelShare >= 0 && c.CancelShare < 1) {
		return eris.Wrapf(ErrBadConfig, "cancel share %v must be in [0, 1)", c.CancelShare)
	}
	return nil
}
