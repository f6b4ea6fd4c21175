package admission

import "time"

// waitLimit returns the longest expected wait at which a request is accepted:
// slack, the time that its deadline leaves, or only the target of its class if
// the customer's requests have waited longer than the target for BurstTime (a
// standing queue). A burst may use all of the slack. Without the target, a
// customer that keeps sending more than its share would keep its queue full up
// to the deadline, and all its callers would wait nearly that long without
// getting more answers.
func (q *Queue) waitLimit(now time.Duration, f *flow, slack time.Duration) time.Duration {
	target := q.config.TargetWait[f.key.class]
	if target == 0 {
		return slack
	}
	if f.standing && now-f.standingSince >= q.config.BurstTime {
		f.targetUntil = now + q.config.TargetHoldTime
	}
	if now < f.targetUntil {
		return min(slack, target)
	}
	return slack
}

// recordWait compares the wait of a started request with the target of its
// class.
func (q *Queue) recordWait(now time.Duration, e *entry) {
	f := e.flow
	long := now-e.arrived > q.config.TargetWait[f.key.class]
	if long && !f.standing {
		f.standingSince = now
	}
	f.standing = long
}
