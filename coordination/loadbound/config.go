package loadbound

import (
	"time"

	"github.com/rotisserie/eris"
)

// ExchangePeriod is how often an owner sends its summary to each neighbour.
// With four summaries a second, the allowance for work drained since the last
// summary stays near 0.3 s of work; at SummaryBytes each they cost a mesh of
// nine routers 768 payload bytes a second.
const ExchangePeriod = 250 * time.Millisecond

// Defaults of Config.
const (
	// DefaultMultiple is the highest load of an upstream over the fleet's mean
	// that the users of the fleet accept.
	DefaultMultiple = 1.25
	// DefaultDrainFactor assumes that engines finish work no faster than their
	// announced capacity.
	DefaultDrainFactor = 1.0
	// DefaultCancelShare lets one in twenty tokens disappear between two
	// summaries before the sender keeps counting work that has disappeared.
	DefaultCancelShare = 0.05
)

// Config holds the settings of a Ledger.
type Config struct {
	// Multiple is the highest load of an upstream over the fleet's mean.
	Multiple float64
	// DrainFactor is the fastest assumed drain rate, as a multiple of the
	// capacity.
	DrainFactor float64
	// CancelShare is the part of a reported load that may disappear at once
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

// Check returns an error with cause ErrBadConfig if a setting is out of its
// range.
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
