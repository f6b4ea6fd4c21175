package admission

import "time"

// waitLimit is the longest expected wait at which a request is let in: what its
// deadline leaves, but only its class's target for a customer whose queue has
// been standing. A burst may use the whole of the deadline. A customer that sends
// more than it gets for longer would otherwise keep its queue full up to the
// deadline, and all its callers would wait nearly that long for no more answers.
func (q *Queue) waitLimit(now time.Duration, f *flow, slack time.Duration) time.Duration {
	target := q.config.TargetWait[f.key.class]
	if target == 0 {
		return slack
	}
	if f.standing && now-f.standingSince >= q.config.BurstTime {
		f.cutUntil = now + q.config.CutTime
	}
	if now < f.cutUntil {
		return min(slack, target)
	}
	return slack
}

// observeWait notes how long a started request has waited.
func (q *Queue) observeWait(now time.Duration, e *entry) {
	f := e.flow
	long := now-e.arrived > q.config.TargetWait[f.key.class]
	if long && !f.standing {
		f.standingSince = now
	}
	f.standing = long
}
