package daemon

import (
	"time"

	"endiveplank/state/replica"
)

// replicaLog adapts a replica to Log.
type replicaLog struct{ *replica.Replica }

// HoldsLease implements Log.
func (l replicaLog) HoldsLease(now time.Duration) bool { return l.IsLeaderWithLease(now) }
