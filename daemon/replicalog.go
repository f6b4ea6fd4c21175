package daemon

import (
	"time"

	"endiveplank/state/replica"
)

// replicaLog adapts a replica to ReplicatedLog.
type replicaLog struct{ *replica.Replica }

// HoldsLease implements ReplicatedLog.
func (l replicaLog) HoldsLease(now time.Duration) bool { return l.IsLeaderWithLease(now) }
