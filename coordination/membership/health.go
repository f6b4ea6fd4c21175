package membership

import "time"

const (
	// maxHealthScore bounds stretched timeouts to four times their length, so
	// that even an unhealthy member detects a dead one.
	maxHealthScore = 6
	// frozenPenalty is added after a freeze of this process, which may freeze
	// again at once.
	frozenPenalty = 2
)

// health is the local health of this member; a higher score is worse. A member
// whose own process is slow, or whose own network loses packets, would find all
// others late, so it gives them more time for each point of the score.
type health struct{ score int }

func (h *health) degrade(by int) { h.score = min(maxHealthScore, h.score+by) }

func (h *health) improve() { h.score = max(0, h.score-1) }

// stretch lengthens a timeout by half of its length for each point of the score.
func (h *health) stretch(d time.Duration) time.Duration {
	return d + d*time.Duration(h.score)/2
}
